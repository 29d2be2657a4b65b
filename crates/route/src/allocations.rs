//! The gate's side of allocations: how much of each resource this gate may use, until when.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{ALLOCATION_TTL, AllocationReply, AllocationRequest};

/// An allocation that grew by half counts as growing for this time, while its tokens fill up.
const GROWTH: Duration = Duration::from_secs(1);

/// A gate's allocation of one resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// How much the gate may use.
    pub granted: u32,
    /// The fair share, to which the gate should shrink.
    pub fair_share: u32,
    /// How much it asked for last.
    pub want: u32,
    /// How much it had asked for when the coordinator last replied.
    pub answered: u32,
    /// When it last grew by half or more.
    pub grew_at: Option<Duration>,
    /// When the allocation expires, by this gate's clock.
    pub until: Duration,
}

/// All allocations of a gate, by the name of the resource.
#[derive(Debug, Default)]
pub struct Allocations {
    all: BTreeMap<String, Held>,
}

impl Allocations {
    /// How much of a resource may be used now.
    pub fn usable(&self, resource: &str, now: Duration) -> u32 {
        self.all.get(resource).filter(|h| h.until > now).map_or(0, |h| h.granted)
    }

    /// Prepares a request to the coordinator and gives up what is neither in use, nor wanted within
    /// the fair share.
    ///
    /// The caller must not use more than the returned `keep` from now on.
    pub fn ask(
        &mut self,
        resource: &str,
        busy: u32,
        want: u32,
        now: Duration,
    ) -> AllocationRequest {
        let held = self.all.entry(resource.into()).or_default();
        if held.until <= now {
            held.granted = 0;
        }
        let keep = busy.max(want.min(held.fair_share.max(1)));
        held.granted = held.granted.min(keep);
        held.want = want;
        AllocationRequest { keep: held.granted, want }
    }

    /// Applies the coordinator's reply to a request that was sent at `sent`.
    ///
    /// `lease_end` is the time until which the coordinator itself may allocate.
    pub fn apply(
        &mut self,
        resource: &str,
        reply: AllocationReply,
        sent: Duration,
        lease_end: Duration,
    ) {
        let held = self.all.entry(resource.into()).or_default();
        if reply.granted > held.granted + held.granted / 2 {
            held.grew_at = Some(sent);
        }
        held.granted = reply.granted;
        held.fair_share = reply.fair_share;
        held.answered = held.want;
        held.until = (sent + ALLOCATION_TTL).min(lease_end);
    }

    /// Whether the allocation must be renewed soon, or another amount is wanted.
    pub fn due(&self, resource: &str, want: u32, now: Duration) -> bool {
        let Some(held) = self.all.get(resource) else { return want > 0 };
        let soon = held.until.saturating_sub(now) < ALLOCATION_TTL * 2 / 3;
        soon && (want > 0 || held.granted > 0)
            || held.want != want
            || held.granted > held.fair_share
    }

    /// Whether the allocation has just grown, or the coordinator may have more to give: it has not
    /// yet replied to a request for `want`, or it granted all that was wanted.
    pub fn growing(&self, resource: &str, want: u32, limit: u32, now: Duration) -> bool {
        let Some(held) = self.all.get(resource) else { return false };
        let grew = held.grew_at.is_some_and(|at| now.saturating_sub(at) < GROWTH);
        grew || held.granted < limit && (want > held.answered || held.granted >= want)
    }

    /// Removes resources that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.all.retain(|resource, _| keep(resource));
    }
}
