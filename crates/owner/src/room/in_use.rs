//! The room of a worker that short tasks use.

/// How long room stays with short tasks after the last one there has ended, in milliseconds: where
/// they wait, the next one comes sooner.
pub(crate) const KEPT_FOR: u64 = 1_000;

/// The same before a long-running task that has been down for long: short tasks have the first
/// choice, but it may not wait beside idle room.
pub(crate) const FIRST_CHOICE: u64 = 250;

/// The processors that short tasks use on a worker, or have used a moment ago.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ShortUse {
    /// In thousandths of a core.
    peak: u32,
    at: u64,
}

impl ShortUse {
    /// Notes what short tasks use now, in thousandths of a core.
    pub(crate) fn note(&mut self, cpu: u32, now: u64) {
        if cpu >= self.peak || now >= self.at + KEPT_FOR {
            *self = Self { peak: cpu, at: now };
        }
    }

    /// Sets room aside for short tasks that is free from `at` on.
    pub(crate) fn set_aside(&mut self, cpu: u32, at: u64) {
        *self = Self { peak: self.peak + cpu, at: self.at.max(at) };
    }

    /// What is in use or kept, in thousandths of a core.
    pub(crate) fn peak(&self, now: u64) -> u32 {
        if now < self.at + KEPT_FOR { self.peak } else { 0 }
    }

    /// What is kept beyond what short tasks use now, in thousandths of a core.
    ///
    /// It is kept for `kept_for` milliseconds after it was last in use.
    pub(crate) fn kept(&self, used: u32, kept_for: u64, now: u64) -> u32 {
        let peak = if now < self.at + kept_for { self.peak } else { 0 };
        peak.saturating_sub(used)
    }
}
