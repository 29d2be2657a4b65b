//! Credit that jobs earn, as a share of the possible credit.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::draw::Kind;

/// Share of a job's worth that doesn't depend on its size.
const BASE_FACTOR: f64 = 0.3;

/// Share of a job's worth that grows with its size.
const SIZE_FACTOR: f64 = 0.7;

/// Upper limit of a job's worth, over that of a job of mean size.
const MAX_FACTOR: f64 = 4.0;

/// Multiple of its latency objective within which a job still earns credit.
const LATE_LIMIT: u64 = 3;

/// Share of its worth that a job earns beyond its objective.
const LATE_SHARE: f64 = 0.15;

/// Earned and possible credit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct Earned {
    /// Credit that could be earned.
    #[serde(rename = "owed")]
    pub possible: f64,
    /// Credit that was earned.
    pub earned: f64,
}

impl Earned {
    /// Returns the share that was earned; 1 if none was possible.
    pub fn share(&self) -> f64 {
        if self.possible > 0.0 { self.earned / self.possible } else { 1.0 }
    }

    /// Adds possible credit of which a share was earned.
    pub fn add(&mut self, possible: f64, share: f64) {
        self.possible += possible;
        self.earned += possible * share;
    }
}

/// Credit and latency of completed jobs, by kind of job.
#[derive(Debug, Default, Clone)]
pub struct Account {
    kinds: BTreeMap<Kind, Earned>,
    waits: BTreeMap<Kind, Histogram<u64>>,
}

/// Returns the credit for a job of some size, in the unit of `Kind::mean`.
pub fn worth(kind: Kind, size: f64) -> f64 {
    kind.worth() * (BASE_FACTOR + SIZE_FACTOR * size / kind.mean()).min(MAX_FACTOR)
}

/// Returns the share of its worth that a job earns, given its latency in milliseconds, if it completed.
pub fn share(took: Option<u64>, objective: u64) -> f64 {
    match took {
        Some(took) if took <= objective => 1.0,
        Some(took) if took <= LATE_LIMIT * objective => LATE_SHARE,
        _ => 0.0,
    }
}

impl Account {
    /// Records possible credit and the share of it that was earned.
    pub fn note(&mut self, kind: Kind, possible: f64, share: f64) {
        self.kinds.entry(kind).or_default().add(possible, share);
    }

    /// Records the latency of a completed job, in milliseconds.
    pub fn record_latency(&mut self, kind: Kind, millis: u64) {
        let histogram =
            || Histogram::new_with_bounds(1, 600_000, 2).expect("the bounds are in order");
        self.waits.entry(kind).or_insert_with(histogram).saturating_record(millis);
    }

    /// Returns the credit of a kind of job.
    pub fn of(&self, kind: Kind) -> Earned {
        self.kinds.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the credit of all jobs.
    pub fn all(&self) -> Earned {
        let sum = |all: Earned, e: &Earned| Earned {
            possible: all.possible + e.possible,
            earned: all.earned + e.earned,
        };
        self.kinds.values().fold(Earned::default(), sum)
    }

    /// Returns a latency quantile of completed jobs of a kind, in milliseconds.
    pub fn wait(&self, kind: Kind, quantile: f64) -> u64 {
        self.waits.get(&kind).map_or(0, |h| h.value_at_quantile(quantile))
    }
}
