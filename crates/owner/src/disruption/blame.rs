//! Whether fillers are to blame for serving tasks that exceed their targets.
//!
//! Serving tasks may be slow for reasons of their own. Fillers that are halted for that would stay halted for as long as
//! it lasts, and no report could ever show that they have no part in it. So a worker whose serving tasks stay slow
//! without fillers lets them work for a while, after which it is tried again whether the tasks are slow without them.

/// How long no filler has to work on a worker until its reports show the serving tasks alone, in milliseconds: an order
/// and a whole window.
const ALONE_FOR: u64 = 1_200;

/// For how long fillers may then work, in milliseconds; the platform allows them to slow serving tasks for less than twice
/// as long.
const EXCUSED_FOR: u64 = 2_000;

/// Whether the fillers of a worker are to blame for serving tasks that exceed their targets.
#[derive(Debug, Default, Clone)]
pub(crate) struct Blame {
    /// Since when no filler has worked on the worker.
    alone_since: Option<u64>,
    /// Until when its fillers may work beside tasks that exceed their targets.
    excused_until: u64,
}

impl Blame {
    /// Updates it: whether some filler works, and whether a serving task exceeds its target.
    pub(crate) fn update(&mut self, fillers_work: bool, slow: bool, now: u64) {
        if fillers_work {
            self.alone_since = None;
            return;
        }
        self.alone_since.get_or_insert(now);
        if slow && self.seen_alone(now) {
            self.excused_until = now + EXCUSED_FOR;
        }
    }

    /// Whether the reports show the serving tasks without fillers.
    pub(crate) fn seen_alone(&self, now: u64) -> bool {
        self.alone_since.is_some_and(|since| now >= since + ALONE_FOR)
    }

    /// Whether its fillers have no part in what its serving tasks report.
    pub(crate) fn excused(&self, now: u64) -> bool {
        now < self.excused_until
    }
}
