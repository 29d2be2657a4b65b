//! What workers, owners and logs do in each step of the simulation.

use rand::RngExt;

use myrtle_job::{
    EndReason, EndedRun, Key, OrderReply, Replacement, Running, TaskId, WorkerRuns, decode,
};
use myrtle_owner::{Delivery, Order, Outcome};

use super::fixtures::{first_of, name};
use super::{Cells, STEP, WORKERS};

impl Cells {
    /// Renews the leases of all workers of a cell.
    pub(super) fn renew(&mut self, cell: usize) {
        let now = self.now;
        for n in 0..WORKERS {
            let id = name(cell, n);
            if let Some(&back) = self.crashed.get(&id) {
                match now >= back {
                    true => self.owners[cell].replaced(&id, Replacement::Other, now),
                    false => self.owners[cell].renewal_failed(&id, now),
                }
                continue;
            }
            let start = self.incarnation(&id).start();
            let of_id =
                self.owners[cell].workers.keys().filter(|incarnation| incarnation.id() == id.id());
            let others = of_id.filter(|incarnation| incarnation.start() != start);
            for incarnation in others.cloned().collect::<Vec<_>>() {
                self.owners[cell].replaced(&incarnation, Replacement::Restarted(start), now);
            }
            let incarnation = self.incarnation(&id);
            let worker = self.workers.entry(id).or_default();
            let id = incarnation;
            let seen = self.owners[cell].renewal_args(&id, now).map_or(0, |args| args.logged_ends);
            worker.ended.retain(|end| end.seq > seen);
            let runs = self.owners[cell].workers.get(&id).map(|w| &w.active_runs);
            let long_running =
                |task: &TaskId| runs.and_then(|r| r.get(task)).is_none_or(|r| r.long_running);
            let shown = if self.lively { (now / STEP % 100) as f64 } else { 100.0 };
            let percent = |task: &TaskId| if long_running(task) { 100.0 } else { shown };
            let running = worker.runs.iter().map(|(&task, (run, saved))| Running {
                task,
                run: *run,
                checkpoint: saved.clone(),
                percent: percent(&task),
                metric: None,
            });
            let held = WorkerRuns {
                started_at: start,
                clock_ms: now,
                running: running.collect(),
                ended: worker.ended.clone(),
            };
            self.owners[cell].renewed(&id, held, now, now, now);
        }
    }

    /// Writes the state of an owner to its log, and sends its orders and deliveries.
    pub(super) fn write(&mut self, cell: usize) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        let mut orders = owner.orders();
        let batch = owner.batch();
        for (id, value) in &batch.records {
            match value.is_empty() {
                true => drop(self.progress[cell].remove(id)),
                false => drop(self.progress[cell].insert(*id, value.clone())),
            }
        }
        if self.ending.contains(&cell) {
            self.ending.retain(|c| *c != cell);
            return self.take_over(cell);
        }
        let owner = &mut self.owners[cell];
        orders.extend(owner.committed(batch, now));
        let deliveries = owner.deliveries();
        orders.into_iter().for_each(|order| self.execute(cell, order));
        self.deliver(cell, deliveries);
    }

    /// Executes an order and reports the outcome to the owner.
    pub(super) fn execute(&mut self, cell: usize, order: Order) {
        let now = self.now;
        let first = first_of(order.worker());
        let start = self.incarnation(&first).start();
        let outcome = match order.worker().start() == start {
            true => Outcome::Replied(OrderReply::Done),
            false => Outcome::Replaced(Replacement::Restarted(start)),
        };
        let worker = self.workers.entry(first).or_default();
        if matches!(outcome, Outcome::Replaced(_)) {
            match &order {
                Order::Start { worker: incarnation, task, run, .. } => {
                    self.owners[cell].start_replied(incarnation, *task, *run, outcome, now);
                }
                Order::Stop { worker: incarnation, task, run } => {
                    self.owners[cell].stop_replied(incarnation, *task, *run, outcome, now);
                }
                Order::Throttle { .. } => {}
            }
            return;
        }
        match &order {
            Order::Start { worker: incarnation, task, run, .. } => {
                worker.runs.insert(*task, (*run, format!("saved-{}", task.index)));
                self.owners[cell].start_replied(incarnation, *task, *run, outcome, now);
            }
            Order::Stop { worker: incarnation, task, run } => {
                if let Some((run, saved)) = worker.runs.remove(task) {
                    worker.count += 1;
                    let (seq, reason) = (worker.count, EndReason::Stopped);
                    worker.ended.push(EndedRun {
                        seq,
                        task: *task,
                        run,
                        reason,
                        checkpoint: saved,
                    });
                }
                self.owners[cell].stop_replied(incarnation, *task, *run, outcome, now);
            }
            Order::Throttle { .. } => {}
        }
        self.orders[cell].push(order);
    }

    /// Delivers records to the logs of other cells, unless they are lost or delayed.
    pub(super) fn deliver(&mut self, cell: usize, deliveries: Vec<Delivery>) {
        if self.lossy {
            return;
        }
        if let Some(rng) = &mut self.delays {
            let (now, fence) = (self.now, self.owners[cell].fence);
            let delayed =
                deliveries.into_iter().map(|d| (now + rng.random_range(0..2_500), cell, fence, d));
            return self.in_transit.extend(delayed);
        }
        for delivery in deliveries {
            let Delivery { key, to, record } = delivery;
            self.append(to as usize, key, record);
            self.owners[cell].delivered(key);
        }
    }

    /// Appends delayed deliveries to the logs; an owner that has ended meanwhile is not informed.
    pub(super) fn arrive(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= now);
        self.in_transit = rest;
        let due: Vec<(u64, usize, u64, Delivery)> = due;
        for (_, cell, fence, Delivery { key, to, record }) in due {
            self.append(to as usize, key, record);
            if self.owners[cell].fence == fence {
                self.owners[cell].delivered(key);
            }
        }
    }

    /// Appends a record to a cell's log, which its owner reads.
    pub(super) fn append(&mut self, cell: usize, key: Key, record: Vec<u8>) {
        self.jobs[cell].retain(|(k, _)| *k != key);
        self.jobs[cell].push((key, record.clone()));
        self.admit(cell, key, &record);
    }

    /// Passes a record from the log to the owner of its cell.
    pub(super) fn admit(&mut self, cell: usize, key: Key, record: &[u8]) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        match key {
            Key::Job(id) => {
                owner.admit(id, decode(record).unwrap(), now, now);
                owner.set_home(id, self.home);
            }
            Key::Transfer(id) => owner.receive_transfer(id, decode(record).unwrap(), now, now),
            Key::Recall(id) => owner.cancel_transferred(id, now, now),
        }
    }
}
