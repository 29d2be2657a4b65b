//! What came of orders.

use log::{info, warn};

use myrtle_job::{Incarnation, TaskId, Told};

use crate::{Cell, Life, Order, Outcome, Stage};

/// The wait before a run that got no answer is told again, in milliseconds: longer than a usual
/// answer, far shorter than a task.
const AGAIN: u64 = 150;

/// How long a worker without room is left alone, in milliseconds: its next hold tells more.
const FULL_PAUSE: u64 = 40;

/// How long an unwell worker is left alone, in milliseconds.
const UNWELL_PAUSE: u64 = 1_000;

/// The wait before a refused task is tried again, in milliseconds.
const REFUSED_PAUSE: u64 = 10;

impl Cell {
    /// Takes in what came of a start; true if a later owner is the reason for a refusal.
    pub fn start_told(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        outcome: Outcome,
        now: u64,
    ) -> bool {
        if outcome != Outcome::Told(Told::Done) {
            info!("event=start-told task={task} run={run} worker={life} outcome={outcome:?}");
        }
        match outcome {
            Outcome::Told(Told::Done) => self.started(life, task, run, now),
            Outcome::Told(Told::Fenced) => return true,
            Outcome::Replaced(by) => self.replaced(life, by, now),
            // It has been there: the worker's lists tell how it ended.
            Outcome::Told(Told::Old) => self.started(life, task, run, now),
            Outcome::Told(told) => self.refused(life, task, run, told, now),
            Outcome::Unwell => {
                self.set_aside(life, now + UNWELL_PAUSE);
                self.retract(life, task, run, now);
            }
            Outcome::Unsent => self.doubt(life, task, run, false, now),
            Outcome::Unknown => self.doubt(life, task, run, true, now),
        }
        false
    }

    /// Takes in what came of a stop; true if a later owner is the reason for a refusal.
    pub fn stop_told(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        outcome: Outcome,
        now: u64,
    ) -> bool {
        if outcome == Outcome::Told(Told::Fenced) {
            return true;
        }
        if let Outcome::Replaced(by) = outcome {
            self.replaced(life, by, now);
            return false;
        }
        let Some(worker) = self.workers.get_mut(life) else {
            return false;
        };
        let Some(flight) = worker.flights.get_mut(&task).filter(|f| f.run == run) else {
            return false;
        };
        match outcome {
            Outcome::Told(_) => flight.enter(Stage::Stopped, now),
            // Told again by `repeat`, at the earliest after the usual pause.
            _ => flight.since = now,
        }
        false
    }

    /// Whether an order is still to be sent; it may have waited for others while its run became
    /// needless, its worker's room shrank or it began to leave, or its data
    /// centre came to be emptied.
    pub fn stands(&mut self, order: &Order, now: u64) -> bool {
        let Order::Start { worker, task, run, .. } = order else {
            return true;
        };
        let flight = self.workers.get(worker).and_then(|w| w.flights.get(task));
        flight.is_some_and(|f| f.run == *run && f.stage == Stage::Sent)
            && !self.shut_out(worker, *task, *run, now)
    }

    /// Tells again what got no answer.
    pub fn repeat(&mut self, now: u64) -> Vec<Order> {
        let mut again = Vec::new();
        let mut starts = Vec::new();
        for (life, worker) in self.workers.iter_mut().filter(|(_, w)| w.life == Life::Well) {
            for (&task, flight) in &mut worker.flights {
                if now < flight.since + AGAIN {
                    continue;
                }
                match flight.stage {
                    Stage::Unsure => starts.push((life.clone(), task, flight.run)),
                    Stage::Stopping if now >= flight.since + 3 * AGAIN => {
                        flight.since = now;
                        again.push(Order::Stop { worker: life.clone(), task, run: flight.run });
                    }
                    _ => {}
                }
            }
        }
        let starts = starts.into_iter();
        again.extend(starts.filter_map(|(life, task, run)| self.start(&life, task, run, now)));
        again
    }

    fn started(&mut self, life: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.heard = now;
        if let Some(flight) = worker.flights.get_mut(&task)
            && flight.run == run
            && matches!(flight.stage, Stage::Sent | Stage::Unsure)
        {
            flight.enter(Stage::Up, now);
            flight.begun = flight.begun.or(Some(now));
            self.begun(task);
        }
    }

    fn refused(&mut self, life: &Incarnation, task: TaskId, run: u32, told: Told, now: u64) {
        self.counts.refused += 1;
        match told {
            Told::Full => self.set_aside(life, now + FULL_PAUSE),
            Told::Bad => warn!("event=start-bad task={task} run={run} worker={life}"),
            Told::Ticket => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.tickets.remove(&(task.round, task.step));
                }
            }
            _ => {}
        }
        self.retract(life, task, run, now);
    }

    /// A run was refused: it never starts under this number, if no earlier order is still under
    /// way; else it is barred first.
    pub(crate) fn retract(&mut self, life: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if let Some(flight) = worker.flights.get(&task).filter(|f| f.run == run) {
            if flight.unanswered {
                return self.halt(life, task, run, now);
            }
            worker.flights.remove(&task);
            self.forget_run(task, run);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.retry.insert(task, now + REFUSED_PAUSE);
            }
        }
    }

    /// A start got no answer; it is told again.
    fn doubt(&mut self, life: &Incarnation, task: TaskId, run: u32, sent: bool, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if let Some(flight) = worker.flights.get_mut(&task)
            && flight.run == run
            && flight.stage == Stage::Sent
        {
            flight.enter(Stage::Unsure, now);
            flight.unanswered |= sent;
            if sent {
                worker.note_unanswered(task, run, now);
            }
        }
    }

    pub(crate) fn set_aside(&mut self, life: &Incarnation, until: u64) {
        if let Some(worker) = self.workers.get_mut(life) {
            worker.aside = worker.aside.max(until);
        }
    }
}
