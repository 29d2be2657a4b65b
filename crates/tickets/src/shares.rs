//! What each of several parties has used while they wait for turns, so that they get equal shares.

use std::collections::BTreeMap;

/// The use of each party that waits.
#[derive(Debug)]
pub(crate) struct Shares<K> {
    waiting: BTreeMap<K, Share>,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    used: u64,
    /// How many of its requests wait.
    requests: usize,
}

impl<K> Default for Shares<K> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Shares<K> {
    /// Counts a request that waits. A party that had none begins with the least that another one has
    /// used: it can't make up for the turns that it didn't need.
    pub(crate) fn enter(&mut self, party: &K) {
        let least = self.waiting.values().map(|share| share.used).min().unwrap_or(0);
        let share = self.waiting.entry(party.clone());
        share.or_insert(Share { used: least, requests: 0 }).requests += 1;
    }

    /// Counts off a request; a party without one is forgotten.
    pub(crate) fn leave(&mut self, party: &K) {
        if let Some(share) = self.waiting.get_mut(party) {
            share.requests -= 1;
            if share.requests == 0 {
                self.waiting.remove(party);
            }
        }
    }

    /// Adds to what a party has used.
    pub(crate) fn charge(&mut self, party: &K, amount: u64) {
        if let Some(share) = self.waiting.get_mut(party) {
            share.used += amount;
        }
    }

    /// What a party has used.
    pub(crate) fn used(&self, party: &K) -> u64 {
        self.waiting.get(party).map_or(0, |share| share.used)
    }
}
