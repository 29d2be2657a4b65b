//! What owners do in each step of the simulation.

use rand::RngExt;
use rand::seq::SliceRandom;

use myrtle_job::{Listing, OrderReply, TaskId};
use myrtle_owner::{Answer, Order, Outcome};

use super::{STEP, World};

/// Steps between two lease renewals of a worker.
const RENEW_EVERY: u64 = 8;

/// A late start that the next incarnation of its worker carried out.
#[derive(Debug)]
pub struct LateRun {
    pub task: TaskId,
    /// Whether an owner had reached that incarnation before.
    pub reached: bool,
}

impl World {
    /// Runs one step of an owner: listings, lease renewals, planning, orders and the write.
    pub(super) fn act(&mut self, at: usize) {
        let now = self.now;
        if !self.owners[at].logged {
            self.owners[at].cell.list_missed(now);
        }
        let mut entries: Vec<_> = self.workers.iter().collect();
        if self.shuffled {
            entries.shuffle(&mut self.rng);
        }
        for (id, worker) in entries {
            if worker.listed {
                let old = self.stale.get(id).filter(|(until, _)| now < *until);
                let listing = old.map_or(&worker.listing, |(_, listing)| listing);
                let start = if self.untold { 0 } else { listing.started_at };
                self.owners[at].cell.apply_listing(
                    id,
                    Listing { started_at: start, ..listing.clone() },
                    now,
                );
            } else {
                self.owners[at].cell.remove_listing(id, now);
            }
        }
        if (now / STEP).is_multiple_of(RENEW_EVERY) {
            self.renew_all(at);
            let cell = &mut self.owners[at].cell;
            cell.expire(now);
            cell.drain_leaving(now);
            cell.throttle_all(now);
            cell.find_late_runs(now);
            cell.give_up(now, now);
            cell.begin_rounds(now, now);
            let again = cell.resend(now);
            self.send_all(at, again);
        }
        self.owners[at].cell.plan(now);
        self.ask(at);
        let orders = self.owners[at].cell.orders();
        self.send_all(at, orders);
        self.commit(at);
    }

    /// Asks which workers may run the steps that need tickets.
    fn ask(&mut self, at: usize) {
        let now = self.now;
        if self.service.is_some() {
            return self.call_service(at);
        }
        while let Some(question) = self.owners[at].cell.next_question(now) {
            let permitted = question.workers.iter().filter(|w| self.permitted.contains(&&**w.id()));
            let permitted = permitted.map(|w| (w.clone(), "t".to_string())).collect();
            let answer = Answer::Granted(permitted);
            self.owners[at].cell.record_answer(&question, answer, now, now);
        }
    }

