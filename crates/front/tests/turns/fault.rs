//! Faults of hosts, of the store and of the directory.

use rand::RngExt;

use myrtle_front::Entry;

use super::world::World;
use super::{LOCAL_LIMIT, TTL};

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Every owner is killed.
    Owners,
    /// Every owner is killed, and soon after one of the successors.
    Successor,
    /// More than half of all hosts lose power.
    Power,
    /// All hosts with the capacity are lost.
    Capable,
    /// A data centre is cut off.
    Centre,
    /// The store rejects the owners and a third of the other hosts.
    Rejected,
    /// The store is unreachable, and all memberships lapse.
    Store,
    /// Owners are paused and resume.
    Paused,
    /// Records of the directory are delayed, and owners are killed.
    Late,
    /// The directory announces cells as free that have owners.
    FalseVacancy,
}

impl World {
    /// Injects a fault.
    pub fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Owners => self.kill(&self.owners()),
            Fault::Successor => {
                self.kill(&self.owners());
                self.run(TTL + LOCAL_LIMIT);
                // Killing only one leaves enough hosts.
                let next = self.owners();
                self.kill(&next[..1]);
            }
            Fault::Power => {
                let hosts = (0..self.hosts.len()).filter(|_| self.rng.random_bool(0.55));
                let hosts: Vec<usize> = hosts.collect();
                self.kill(&hosts);
            }
            Fault::Capable => {
                let has_capacity = (0..self.hosts.len()).filter(|&at| self.hosts[at].has_capacity);
                self.kill(&has_capacity.collect::<Vec<_>>());
            }
            Fault::Centre => {
                let own = self.hosts.iter_mut().filter(|host| host.centre == 0);
                own.for_each(|host| host.cut_until = now + 30_000);
            }
            Fault::Rejected => {
                let owners = self.owners();
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if owners.contains(&at) || self.rng.random_bool(0.33) {
                        host.cut_until = now + 9_000;
                    }
                }
            }
            Fault::Store => {
                self.hosts.iter_mut().for_each(|host| host.cut_until = now + 4_500);
                self.run(4_500);
                self.cells
                    .iter_mut()
                    .for_each(|cell| cell.vacant_since = cell.vacant_since.max(self.now));
                self.longest_vacancy = 0;
            }
            Fault::Paused => {
                let owners = self.owners();
                owners.iter().for_each(|&at| self.hosts[at].paused_until = now + 4_000);
            }
            Fault::Late => {
                self.max_delay = 3_000;
                self.kill(&self.owners());
            }
            Fault::FalseVacancy => {
                for cell in 0..self.cells.len() {
                    let fence = self.cells[cell].fence + 5;
                    self.write(cell, Entry { fence, member: String::new() });
                }
            }
        }
    }

    fn kill(&mut self, hosts: &[usize]) {
        let down_until = self.now + 30_000;
        hosts.iter().for_each(|&at| self.hosts[at].down_until = down_until);
    }
}
