//! Where an owner's time goes, and how late it is, for logs.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// What an owner does by itself, without waiting for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Finds workers for tasks.
    Plan,
    /// Encodes what is to be written.
    Batch,
    /// Takes in what workers tell.
    Held,
    /// Looks at leases, paces and repeats.
    Look,
}

/// The time that each kind of work took, and the latest timer, since the last line that told it.
#[derive(Debug, Default)]
pub struct Busy {
    micros: [AtomicU64; 4],
    late: AtomicU64,
}

/// What is told of an owner's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent {
    millis: [u64; 4],
    late: u64,
}

impl Busy {
    /// Does some work and counts its time.
    pub fn spend<T>(&self, work: Work, what: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let value = what();
        let took = began.elapsed().as_micros() as u64;
        self.micros[work as usize].fetch_add(took, Ordering::Relaxed);
        value
    }

    /// Notes how late a timer fired.
    pub fn late(&self, by: Duration) {
        self.late.fetch_max(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// What there was since the last call.
    pub fn take(&self) -> Spent {
        let millis = self.micros.each_ref().map(|m| m.swap(0, Ordering::Relaxed) / 1_000);
        Spent { millis, late: self.late.swap(0, Ordering::Relaxed) }
    }
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [plan, batch, held, look] = self.millis;
        let late = self.late;
        write!(f, "plan_ms={plan} batch_ms={batch} held_ms={held} look_ms={look} late_ms={late}")
    }
}
