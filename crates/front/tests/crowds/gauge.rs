//! Measures what a process holds while a crowd is at it.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The time between two samples.
const SAMPLE_EVERY: Duration = Duration::from_millis(20);

/// The number of equal samples after which a process has read what it reads.
const QUIET_SAMPLES: u32 = 25;

/// The longest wait for that; a process may go on reading from a crowd that goes on sending.
const QUIET_LIMIT: Duration = Duration::from_secs(8);

/// The multiple of its memory at which a process is killed, so that the machine stays usable.
const KILL_AT: usize = 6;

/// The most that a process was seen to hold.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Peak {
    /// Resident memory, and bytes that arrived at its addresses and were not read, in bytes.
    pub memory: usize,
    /// Open sockets.
    pub sockets: usize,
}

/// What a gauge has seen.
#[derive(Debug, Default)]
struct Seen {
    peak: Peak,
    last: Peak,
    /// How many samples in a row were equal to the last one.
    equal: u32,
}

impl Seen {
    /// Takes a sample in.
    fn add(&mut self, sample: Peak) {
        self.peak.memory = self.peak.memory.max(sample.memory);
        self.peak.sockets = self.peak.sockets.max(sample.sockets);
        self.equal = if sample == self.last { self.equal + 1 } else { 0 };
        self.last = sample;
    }
}

/// Samples a process until it is dropped.
pub struct Gauge {
    seen: Arc<Mutex<Seen>>,
    task: JoinHandle<()>,
}

impl Drop for Gauge {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Gauge {
    /// Samples a process with `memory` bytes that listens at some addresses.
    pub fn start(process: u32, memory: usize, listens: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Mutex::new(Seen::default()));
        let seen = shared.clone();
        let task = tokio::spawn(async move {
            loop {
                let now = sample(process, &listens);
                seen.lock().unwrap().add(now);
                if now.memory > KILL_AT * memory {
                    let _ = kill(Pid::from_raw(process as i32), Signal::SIGKILL);
                    return;
                }
                sleep(SAMPLE_EVERY).await;
            }
        });
        Self { seen: shared, task }
    }

    /// The peaks so far.
    pub fn peak(&self) -> Peak {
        self.seen.lock().unwrap().peak
    }

    /// Waits until the process has read what it reads.
    pub async fn quiet(&self) {
        let wait = async {
            while self.seen.lock().unwrap().equal < QUIET_SAMPLES {
                sleep(SAMPLE_EVERY).await;
            }
        };
        // What it holds meanwhile is in the peak.
        let _ = timeout(QUIET_LIMIT, wait).await;
    }
}

/// What a process holds now; its resident memory counts at its highest.
fn sample(process: u32, listens: &[SocketAddr]) -> Peak {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = kilobytes(&status, "VmRSS:") + unread(listens);
    let memory = resident.max(kilobytes(&status, "VmHWM:"));
    Peak { memory, sockets: sockets(process) }
}

/// A figure of a process's status, in bytes.
fn kilobytes(status: &str, name: &str) -> usize {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let figure = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
    figure.and_then(|text| text.trim().parse::<usize>().ok()).unwrap_or(0) << 10
}

/// The bytes that arrived at these addresses and were not read; connections that wait to be accepted count.
fn unread(listens: &[SocketAddr]) -> usize {
    let ports: BTreeSet<u16> = listens.iter().map(SocketAddr::port).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let (state, queues) = (fields.nth(1)?, fields.next()?);
        // A listening socket's figure counts connections.
        let open = state != "0A" && ports.contains(&u16::from_str_radix(port, 16).ok()?);
        let (_, unread) = queues.split_once(':').filter(|_| open)?;
        usize::from_str_radix(unread, 16).ok()
    });
    queues.sum()
}

/// The number of sockets that a process has open.
fn sockets(process: u32) -> usize {
    let Ok(open) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return 0;
    };
    let targets = open.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count()
}
