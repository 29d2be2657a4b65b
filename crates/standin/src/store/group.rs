//! A group, whose members divide the partitions of a topic among themselves.
//!
//! A reassigned partition is released only once its previous member has joined with the new generation, has left or
//! has expired. Until then no member gets it, even if it was assigned back in the meantime.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The members of a group and their partitions.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    assigned: BTreeMap<u32, String>,
    /// Reassigned partitions not yet released, with the previous member and the generation of the reassignment.
    unreleased: BTreeMap<u32, (String, u64)>,
}

#[derive(Debug)]
struct Member {
    until: Instant,
}

impl Group {
    /// Adds a member or renews its membership; it has seen the group up to `generation`.
    pub fn join(&mut self, name: &str, ttl: Duration, partitions: u32, generation: u64) {
        self.expire(partitions);
        self.unreleased.retain(|_, (previous, since)| previous != name || generation < *since);
        let until = Instant::now() + ttl;
        let new = !self.members.contains_key(name);
        self.members.insert(name.into(), Member { until });
        if new {
            self.reassign(partitions);
        }
    }

    /// Removes a member.
    pub fn leave(&mut self, name: &str, partitions: u32) {
        if self.members.remove(name).is_some() {
            self.reassign(partitions);
        }
    }

    /// Removes members whose time to live has passed.
    pub fn expire(&mut self, partitions: u32) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, m| m.until > now);
        if self.members.len() < before {
            self.reassign(partitions);
        }
    }

    /// Removes all members, as if all had expired at once.
    pub fn clear(&mut self) {
        self.members.clear();
        self.assigned.clear();
        self.unreleased.clear();
        self.generation += 1;
    }

    /// The version of the group, which rises with each reassignment.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The partitions that a member may use.
    pub fn partitions(&self, name: &str) -> Vec<u32> {
        let assigned =
            self.assigned.iter().filter(|(_, m)| *m == name).map(|(&partition, _)| partition);
        assigned.filter(|partition| !self.unreleased.contains_key(partition)).collect()
    }

    /// The partitions with their members; unreleased ones with the previous member.
    pub fn rows(&self) -> impl Iterator<Item = (u32, &str)> {
        self.assigned.iter().map(|(partition, assigned)| {
            let previous = self.unreleased.get(partition).map(|(previous, _)| previous);
            (*partition, previous.unwrap_or(assigned).as_str())
        })
    }

    /// Reassigns the partitions evenly in the order of the members' names.
    fn reassign(&mut self, partitions: u32) {
        self.generation += 1;
        let names: Vec<&String> = self.members.keys().collect();
        let assigned = (0..partitions).filter_map(|partition| {
            Some((partition, (*names.get(partition as usize % names.len().max(1))?).clone()))
        });
        let assigned: BTreeMap<u32, String> = assigned.collect();
        for (partition, before) in &self.assigned {
            if assigned.get(partition).is_some_and(|now| now != before) {
                self.unreleased.entry(*partition).or_insert((before.clone(), self.generation));
            }
        }
        self.unreleased.retain(|_, (previous, _)| self.members.contains_key(previous));
        self.assigned = assigned;
    }
}
