//! Workers that a task crashes and that restart at the same address, with the same or a new id.

use myrtle_job::{Incarnation, Listing, Replacement, TaskId};

use super::draw::CRASHING_BODY;
use super::machine::Machine;
use super::sim::{STEP, Sim};

/// Run time of a task before it crashes its worker, in milliseconds.
const CRASH_DELAY: u64 = 20;

/// Time from a worker's crash to its restart, in milliseconds.
const RESTART_DELAY: u64 = 3_200;

/// Workers that are about to crash or to restart.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    due: Vec<(u64, Incarnation)>,
    restarting: Vec<(u64, Incarnation, Listing)>,
    /// Number of crashes so far.
    pub(super) count: u32,
}

impl Crashes {
    /// Returns whether the worker at an address crashed and will restart.
    pub(super) fn restarting(&self, address: std::net::SocketAddr) -> bool {
        self.restarting.iter().any(|(.., listing)| listing.address == address)
    }
}

impl Sim<'_> {
    /// Schedules a crash of the worker if the started task crashes workers.
    pub(super) fn schedule_crash(&mut self, worker: &Incarnation, task: TaskId) {
        let body = &self.submitted[&task.job].submission.spec.body;
        if &**body == CRASHING_BODY && task.step == 0 && task.index == 0 {
            self.crashes.due.push((self.now + CRASH_DELAY, worker.clone()));
        }
    }

    /// Crashes and restarts the workers that are due.
    pub(super) fn crash(&mut self) {
        let now = self.now;
        let due = self.crashes.due.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, incarnation) in due {
            if let Some(machine) = self.machines.remove(&incarnation) {
                self.crashes.count += 1;
                self.cell.renewal_failed(&incarnation, now);
                self.crashes.restarting.push((now + RESTART_DELAY, incarnation, machine.listing));
            }
        }
        let restarted =
            self.crashes.restarting.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (at, incarnation, listing) in restarted {
            // About half of the workers keep their ids.
            let (id, by) = match (at / STEP).is_multiple_of(2) {
                true => (incarnation.id().clone(), Replacement::Restarted(now)),
                false => (format!("w{}-{now}", listing.address.port()).into(), Replacement::Other),
            };
            // Calls to the crashed incarnation reach the new one at its address.
            self.cell.replaced(&incarnation, by, now);
            let listing = Listing { offset: now, started_at: now, ..listing };
            self.machines.insert(Incarnation::new(id, now), Machine::new(listing));
        }
    }
}
