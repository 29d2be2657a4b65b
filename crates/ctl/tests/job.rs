//! Runs `myrtlectl job` against a front host and a stand-in of the platform's store.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use myrtle_adapter::frame_keyed;
use myrtle_front::Settings;
use myrtle_job::{JobSpec, StepSpec, Submission, encode};
use myrtle_platform::serve;
use myrtle_standin::Store;

const JOB: &str = "00000000000000b1";

async fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().port()
}

/// Starts a host on free ports; false if another process bound one of them in the meantime.
async fn start_host(store: SocketAddr) -> bool {
    let ports = [free_port().await, free_port().await, free_port().await];
    let text = format!(
        "name: h\ndata_centre: d\ndata_centres: [d]\nclients: 127.0.0.1:{}\n\
         checks: 127.0.0.1:{}\nip: 127.0.0.1\npeer_port: {}\nstore: {store}\nmember_ttl: 1000\ncells: one\n\
         bounds: {{hold: 10000, stop: 900, harm: 4000, status: 120, grace: 6, contact: 3000}}\n",
        ports[0], ports[1], ports[2]
    );
    let path = std::env::temp_dir().join(format!("myrtle-ctl-{}.yaml", ports[0]));
    std::fs::write(&path, text).unwrap();
    let settings = Settings::load(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let running = tokio::spawn(myrtle_front::run(settings, path));
    // A host binds its ports before anything else, and ends if that fails.
    sleep(Duration::from_millis(200)).await;
    !running.is_finished()
}

/// Starts a store and a host that owns the only cell, and submits one job that no worker can run.
async fn start_site() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let store = Arc::new(Store::default());
    tokio::spawn(serve(listener, move |request| {
        let store = store.clone();
        async move { store.handle(request).await }
    }));
    while !start_host(at).await {}
    let steps = vec![StepSpec { count: 2, estimate_ms: 100, ..StepSpec::default() }];
    let spec = JobSpec { body: "b".into(), steps, repeat: None };
    let mut body = BytesMut::new();
    frame_keyed(&mut body, JOB, &encode(&Submission { spec, ..Submission::default() }));
    let client = myrtle_adapter::Store::new(at);
    let limit = Duration::from_secs(5);
    client.append("keyed.jobs", 0, None, body.freeze(), limit).await.unwrap();
    at
}

async fn ctl(store: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtlectl"));
    command.args(args).arg("job").arg(store.to_string());
    command.arg(JOB);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_tasks_of_a_job_are_listed() {
    let store = start_site().await;
    let listed = async {
        loop {
            let output = ctl(store, &[]).await;
            if output.status.success() {
                return String::from_utf8_lossy(&output.stdout).into_owned();
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    let text = timeout(Duration::from_secs(30), listed).await.unwrap();
    assert!(text.contains("owner h-") && text.contains("queued"), "{text}");
    assert!(text.contains(&format!("{JOB}.0.0.1: waits")), "{text}");
    let output = ctl(store, &["--json"]).await;
    let value: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(value["cell"], 0);
}

#[tokio::test]
async fn a_bad_name_is_refused_with_a_hint() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtlectl"));
    let output = command.args(["job", "127.0.0.1:1", "zz"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("16 lower-case"));
}
