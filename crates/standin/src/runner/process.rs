//! The process of a runner: it may end and start again under the same id, with nothing known of before.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use myrtle_platform::serve_one;

use super::{HOLD, Runner};

/// How far a caller's idea of its clock may be ahead, in milliseconds.
const SLACK: u64 = 100;

/// One process.
#[derive(Debug, Clone, Copy)]
pub(super) struct Process {
    began: Instant,
    /// When it started, in milliseconds since 1970.
    born: u64,
}

impl Process {
    /// One that starts now.
    pub(super) fn start() -> Self {
        let born = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        Self { began: Instant::now(), born }
    }
}

impl Runner {
    /// Its process ends and starts again under its id after a while: connections break, runs are lost, clock and
    /// numbers begin anew. One that is down already goes down once more when it is back.
    pub async fn restart(&self, away: Duration) {
        let _turn = self.turn.lock().await;
        self.down.send_replace(true);
        self.lose();
        sleep(away).await;
        *self.process.lock().expect("no holder panics") = Process::start();
        self.down.send_replace(false);
    }

    /// When its process started, in milliseconds since 1970.
    pub fn born(&self) -> u64 {
        self.process.lock().expect("no holder panics").born
    }

    /// How many calls were meant for a process before this one, by the numbers and the leases that they carried.
    pub fn strayed(&self) -> u32 {
        self.strayed.load(Ordering::Relaxed)
    }

    /// Counts a call that names an end which this process never told, or a lease longer than any may be.
    pub(super) fn look(&self, seen: u64, told: u64, until: u64) {
        if seen > told || until > self.clock() + HOLD + SLACK {
            self.strayed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Its clock, in milliseconds.
    pub(super) fn clock(&self) -> u64 {
        let process = *self.process.lock().expect("no holder panics");
        process.began.elapsed().as_millis() as u64 + 1
    }
}

/// Serves connections; those that are open when the process ends break.
pub(super) async fn listen(runner: Arc<Runner>, listener: TcpListener) {
    let mut down = runner.down.subscribe();
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let me = runner.clone();
                if !*down.borrow() {
                    open.spawn(serve_one(stream, move |ask| {
                        let me = me.clone();
                        async move { me.handle(ask).await }
                    }));
                }
            }
            _ = down.changed() => open = JoinSet::new(),
            Some(_) = open.join_next(), if !open.is_empty() => {}
        }
    }
}
