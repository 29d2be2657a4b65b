//! The borrower's side: what this gate may use of each unit, until when.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Ask, LOAN, Offer};

/// How long after a share grew by half it counts as growing: its tokens take that long to fill.
const FILLS: Duration = Duration::from_secs(1);

/// What a gate holds of one unit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// What it may use.
    pub lent: u32,
    /// What it should shrink to.
    pub fair: u32,
    /// What it asked for last.
    pub want: u32,
    /// What it asked for when the keeper answered last.
    pub told: u32,
    /// When it grew by half or more.
    pub grew: Option<Duration>,
    /// When the loan ends, by this gate's clock.
    pub until: Duration,
}

/// Everything that a gate holds, by the name of the unit.
#[derive(Debug, Default)]
pub struct Shares {
    all: BTreeMap<String, Share>,
}

impl Shares {
    /// What may be used of a unit now.
    pub fn usable(&self, unit: &str, now: Duration) -> u32 {
        self.all.get(unit).filter(|s| s.until > now).map_or(0, |s| s.lent)
    }

    /// Prepares an ask: gives up what is neither in use nor wanted, nor fair.
    ///
    /// The caller must not use more than the returned `have` from now on.
    pub fn ask(&mut self, unit: &str, busy: u32, want: u32, now: Duration) -> Ask {
        let share = self.all.entry(unit.into()).or_default();
        if share.until <= now {
            share.lent = 0;
        }
        let keep = busy.max(want.min(share.fair.max(1)));
        share.lent = share.lent.min(keep);
        share.want = want;
        Ask { have: share.lent, want }
    }

    /// Takes in the answer to an ask that was sent at `sent`.
    ///
    /// `bound` is the time until which the keeper itself may lend.
    pub fn offer(&mut self, unit: &str, offer: Offer, sent: Duration, bound: Duration) {
        let share = self.all.entry(unit.into()).or_default();
        if offer.lent > share.lent + share.lent / 2 {
            share.grew = Some(sent);
        }
        share.lent = offer.lent;
        share.fair = offer.fair;
        share.told = share.want;
        share.until = (sent + LOAN).min(bound);
    }

    /// Whether the loan must be asked for again soon, or another amount is wanted.
    pub fn due(&self, unit: &str, want: u32, now: Duration) -> bool {
        let Some(share) = self.all.get(unit) else { return want > 0 };
        let soon = share.until.saturating_sub(now) < LOAN * 2 / 3;
        soon && (want > 0 || share.lent > 0) || share.want != want || share.lent > share.fair
    }

    /// Whether the share grew just now or the keeper may lend more: it has not heard of `want`, or
    /// gave all that was wanted.
    pub fn growing(&self, unit: &str, want: u32, limit: u32, now: Duration) -> bool {
        let Some(share) = self.all.get(unit) else { return false };
        let grew = share.grew.is_some_and(|at| now.saturating_sub(at) < FILLS);
        grew || share.lent < limit && (want > share.told || share.lent >= want)
    }

    /// Forgets units that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.all.retain(|unit, _| keep(unit));
    }
}
