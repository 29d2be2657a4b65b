//! The policies that are compared, and the figures of one simulation.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use myrtle_base::Kind;

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The gate's policy: hedge binding by score, admission by price and deadline.
    Own,
    /// A random upstream, queueing there.
    Random,
    /// Each upstream in turn, queueing there.
    RoundRobin,
    /// The upstream with the fewest requests, queueing there.
    LeastBusy,
    /// The less busy of two random upstreams, queueing there.
    TwoChoices,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 5] =
        [Policy::Own, Policy::Random, Policy::RoundRobin, Policy::LeastBusy, Policy::TwoChoices];
}

/// Figures of one simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Latencies in microseconds by class.
    pub latency: Vec<Histogram<u64>>,
    /// Requests offered, by class.
    pub offered: Vec<u64>,
    /// Requests answered within their deadline, by class.
    pub good: Vec<u64>,
    /// Refusals by kind.
    pub refused: BTreeMap<Kind, u64>,
    /// Attempts at upstreams.
    pub attempts: u64,
    /// The most concurrent requests at one upstream.
    pub max_busy: u32,
}
