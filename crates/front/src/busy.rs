//! Measures an owner's processor time and timer delays, for logs.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// The kinds of an owner's work, without waits for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Placement of tasks.
    Plan,
    /// Encoding of batches.
    Batch,
    /// Processing of workers' reports.
    Report,
    /// Periodic checks of leases, speed limits and repeats.
    Tick,
}

/// The time of each kind of work and the longest timer delay since the last summary.
#[derive(Debug, Default)]
pub struct Busy {
    micros: [AtomicU64; 4],
    late: AtomicU64,
}

/// A summary of an owner's time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    millis: [u64; 4],
    late: u64,
}

impl Busy {
    /// Runs some work and adds up its time.
    pub fn measure<T>(&self, work: Work, run: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let value = run();
        let took = began.elapsed().as_micros() as u64;
        self.micros[work as usize].fetch_add(took, Ordering::Relaxed);
        value
    }

    /// Records how late a timer fired.
    pub fn late(&self, by: Duration) {
        self.late.fetch_max(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the summary since the last call.
    pub fn take(&self) -> Summary {
        let millis = self.micros.each_ref().map(|m| m.swap(0, Ordering::Relaxed) / 1_000);
        Summary { millis, late: self.late.swap(0, Ordering::Relaxed) }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [plan, batch, held, look] = self.millis;
        let late = self.late;
        write!(f, "plan_ms={plan} batch_ms={batch} held_ms={held} look_ms={look} late_ms={late}")
    }
}
