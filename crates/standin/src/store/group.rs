//! A group: its members share out the partitions of a topic.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Members and what they hold.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    held: BTreeMap<u32, String>,
}

#[derive(Debug)]
struct Member {
    until: Instant,
}

impl Group {
    /// A member joins or stays.
    pub fn join(&mut self, name: &str, ttl: Duration, parts: u32) {
        self.lapse(parts);
        let until = Instant::now() + ttl;
        let fresh = !self.members.contains_key(name);
        self.members.insert(name.into(), Member { until });
        if fresh {
            self.deal(parts);
        }
    }

    /// A member leaves.
    pub fn leave(&mut self, name: &str, parts: u32) {
        if self.members.remove(name).is_some() {
            self.deal(parts);
        }
    }

    /// Members that were silent for too long are given up.
    pub fn lapse(&mut self, parts: u32) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, m| m.until > now);
        if self.members.len() < before {
            self.deal(parts);
        }
    }

    /// Forgets every member, as if all had lapsed at once.
    pub fn forget(&mut self) {
        self.members.clear();
        self.held.clear();
        self.generation += 1;
    }

    /// The generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The partitions of a member.
    pub fn held(&self, name: &str) -> Vec<u32> {
        self.held.iter().filter(|(_, m)| *m == name).map(|(&part, _)| part).collect()
    }

    /// Partitions with their members.
    pub fn rows(&self) -> impl Iterator<Item = (u32, &str)> {
        self.held.iter().map(|(&part, member)| (part, member.as_str()))
    }

    /// Deals the partitions out evenly; the latest member takes from the others.
    fn deal(&mut self, parts: u32) {
        self.generation += 1;
        let names: Vec<&String> = self.members.keys().collect();
        self.held = (0..parts)
            .filter_map(|part| {
                Some((part, (*names.get(part as usize % names.len().max(1))?).clone()))
            })
            .collect();
    }
}
