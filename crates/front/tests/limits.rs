//! The limits that the settings name are in force, and wrong ones are refused with a reason.

mod common;

use std::process::Command;
use std::time::Duration;

use rstest::rstest;

use common::{Kept, Site, call, settings};

/// The exit code of a host with wrong settings; docs/OPERATIONS.md.
const BAD_SETTINGS: i32 = 2;

#[tokio::test]
async fn a_body_without_progress_is_refused_whatever_its_deadline_and_is_not_run() {
    let mut site = Site::without_hosts(Duration::from_millis(60)).await;
    site.host_and("h1", "limits: {body_grace: 300}\n").await;
    let path = "/p/00000000000000cc";
    let mut kept = Kept::to(site.clients("h1")).await;
    kept.send_head("POST", path, "deadline-ms: 300000\r\n", 100).await;
    kept.write(b"{").await;
    assert_eq!(kept.answer().await.map(|answer| answer.status), Some(408));
    assert_eq!(call(site.clients("h1"), "GET", path, "").await.0, 410, "the job is not known");
}

#[tokio::test]
async fn metrics_tell_what_is_held_for_clients() {
    let mut site = Site::without_hosts(Duration::from_millis(60)).await;
    site.host_and("h1", "limits: {memory: 96}\n").await;
    let _idle = Kept::to(site.clients("h1")).await;
    common::until(|| async {
        let (_, text) = call(site.hosts["h1"].checks, "GET", "/metrics", "").await;
        text.contains("myrtle_client_connections{of=\"clients\"} 1")
            && text.contains(&format!("myrtle_client_bytes{{of=\"limit\"}} {}", (96 << 20) / 3))
    })
    .await;
}

#[rstest]
#[case::memory("limits: {memory: 8}", "8 MB are too few")]
#[case::descriptors("limits: {descriptors: 200}", "200 descriptors are too few")]
#[case::body_time("limits: {body_time: 0}", "bodies have no time")]
#[case::no_number("limits: {memory: much}", "limits")]
fn wrong_limits_are_refused_with_a_reason(#[case] limits: &str, #[case] reason: &str) {
    let text = settings("h1", ([127, 0, 0, 1], 9).into(), [1, 2, 3], 10_000);
    let case: String = limits.chars().filter(|c| c.is_alphanumeric()).collect();
    let name = format!("myrtle-{}-{case}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text + limits + "\n").unwrap();
    let program = env!("CARGO_BIN_EXE_myrtle-front");
    let checked = Command::new(program).arg(&path).arg("--check").output().unwrap();
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8_lossy(&checked.stderr);
    assert_eq!(checked.status.code(), Some(BAD_SETTINGS), "{said}");
    assert!(said.contains(reason), "{said}");
}
