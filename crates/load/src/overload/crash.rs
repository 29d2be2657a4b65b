//! Workers that crash by what they start, and come back at their addresses: under other ids, or under their own.

use myrtle_job::{Incarnation, Listing, Replacement, TaskId};

use super::draw::CRASHES;
use super::machine::Machine;
use super::sim::{STEP, Sim};

/// How long a task works before it crashes its worker, in milliseconds.
const AFTER: u64 = 20;

/// How long a crashed worker is away, in milliseconds.
const AWAY: u64 = 3_200;

/// Workers that are about to crash, and those that are away.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    due: Vec<(u64, Incarnation)>,
    away: Vec<(u64, Incarnation, Listing)>,
    /// How many workers have crashed.
    pub(super) count: u32,
}

impl Crashes {
    /// Whether a worker is away that will be back.
    pub(super) fn away(&self, address: std::net::SocketAddr) -> bool {
        self.away.iter().any(|(.., listing)| listing.address == address)
    }
}

impl Sim<'_> {
    /// A task was started; its worker crashes soon if the task is one that does that.
    pub(super) fn begun(&mut self, worker: &Incarnation, task: TaskId) {
        let body = &self.given[&task.job].submission.spec.body;
        if &**body == CRASHES && task.step == 0 && task.index == 0 {
            self.crashes.due.push((self.now + AFTER, worker.clone()));
        }
    }

    /// Workers crash and come back.
    pub(super) fn crash(&mut self) {
        let now = self.now;
        let due = self.crashes.due.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, incarnation) in due {
            if let Some(machine) = self.machines.remove(&incarnation) {
                self.crashes.count += 1;
                self.cell.renewal_failed(&incarnation, now);
                self.crashes.away.push((now + AWAY, incarnation, machine.listing));
            }
        }
        let back = self.crashes.away.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (at, incarnation, listing) in back {
            // Every other one keeps its id.
            let (id, by) = match (at / STEP).is_multiple_of(2) {
                true => (incarnation.id().clone(), Replacement::Restarted(now)),
                false => (format!("w{}-{now}", listing.address.port()).into(), Replacement::Other),
            };
            // Calls to the one that crashed reach whoever is there by now.
            self.cell.replaced(&incarnation, by, now);
            let listing = Listing { offset: now, started_at: now, ..listing };
            self.machines.insert(Incarnation::new(id, now), Machine::new(listing));
        }
    }
}
