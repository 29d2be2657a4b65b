//! The coordinator's ledger of one limit: how much of it each gate may use, until when.
//!
//! The sum of all allocations never exceeds the limit. A gate stops using what it gives up before
//! it says so. A gate that falls silent keeps its allocation until that has expired, with a margin,
//! by the coordinator's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::rank;

/// How long an allocation is valid unless it is renewed.
pub const ALLOCATION_TTL: Duration = Duration::from_secs(4);

/// Margin after an allocation's end that covers the drift between the clocks of two gates.
const DRIFT: Duration = Duration::from_secs(1);

/// A gate's request to a coordinator for one resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationRequest {
    /// How much of its allocation it goes on using; it has stopped using the rest.
    pub keep: u32,
    /// How much it would like to use.
    pub want: u32,
}

/// A coordinator's answer to an [`AllocationRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationReply {
    /// How much the gate may use from now on.
    pub granted: u32,
    /// The gate's fair share, to which it should shrink since others need the rest.
    pub fair_share: u32,
}

/// One gate's allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The gate's incarnation; a later one has a larger number.
    pub incarnation: u64,
    /// The sequence number of the last request that was counted.
    pub seq: u64,
    /// How much it may use.
    pub granted: u32,
    /// How much it wanted last.
    pub want: u32,
    /// When it expires, by the coordinator's clock.
    pub until: Duration,
}

/// The allocations of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    resource: String,
    limit: u32,
    allocations: BTreeMap<String, Allocation>,
}

impl Ledger {
    /// A ledger without allocations for the resource named `resource`.
    pub fn new(resource: &str, limit: u32) -> Self {
        Self { resource: resource.into(), limit, allocations: BTreeMap::new() }
    }

    /// Changes the limit; allocations above it are freed as gates shrink.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Converts the times in the ledger from one process's clock to another's.
    pub fn convert_times(&mut self, from: Duration, to: Duration) {
        for allocation in self.allocations.values_mut() {
            allocation.until = to + allocation.until.saturating_sub(from);
        }
    }

    /// The sum of all allocations.
    pub fn allocated(&self) -> u32 {
        self.allocations.values().map(|a| a.granted).sum()
    }

    /// Answers a gate's request; one that is older than the last counted one gets nothing.
    pub fn allocate(
        &mut self,
        gate: &str,
        incarnation: u64,
        seq: u64,
        request: AllocationRequest,
        now: Duration,
    ) -> Option<AllocationReply> {
        self.expire(now);
        let known = self.allocations.get(gate);
        if known.is_some_and(|a| {
            incarnation < a.incarnation || (incarnation == a.incarnation && seq <= a.seq)
        }) {
            return None;
        }
        // An earlier incarnation of the gate may still use its allocation.
        if known.is_some_and(|a| incarnation > a.incarnation && a.granted > 0) {
            return None;
        }
        let granted = known.map_or(0, |a| a.granted).min(request.keep);
        let until = now + ALLOCATION_TTL + DRIFT;
        let allocation = Allocation { incarnation, seq, granted, want: request.want, until };
        self.allocations.insert(gate.into(), allocation);
        let fair = self.fair_share(gate);
        let spare = self.limit.saturating_sub(self.allocated());
        let more = fair.saturating_sub(granted).min(spare);
        let allocation = self.allocations.get_mut(gate).expect("it was just inserted");
        allocation.granted += more;
        Some(AllocationReply { granted: allocation.granted, fair_share: fair })
    }

    /// Removes expired allocations.
    fn expire(&mut self, now: Duration) {
        self.allocations.retain(|_, a| a.until > now);
    }

    /// A gate's share when no gate gets more than it wants and the rest is split evenly.
    fn fair_share(&self, gate: &str) -> u32 {
        let mut wants: Vec<_> =
            self.allocations.iter().map(|(g, a)| (a.want, g.as_str())).collect();
        // Gates that want the same are ordered by hash, so that the remainders of different
        // resources go to different gates.
        wants.sort_by_key(|(want, g)| (*want, rank(g, &self.resource)));
        let mut remaining = self.limit;
        let mut count = wants.len() as u32;
        for (want, name) in wants {
            let share = want.min(remaining / count);
            // The last gates in the order get the remainder.
            if name == gate {
                return share;
            }
            remaining -= share;
            count -= 1;
        }
        0
    }
}
