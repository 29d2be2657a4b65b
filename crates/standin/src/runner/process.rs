//! The process of a runner, which can end and restart under the same id without its earlier state.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use myrtle_platform::serve_one;

use super::{MAX_LEASE_MS, WorkerStandin};

/// How far a caller's estimate of its clock may be ahead, in milliseconds.
const CLOCK_TOLERANCE: u64 = 100;

/// A process of a runner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Process {
    began: Instant,
    /// When it started, in milliseconds since 1970.
    started_ms: u64,
}

impl Process {
    /// Creates a process that starts now.
    pub(super) fn start() -> Self {
        let born = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        Self { began: Instant::now(), started_ms: born }
    }
}

impl WorkerStandin {
    /// Ends its process and restarts it under the same id after `away`: connections break, runs are lost, and clock
    /// and end numbers are reset. If a restart is under way, this one follows it.
    pub async fn restart(&self, away: Duration) {
        let _lock = self.restart_lock.lock().await;
        self.down.send_replace(true);
        self.drop_state();
        sleep(away).await;
        *self.process.lock().expect("no holder panics") = Process::start();
        self.down.send_replace(false);
    }

    /// When its process started, in milliseconds since 1970.
    pub fn started_ms(&self) -> u64 {
        self.process.lock().expect("no holder panics").started_ms
    }

    /// The number of calls that were meant for an earlier process, judged by their end numbers and leases.
    pub fn strayed(&self) -> u32 {
        self.strayed.load(Ordering::Relaxed)
    }

    /// Counts a call as stray if it acknowledges an end that this process never reported or asks for a lease above the
    /// maximum.
    pub(super) fn check_stray(&self, seen: u64, reported: u64, until: u64) {
        if seen > reported || until > self.clock() + MAX_LEASE_MS + CLOCK_TOLERANCE {
            self.strayed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The worker's clock, in milliseconds.
    pub(super) fn clock(&self) -> u64 {
        let process = *self.process.lock().expect("no holder panics");
        process.began.elapsed().as_millis() as u64 + 1
    }
}

/// Serves connections, and breaks the open ones when the process ends.
pub(super) async fn listen(runner: Arc<WorkerStandin>, listener: TcpListener) {
    let mut down = runner.down.subscribe();
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let this = runner.clone();
                if !*down.borrow() {
                    open.spawn(serve_one(stream, move |ask| {
                        let this = this.clone();
                        async move { this.handle(ask).await }
                    }));
                }
            }
            _ = down.changed() => open = JoinSet::new(),
            Some(_) = open.join_next(), if !open.is_empty() => {}
        }
    }
}