    /// Writes an owner's state to the log, unless the owner is cut off from it or deposed.
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
        for (incarnation, record) in &batch.worker_records {
            if record.is_empty() {
                self.traces.remove(incarnation);
            } else {
                self.traces.insert(incarnation.clone(), record.clone());
            }
        }
        let starts = owner.cell.committed(batch, now);
        self.send_all(at, starts);
    }

    /// Sends orders, some of them only after a delay at the host.
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

    /// Sends orders that a busy host has delayed, if they are still valid.
    pub(super) fn queued_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queued).into_iter().partition(|(due, ..)| *due <= now);
        self.queued = rest;
        for (_, at, mut order) in due {
            let owner = &mut self.owners[at];
            if !owner.deposed && owner.cell.still_wanted(&mut order, now) {
                self.send(at, order);
            }
        }
    }

    /// Sends an order, subject to the configured faults.
    fn send(&mut self, at: usize, order: Order) {
        let now = self.now;
        let id = order.worker().clone();
        let fence = self.owners[at].cell.fence;
        let leases = !self.seen || self.renews(at);
        let until = self.owners[at].cell.until(&id, now).filter(|_| leases);
        let start = matches!(order, Order::Start { .. });
        if !self.reaches(at, &id) || (start && until.is_none()) {
            return self.report(at, &order, Outcome::Unsent);
        }
        let no_starts = self.workers.get(id.id()).and_then(|w| w.no_starts);
        if let Some(outcome) = no_starts.filter(|_| start) {
            return self.report(at, &order, outcome);
        }
        let until = until.unwrap_or_default();
        let draw: f64 = self.rng.random();
        if draw < self.faults.late {
            let due = now + self.rng.random_range(2_000..12_000);
            self.late.push((due, fence, until, order.clone()));
            return self.report(at, &order, Outcome::Unknown);
        }
        if start && self.in_evacuated(id.id()) {
            self.judge.broken.push(format!("{now}: {order:?} though its data centre is evacuated"));
        }
        let outcome = self.carry_out(&order, fence, until);
        let lost = draw < self.faults.late + self.faults.unanswered;
        self.report(at, &order, if lost { Outcome::Unknown } else { outcome });
    }

    /// Executes an order if its worker still has the same incarnation.
    fn carry_out(&mut self, order: &Order, fence: u64, until: u64) -> Outcome {
        if let Some(by) = self.successor(order.worker()) {
            return Outcome::Replaced(by);
        }
        if let Some(worker) = self.workers.get_mut(order.worker().id()) {
            worker.reached = true;
        }
        self.execute(order, fence, until)
    }

    /// Executes an order on the current incarnation of its worker.
    fn execute(&mut self, order: &Order, fence: u64, until: u64) -> Outcome {
        let now = self.now;
        if let Order::Start { worker, task, ticket, .. } = order
            && self.judge.needs_ticket(*task)
            && let Some(service) = &mut self.service
            && !service.holds(*task, worker, ticket.as_deref().unwrap_or(""), now)
        {
            return Outcome::Replied(OrderReply::InvalidTicket);
        }
        let Some(worker) = self.workers.get_mut(order.worker().id()).filter(|w| !w.gone) else {
            return Outcome::Unknown;
        };
        let reply = match order {
            Order::Start { task, run, .. } => {
                let spec = self.judge.step(*task).clone();
                worker.start(*task, *run, &spec, (fence, until), now, &mut self.judge)
            }
            Order::Stop { task, run, .. } => worker.stop(*task, *run, fence, &mut self.judge),
            Order::Throttle { task, run, percent, .. } => worker.pace(*task, *run, *percent, fence),
        };
        Outcome::Replied(reply)
    }

    /// Reports the outcome of an order to its owner.
    fn report(&mut self, at: usize, order: &Order, outcome: Outcome) {
        let now = self.now;
        let cell = &mut self.owners[at].cell;
        let fenced = match order {
            Order::Start { worker, task, run, .. } => {
                cell.start_replied(worker, *task, *run, outcome, now)
            }
            Order::Stop { worker, task, run } => {
                cell.stop_replied(worker, *task, *run, outcome, now)
            }
            Order::Throttle { worker, task, run, percent } => {
                if outcome != Outcome::Replied(OrderReply::Done) {
                    cell.limit_unconfirmed(worker, *task, *run, *percent);
                }
                outcome == Outcome::Replied(OrderReply::Fenced)
            }
        };
        self.owners[at].deposed |= fenced;
    }

    /// Executes orders that were delayed in the network.
    pub(super) fn late_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= now);
        self.late = rest;
        for (_, fence, until, order) in due {
            if self.faults.outlive && self.successor(order.worker()).is_some() {
                self.execute_at_next(&order, fence, until);
            } else {
                self.carry_out(&order, fence, until);
            }
        }
    }

    /// Executes a late order on the next incarnation of its worker, and records a start that takes effect there.
    fn execute_at_next(&mut self, order: &Order, fence: u64, until: u64) {
        let reached = self.workers.get(order.worker().id()).is_some_and(|w| w.reached);
        let outcome = self.execute(order, fence, until);
        if let Order::Start { task, .. } = order
            && outcome == Outcome::Replied(OrderReply::Done)
        {
            self.late_runs.push(LateRun { task: *task, reached });
        }
    }
}
