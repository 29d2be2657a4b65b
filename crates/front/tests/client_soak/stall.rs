//! The moments at which the test's own process stood still.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::time::sleep;

/// The time between two looks.
const EVERY: Duration = Duration::from_millis(5);

/// The lateness from which on a moment counts.
const MAX_LATENESS: Duration = Duration::from_millis(150);

/// The intervals in which the timers of this process were late.
#[derive(Debug, Default, Clone)]
pub struct Stalls(Arc<Mutex<Vec<(Instant, Instant)>>>);

impl Stalls {
    /// Begins to measure.
    pub fn watch() -> Self {
        let stalls = Self::default();
        let seen = stalls.clone();
        tokio::spawn(async move {
            loop {
                let from = Instant::now();
                sleep(EVERY).await;
                if from.elapsed() > EVERY + MAX_LATENESS {
                    seen.0.lock().unwrap().push((from, Instant::now()));
                }
            }
        });
        stalls
    }

    /// Whether a stall touched an interval.
    pub fn touch(&self, from: Instant, to: Instant) -> bool {
        self.all().iter().any(|&(begin, end)| begin <= to && from <= end)
    }

    /// All stalls.
    pub fn all(&self) -> Vec<(Instant, Instant)> {
        self.0.lock().unwrap().clone()
    }
}
