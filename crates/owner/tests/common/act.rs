//! What owners do in each step of the world.

use std::sync::Arc;

use rand::RngExt;

use myrtle_job::Told;
use myrtle_owner::{Order, Outcome};

use super::{STEP, World};

/// Steps between two holds of a worker.
const HOLD_EVERY: u64 = 8;

impl World {
    /// Lets an owner do what is due.
    pub(super) fn act(&mut self, at: usize) {
        let now = self.now;
        if !self.owners[at].logged {
            self.owners[at].cell.list_missed(now);
        }
        for (id, worker) in &self.workers {
            if worker.listed {
                self.owners[at].cell.list(id, worker.listing.clone(), now);
            } else {
                self.owners[at].cell.unlist(id, now);
            }
        }
        if (now / STEP).is_multiple_of(HOLD_EVERY) {
            self.hold_all(at);
            let cell = &mut self.owners[at].cell;
            cell.lapse(now);
            cell.evacuate(now);
            cell.guard_all(now);
            cell.look_for_copies(now);
            cell.give_up(now, now);
            cell.begin_rounds(now);
            let again = cell.repeat(now);
            self.send_all(at, again);
        }
        self.owners[at].cell.plan(now);
        for question in self.owners[at].cell.questions() {
            let good = question.workers.iter().filter(|w| self.permitted.contains(&&***w));
            let good = good.map(|w| (w.clone(), "t".to_string())).collect();
            self.owners[at].cell.answered(&question, Some(good), now, now);
        }
        let orders = self.owners[at].cell.orders();
        self.send_all(at, orders);
        self.commit(at);
    }

    /// Writes what an owner knows, unless it is cut off or deposed.
    fn commit(&mut self, at: usize) {
        let now = self.now;
        let current = self.fence;
        let owner = &mut self.owners[at];
        if owner.batch.is_none() {
            owner.batch = Some(owner.cell.batch()).filter(|b| !b.is_empty());
        }
        if !owner.logged {
            return;
        }
        let Some(batch) = owner.batch.take() else {
            return;
        };
        if owner.cell.fence < current {
            owner.deposed = true;
            return;
        }
        for (id, bytes) in &batch.records {
            self.progress.insert(*id, bytes.clone());
        }
        for (life, record) in &batch.traces {
            if record.is_empty() {
                self.traces.remove(life);
            } else {
                self.traces.insert(life.clone(), record.clone());
            }
        }
        let starts = owner.cell.committed(batch, now);
        self.send_all(at, starts);
    }

    /// Holds every worker for an owner.
    fn hold_all(&mut self, at: usize) {
        let now = self.now;
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            if !self.knows(at, &id) {
                continue;
            }
            let Some(args) = self.owners[at].cell.hold_args(&id, now) else {
                continue;
            };
            if !self.reaches(at, &id) {
                self.owners[at].cell.hold_failed(&id, false, now);
                continue;
            }
            let worker = self.workers.get_mut(&id).unwrap();
            if worker.gone {
                self.owners[at].cell.hold_failed(&id, true, now);
                continue;
            }
            match worker.hold(args.fence, args.seen, args.until, now, &mut self.judge) {
                Ok(held) => self.owners[at].cell.held(&id, held, now - 1, now, now),
                Err(_) => self.owners[at].deposed = true,
            }
        }
    }

    fn send_all(&mut self, at: usize, orders: Vec<Order>) {
        for order in orders {
            if self.rng.random_bool(self.faults.queued) {
                let due = self.now + self.rng.random_range(0..6_000);
                self.queued.push((due, at, order));
            } else {
                self.send(at, order);
            }
        }
    }

    /// Sends orders that a busy host has kept for a while, if they still stand.
    pub(super) fn queued_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queued).into_iter().partition(|(due, ..)| *due <= now);
        self.queued = rest;
        for (_, at, order) in due {
            let owner = &mut self.owners[at];
            if !owner.deposed && owner.cell.stands(&order, now) {
                self.send(at, order);
            }
        }
    }

    /// Sends an order, with what may go wrong.
    fn send(&mut self, at: usize, order: Order) {
        let now = self.now;
        let id = order.worker().clone();
        let fence = self.owners[at].cell.fence;
        let until = self.owners[at].cell.until(&id, now);
        let start = matches!(order, Order::Start { .. });
        if !self.knows(at, &id) || !self.reaches(at, &id) || (start && until.is_none()) {
            return self.tell(at, &order, Outcome::Unsent);
        }
        let until = until.unwrap_or_default();
        let draw: f64 = self.rng.random();
        if draw < self.faults.late {
            let due = now + self.rng.random_range(2_000..12_000);
            self.late.push((due, fence, until, order.clone()));
            return self.tell(at, &order, Outcome::Unknown);
        }
        if start && self.in_emptied(&id) {
            self.judge.broken.push(format!("{now}: {order:?} though its data centre is emptied"));
        }
        let outcome = self.carry_out(&order, fence, until);
        let lost = draw < self.faults.late + self.faults.unanswered;
        self.tell(at, &order, if lost { Outcome::Unknown } else { outcome });
    }

    /// Lets a worker carry out an order.
    fn carry_out(&mut self, order: &Order, fence: u64, until: u64) -> Outcome {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(order.worker()) else {
            return Outcome::Reborn;
        };
        if worker.gone {
            return Outcome::Reborn;
        }
        let told = match order {
            Order::Start { task, run, .. } => {
                let spec = self.judge.step(*task).clone();
                worker.start(*task, *run, &spec, (fence, until), now, &mut self.judge)
            }
            Order::Stop { task, run, .. } => worker.stop(*task, *run, fence, &mut self.judge),
            Order::Pace { task, run, percent, .. } => worker.pace(*task, *run, *percent, fence),
        };
        Outcome::Told(told)
    }

    /// Tells an owner what came of an order.
    fn tell(&mut self, at: usize, order: &Order, outcome: Outcome) {
        let now = self.now;
        let cell = &mut self.owners[at].cell;
        let fenced = match order {
            Order::Start { worker, task, run, .. } => {
                cell.start_told(worker, *task, *run, outcome, now)
            }
            Order::Stop { worker, task, run } => cell.stop_told(worker, *task, *run, outcome, now),
            Order::Pace { worker, task, run, percent } => {
                if outcome != Outcome::Told(Told::Done) {
                    cell.pace_unsure(worker, *task, *run, *percent);
                }
                outcome == Outcome::Told(Told::Fenced)
            }
        };
        self.owners[at].deposed |= fenced;
    }

    /// Carries out orders that were on the way for long.
    pub(super) fn late_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= now);
        self.late = rest;
        for (_, fence, until, order) in due {
            self.carry_out(&order, fence, until);
        }
    }

    /// Whether an owner knows where a worker takes orders.
    fn knows(&self, at: usize, worker: &Arc<str>) -> bool {
        self.owners[at].cell.workers.get(worker).is_some_and(|w| w.listing.is_some())
    }

    /// Whether an owner reaches a worker.
    fn reaches(&self, at: usize, worker: &Arc<str>) -> bool {
        let cut = self.cuts.get(&(at, worker.clone())).copied().unwrap_or(false);
        !cut && self.workers.get(worker).is_some_and(|w| w.reachable)
    }
}
