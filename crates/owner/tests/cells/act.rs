//! What workers, owners and logs do in a step.

use rand::RngExt;

use myrtle_job::{Ended, Held, How, Key, Running, Successor, TaskId, Told, decode};
use myrtle_owner::{Delivery, Order, Outcome};

use super::given::{first_of, name};
use super::{Cells, STEP, WORKERS};

impl Cells {
    /// Every worker of a cell answers a hold.
    pub(super) fn hold(&mut self, cell: usize) {
        let now = self.now;
        for n in 0..WORKERS {
            let id = name(cell, n);
            if let Some(&back) = self.crashed.get(&id) {
                match now >= back {
                    true => self.owners[cell].replaced(&id, Successor::Other, now),
                    false => self.owners[cell].hold_failed(&id, now),
                }
                continue;
            }
            let start = self.life(&id).start();
            let of_id = self.owners[cell].workers.keys().filter(|life| life.id() == id.id());
            let others = of_id.filter(|life| life.start() != start);
            for life in others.cloned().collect::<Vec<_>>() {
                self.owners[cell].replaced(&life, Successor::Restarted(start), now);
            }
            let life = self.life(&id);
            let worker = self.workers.entry(id).or_default();
            let id = life;
            let seen = self.owners[cell].hold_args(&id, now).map_or(0, |args| args.seen);
            worker.ended.retain(|end| end.number > seen);
            let flights = self.owners[cell].workers.get(&id).map(|w| &w.flights);
            let lasts = |task: &TaskId| flights.and_then(|f| f.get(task)).is_none_or(|f| f.lasting);
            let shown = if self.lively { (now / STEP % 100) as f64 } else { 100.0 };
            let percent = |task: &TaskId| if lasts(task) { 100.0 } else { shown };
            let running = worker.runs.iter().map(|(&task, (run, saved))| Running {
                task,
                run: *run,
                saved: saved.clone(),
                percent: percent(&task),
                figure: None,
            });
            let held =
                Held { start, clock: now, running: running.collect(), ended: worker.ended.clone() };
            self.owners[cell].held(&id, held, now, now, now);
        }
    }

    /// The owner writes; orders and deliveries go out.
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
        if self.dying.contains(&cell) {
            self.dying.retain(|c| *c != cell);
            return self.take_over(cell);
        }
        let owner = &mut self.owners[cell];
        orders.extend(owner.committed(batch, now));
        let deliveries = owner.deliveries();
        orders.into_iter().for_each(|order| self.carry_out(cell, order));
        self.deliver(cell, deliveries);
    }

    pub(super) fn carry_out(&mut self, cell: usize, order: Order) {
        let now = self.now;
        let first = first_of(order.worker());
        let start = self.life(&first).start();
        let told = match order.worker().start() == start {
            true => Outcome::Told(Told::Done),
            false => Outcome::Replaced(Successor::Restarted(start)),
        };
        let worker = self.workers.entry(first).or_default();
        if matches!(told, Outcome::Replaced(_)) {
            match &order {
                Order::Start { worker: life, task, run, .. } => {
                    self.owners[cell].start_told(life, *task, *run, told, now);
                }
                Order::Stop { worker: life, task, run } => {
                    self.owners[cell].stop_told(life, *task, *run, told, now);
                }
                Order::Pace { .. } => {}
            }
            return;
        }
        match &order {
            Order::Start { worker: life, task, run, .. } => {
                worker.runs.insert(*task, (*run, format!("saved-{}", task.index)));
                self.owners[cell].start_told(life, *task, *run, told, now);
            }
            Order::Stop { worker: life, task, run } => {
                if let Some((run, saved)) = worker.runs.remove(task) {
                    worker.told += 1;
                    let (number, how) = (worker.told, How::Stopped);
                    worker.ended.push(Ended { number, task: *task, run, how, saved });
                }
                self.owners[cell].stop_told(life, *task, *run, told, now);
            }
            Order::Pace { .. } => {}
        }
        self.orders[cell].push(order);
    }

    pub(super) fn deliver(&mut self, cell: usize, deliveries: Vec<Delivery>) {
        if self.lossy {
            return;
        }
        if let Some(rng) = &mut self.slow {
            let (now, fence) = (self.now, self.owners[cell].fence);
            let slow =
                deliveries.into_iter().map(|d| (now + rng.random_range(0..2_500), cell, fence, d));
            return self.under_way.extend(slow);
        }
        for delivery in deliveries {
            let Delivery { key, to, record } = delivery;
            self.give(to as usize, key, record);
            self.owners[cell].delivered(key);
        }
    }

    /// Deliveries that took their time are in the logs now; a dead owner does not learn of it.
    pub(super) fn arrive(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at, ..)| *at <= now);
        self.under_way = rest;
        let due: Vec<(u64, usize, u64, Delivery)> = due;
        for (_, cell, fence, Delivery { key, to, record }) in due {
            self.give(to as usize, key, record);
            if self.owners[cell].fence == fence {
                self.owners[cell].delivered(key);
            }
        }
    }

    /// Puts a record into a cell's log, and its owner reads it.
    pub(super) fn give(&mut self, cell: usize, key: Key, record: Vec<u8>) {
        self.jobs[cell].retain(|(k, _)| *k != key);
        self.jobs[cell].push((key, record.clone()));
        self.admit(cell, key, &record);
    }

    pub(super) fn admit(&mut self, cell: usize, key: Key, record: &[u8]) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        match key {
            Key::Job(id) => {
                owner.admit(id, decode(record).unwrap(), now, now);
                owner.settle(id, self.home);
            }
            Key::Part(id) => owner.take_part(id, decode(record).unwrap(), now, now),
            Key::Recall(id) => owner.take_back(id.job, now, now),
        }
    }
}
