//! A host with little memory and few descriptors, and what has to hold there.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::{sleep, timeout};

use myrtle_adapter::read_configuration;
use myrtle_job::{JobSpec, Submission, encode};

use crate::common::{Kept, Launch, Site, call, configuration, until};
use crate::gauge::Gauge;
use crate::requests::MAX_BODY;

/// The memory that the settings name, in MB.
const MEMORY_MB: usize = 64;

/// Descriptors of which a crowd of these tests leaves some.
pub const MANY: u32 = 4_100;

/// Descriptors that a crowd of these tests uses up.
pub const FEW: u32 = 400;

/// The descriptors that the platform reserves for files.
const FILES: u32 = 200;

/// The most that a host may log about a crowd, in bytes.
const MAX_LOG: u64 = 2 << 20;

/// The number of whole requests beside a stop.
pub const WHOLE: usize = 16;

/// The longest wait for the end of a process, far above its grace.
const END_LIMIT: Duration = Duration::from_secs(30);

/// The name of the host.
const HOST: &str = "h1";

/// The address at which a crowd is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum At {
    Clients,
    Checks,
}

/// A site of one host.
pub struct Place {
    site: Site,
    gauge: Option<Gauge>,
    files: u32,
    log: PathBuf,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Place {
    /// A site with a host whose system gives it `files` descriptors.
    pub async fn start(files: u32) -> Self {
        let mut place = Self::without_host().await;
        place.host(files).await;
        place
    }

    /// A site on which no host runs yet.
    pub async fn without_host() -> Self {
        let site = Site::without_hosts(Duration::from_millis(60)).await;
        let mut configuration = configuration(2);
        configuration["limits"]["max_body_bytes"] = MAX_BODY.into();
        site.store.put("keyed.op", "config", configuration.to_string().as_bytes());
        let log = format!("myrtle-crowds-{}.log", std::process::id());
        Self { site, gauge: None, files: 0, log: std::env::temp_dir().join(log) }
    }

    /// Starts the host.
    pub async fn host(&mut self, files: u32) {
        self.files = files;
        self.site.launch = Launch { files: Some(files), log: Some(self.log.clone()) };
        let limits = format!("limits: {{memory: {MEMORY_MB}, descriptors: {files}}}\n");
        self.site.host_and(HOST, &limits).await;
        let listens = vec![self.address(At::Clients), self.address(At::Checks)];
        let process = self.site.hosts[HOST].process.id();
        self.gauge = Some(Gauge::start(process, MEMORY_MB << 20, listens));
    }

    /// One of the host's addresses.
    pub fn address(&self, at: At) -> SocketAddr {
        match at {
            At::Clients => self.site.clients(HOST),
            At::Checks => self.site.hosts[HOST].checks,
        }
    }

    /// Sends the host a signal.
    pub fn signal(&self, signal: Signal) {
        self.site.hosts[HOST].signal(signal);
    }

    /// Hands a job in once.
    pub async fn submit(&self, id: &str, body: &[u8]) {
        let body = std::str::from_utf8(body).unwrap();
        call(self.site.clients(HOST), "POST", &format!("/p/{id}"), body).await;
    }

    /// Puts a job into the log, as a build that accepted it did.
    pub fn log_job(&self, id: &str, spec: JobSpec) {
        let configuration = read_configuration(configuration(2).to_string().as_bytes()).unwrap();
        let policy = configuration.queues[0].policy.clone();
        let record = encode(&Submission { policy, spec, accepted_at: 0 });
        self.site.store.put("keyed.jobs", id, &record);
    }

    /// Checks everything that has to hold beside a crowd.
    pub async fn judge(&self) {
        self.gauge().quiet().await;
        self.ordinary_job().await;
        self.assert_alive();
        self.judge_peaks();
    }

    /// Checks memory, sockets and log.
    pub fn judge_peaks(&self) {
        let peak = self.gauge().peak();
        let log = std::fs::metadata(&self.log).unwrap().len();
        println!(
            "peak: {} MB of memory, {} sockets, {} kB of log",
            peak.memory >> 20,
            peak.sockets,
            log >> 10
        );
        assert!(peak.memory <= MEMORY_MB << 20, "memory: {} MB", peak.memory >> 20);
        assert!(peak.sockets <= (self.files - FILES) as usize, "sockets: {}", peak.sockets);
        assert!(log <= MAX_LOG, "log: {log} bytes");
    }

    /// Hands an ordinary job in until it is accepted, and waits until it is done.
    async fn ordinary_job(&self) {
        let id = "00000000000000bb";
        until(|| async {
            self.assert_alive();
            self.site.submit(HOST, id, 1).await == 200
        })
        .await;
        until(|| async {
            self.assert_alive();
            self.site.state(HOST, id).await.as_deref() == Some("completed")
        })
        .await;
    }

    fn assert_alive(&self) {
        let process = self.site.hosts[HOST].process.id();
        assert!(lives(process), "the process has ended: {:?}", self.gauge().peak());
    }

    fn gauge(&self) -> &Gauge {
        self.gauge.as_ref().expect("the host was started")
    }

    /// Sends whole requests, each on its own connection.
    pub async fn send_whole(&self) -> Vec<Kept> {
        let send = |_| async {
            let mut kept = Kept::to(self.site.clients(HOST)).await;
            kept.send("GET", "/p/", "", b"").await;
            kept
        };
        join_all((0..WHOLE).map(send)).await
    }

    /// The number of these requests that get complete answers.
    pub async fn answered(&self, mut whole: Vec<Kept>) -> usize {
        join_all(whole.iter_mut().map(Kept::answer)).await.into_iter().flatten().count()
    }

    /// Waits until the process ends; its exit code.
    pub async fn wait_end(&mut self) -> Option<i32> {
        let process = &mut self.site.hosts.get_mut(HOST).unwrap().process;
        let end = async {
            loop {
                if let Some(status) = process.try_wait().unwrap() {
                    return status.code();
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(END_LIMIT, end).await.expect("the process goes on")
    }
}

/// Whether a process of these tests runs; one that ended and was not waited for does not.
fn lives(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with('Z'))
}
