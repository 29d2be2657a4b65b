//! Times by phase.

use std::fmt;

use crate::account::phase::Phase;

/// Milliseconds by phase along one chain of steps.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    millis: [u32; Phase::ALL.len()],
    /// The estimated run time of the chain, in milliseconds.
    pub estimate: u32,
    /// The part of the successful runs' time that speed limits took, in milliseconds.
    pub throttled: u32,
}

impl Spans {
    /// Adds time to a phase.
    pub fn add(&mut self, phase: Phase, millis: u64) {
        let sum = &mut self.millis[phase as usize];
        *sum = sum.saturating_add(u32::try_from(millis).unwrap_or(u32::MAX));
    }

    /// The time in a phase, in milliseconds.
    pub fn of(&self, phase: Phase) -> u64 {
        self.millis[phase as usize].into()
    }

    /// The time in all phases, in milliseconds.
    pub fn total(&self) -> u64 {
        Phase::ALL.iter().map(|&phase| self.of(phase)).sum()
    }

    /// The phases that took time, in the order in which they are logged.
    pub fn phases(&self) -> impl Iterator<Item = (Phase, u64)> {
        Phase::ALL.iter().map(|&phase| (phase, self.of(phase))).filter(|(_, millis)| *millis > 0)
    }
}

impl std::ops::AddAssign for Spans {
    fn add_assign(&mut self, other: Self) {
        for phase in Phase::ALL {
            self.add(phase, other.of(phase));
        }
        self.estimate = self.estimate.saturating_add(other.estimate);
        self.throttled = self.throttled.saturating_add(other.throttled);
    }
}

impl fmt::Display for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (phase, millis) in self.phases() {
            write!(f, "{}_ms={millis} ", phase.key())?;
        }
        write!(f, "estimate_ms={} throttled_ms={}", self.estimate, self.throttled)
    }
}
