//! How owners renew the leases of workers, and which workers they reach.

use std::sync::Arc;

use myrtle_job::{Incarnation, Replacement};

use super::World;

impl World {
    /// Whether an owner's host lets it renew leases, which goes on for a while after a successor has begun.
    pub(super) fn renews(&self, at: usize) -> bool {
        let followed = self.owners[at].followed;
        followed.is_none_or(|since| self.now < since.saturating_add(self.renews))
    }

    /// Renews the lease of every worker for an owner.
    pub(super) fn renew_all(&mut self, at: usize) {
        let now = self.now;
        let renews = self.renews(at);
        let known = self.owners[at].cell.workers.iter().filter(|(_, w)| w.listing.is_some());
        for incarnation in known.map(|(incarnation, _)| incarnation.clone()).collect::<Vec<_>>() {
            let Some(args) = self.owners[at].cell.renewal_args(&incarnation, now) else {
                continue;
            };
            if !self.reaches(at, &incarnation) {
                let since = *self.unanswered.entry((at, incarnation.clone())).or_insert(now);
                if now >= since + self.patience {
                    self.owners[at].cell.renewal_failed(&incarnation, now);
                }
                continue;
            }
            self.unanswered.remove(&(at, incarnation.clone()));
            if let Some(by) = self.successor(&incarnation) {
                self.replace(at, &incarnation, by);
                continue;
            }
            let until = args.until.filter(|_| renews);
            let Some(worker) = self.workers.get_mut(incarnation.id()) else {
                continue;
            };
            match worker.hold(args.fence, args.logged_ends, until, now, &mut self.judge) {
                Ok(held) => self.owners[at].cell.renewed(&incarnation, held, now - 1, now, now),
                Err(_) => self.owners[at].deposed = true,
            }
        }
    }

    /// What answers at the address of an incarnation that is gone.
    pub(super) fn successor(&self, incarnation: &Incarnation) -> Option<Replacement> {
        let worker = self.workers.get(incarnation.id()).filter(|w| !w.gone);
        let Some(worker) = worker else {
            return Some(Replacement::Other);
        };
        let start = worker.listing.started_at;
        (start != incarnation.start()).then_some(Replacement::Restarted(start))
    }

    /// Handles a connection on which another incarnation answers; that one accepts the owner's fencing token.
    fn replace(&mut self, at: usize, incarnation: &Incarnation, by: Replacement) {
        let (now, fence) = (self.now, self.owners[at].cell.fence);
        if matches!(by, Replacement::Restarted(_))
            && let Some(worker) = self.workers.get_mut(incarnation.id())
            && worker.hold(fence, 0, None, now, &mut self.judge).is_err()
        {
            self.owners[at].deposed = true;
        }
        self.owners[at].cell.replaced(incarnation, by, now);
    }

    /// Whether an owner reaches a worker, or the one that has its address now.
    pub(super) fn reaches(&self, at: usize, incarnation: &Incarnation) -> bool {
        let Some(worker) = self.workers.get(incarnation.id()) else {
            return false;
        };
        let address = worker.listing.address;
        let mut others = self.workers.iter().filter(|(_, w)| w.listing.address == address);
        let next = others.find(|(_, w)| !w.gone).filter(|_| worker.gone);
        let (id, worker) = next.unwrap_or((incarnation.id(), worker));
        let cut = |id| self.cuts.get(&(at, Arc::clone(id))).copied().unwrap_or(false);
        worker.reachable && !cut(incarnation.id()) && !cut(id)
    }
}
