//! The commands that hosts of the model propose.

use myrtle_base::LEASE;
use myrtle_cell::{End, Health, LeaseHolder, Op, State};

use super::{Bounds, Without, World};

impl World {
    /// The commands that a host may propose on the state that it last read.
    pub fn proposals(&self, host: usize, without: Without, bounds: Bounds) -> Vec<Op> {
        let known = &self.hosts[host];
        let mut ops = Vec::new();
        if bounds.cut && host == 0 {
            return ops;
        }
        for (id, task) in &known.cell.tasks {
            if task.state == State::Pending {
                let (task, attempt, worker) = (*id, task.attempt + 1, host as u32);
                ops.push(Op::Claim { task, attempt, worker });
            }
        }
        for (task, attempt) in &self.workers[host].stopped {
            let (task, attempt) = (*task, *attempt);
            let assigned = known.cell.tasks[&task].state.worker() == Some(host as u32);
            if assigned && known.cell.tasks[&task].attempt == attempt {
                ops.push(Op::End { task, attempt, end: End::Stopped(1) });
            }
        }
        let other = LeaseHolder::Worker(1 - host as u32);
        match known.cell.health(&other) {
            Some(Health::Up) if host == 1 => ops.push(Op::Suspect { holder: other }),
            Some(Health::Suspect { offset, since }) => {
                let waited = self.now.since(since) >= LEASE || without == Without::LapseWait;
                if waited {
                    ops.push(self.lapse(other, offset, without));
                }
            }
            _ => {}
        }
        let own = LeaseHolder::Worker(host as u32);
        if let Some(Health::Suspect { .. }) = known.cell.health(&own) {
            ops.push(Op::Clear { holder: own });
        }
        ops
    }

    fn lapse(&self, holder: LeaseHolder, suspected: u64, without: Without) -> Op {
        let consents = (0..3).filter(|n| {
            let host = &self.hosts[*n];
            match without {
                Without::Consents => true,
                Without::OnePromise => matches!(host.cell.health(&holder),
                    Some(Health::Suspect { offset, .. }) if offset == suspected),
                _ => host.promise.consent_lapse(&host.cell, &holder, suspected, self.now),
            }
        });
        let consents = consents.map(|n| format!("s{n}")).collect();
        Op::Lapse { holder, suspected, consents }
    }
}
