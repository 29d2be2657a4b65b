//! Decides which connection is evicted where room is short.

use std::time::Duration;

/// An open connection, as the decision sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Its number.
    pub number: u64,
    /// The bytes held for it.
    pub held: usize,
    /// How long its present phase lasts: since its last answer, or since its request began to arrive; nothing while a
    /// request that has arrived as a whole is carried out, which is never given up.
    pub waits: Option<Duration>,
}

impl Holding {
    /// What it costs: its bytes for as long as they have been of no use.
    fn cost(&self) -> Option<u128> {
        // One that has just come costs something, too.
        Some(self.held as u128 * (self.waits?.as_millis() + 1))
    }
}

/// The connection that costs most without progress, if any may be evicted; of equal ones the oldest.
pub fn choose(holdings: impl Iterator<Item = Holding>) -> Option<u64> {
    let costly = holdings.filter_map(|c| Some((c.cost()?, std::cmp::Reverse(c.number))));
    costly.max().map(|(_, std::cmp::Reverse(number))| number)
}
