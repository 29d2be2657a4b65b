//! A group: its members share out the partitions of a topic.
//!
//! A partition that is dealt to another member passes on only once its holder has joined with the generation of that,
//! has left or has lapsed. Until then it is nobody's, also where it was dealt back meanwhile.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Members and what they hold.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    held: BTreeMap<u32, String>,
    /// Partitions that were dealt away from a member which has not heard of it, and when.
    passing: BTreeMap<u32, (String, u64)>,
}

#[derive(Debug)]
struct Member {
    until: Instant,
}

impl Group {
    /// A member joins or stays; it has heard of the group up to `generation`.
    pub fn join(&mut self, name: &str, ttl: Duration, parts: u32, generation: u64) {
        self.lapse(parts);
        self.passing.retain(|_, (holder, since)| holder != name || generation < *since);
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
        self.passing.clear();
        self.generation += 1;
    }

    /// The generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The partitions of a member.
    pub fn held(&self, name: &str) -> Vec<u32> {
        let dealt = self.held.iter().filter(|(_, m)| *m == name).map(|(&part, _)| part);
        dealt.filter(|part| !self.passing.contains_key(part)).collect()
    }

    /// Partitions with their members.
    pub fn rows(&self) -> impl Iterator<Item = (u32, &str)> {
        self.held.iter().map(|(part, dealt)| {
            let holder = self.passing.get(part).map(|(holder, _)| holder);
            (*part, holder.unwrap_or(dealt).as_str())
        })
    }

    /// Deals the partitions out evenly; the latest member takes from the others.
    fn deal(&mut self, parts: u32) {
        self.generation += 1;
        let names: Vec<&String> = self.members.keys().collect();
        let dealt = (0..parts).filter_map(|part| {
            Some((part, (*names.get(part as usize % names.len().max(1))?).clone()))
        });
        let dealt: BTreeMap<u32, String> = dealt.collect();
        for (part, before) in &self.held {
            if dealt.get(part).is_some_and(|now| now != before) {
                self.passing.entry(*part).or_insert((before.clone(), self.generation));
            }
        }
        self.passing.retain(|_, (holder, _)| self.members.contains_key(holder));
        self.held = dealt;
    }
}
