//! What workers answer to holds.

use log::{Level, info, log, warn};

use myrtle_job::{Held, Incarnation, Running, State, Successor, TaskId, Told};

use crate::{Cell, Life, Order, Stage};

/// A worker tells no more ends than this in one answer; the platform's figure.
const ENDS_AT_ONCE: usize = 500;

impl Cell {
    /// Takes in a hold's answer; the hold was sent at `sent`.
    ///
    /// An answer of another incarnation says nothing of this one but that it is over: its ends and its clock have
    /// other numbers.
    pub fn held(&mut self, incarnation: &Incarnation, held: Held, sent: u64, now: u64, wall: u64) {
        if held.start != 0 && held.start != incarnation.start() {
            return self.replaced(incarnation, Successor::Restarted(held.start), now);
        }
        let silent = self.workers.get(incarnation).map_or(0, |w| now.saturating_sub(w.heard));
        self.tick_of(incarnation, held.clock, now);
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if worker.life != Life::Well {
            // At a takeover every worker is met; one line tells of them all.
            let level = if worker.life == Life::Unmet { Level::Debug } else { Level::Info };
            let running = held.running.len();
            log!(
                level,
                "event=worker-met worker={incarnation} running={running} silent_ms={silent}"
            );
            worker.life = Life::Well;
            worker.wait.end();
            self.clear_silence(incarnation);
            self.bar_late(incarnation, now);
        }
        let whole = held.ended.len() < ENDS_AT_ONCE;
        for ended in held.ended {
            self.end(incarnation, ended, now, wall);
        }
        for running in &held.running {
            self.see(incarnation, running, now);
        }
        if whole {
            self.miss(incarnation, &held.running, sent, now);
        }
        self.learn(incarnation, now);
        self.foresee(now);
        self.throttle_fillers(incarnation, now);
        self.notice(incarnation, now);
    }

    /// A hold had no answer.
    pub fn hold_failed(&mut self, incarnation: &Incarnation, now: u64) {
        if self.workers.get(incarnation).is_some_and(|w| w.life == Life::Unmet) {
            self.tell_unmet(incarnation, now);
            self.note_silence(incarnation, now);
        }
        if let Some(worker) = self.workers.get_mut(incarnation)
            && worker.life == Life::Well
        {
            warn!("event=worker-silent worker={incarnation} runs={}", worker.flights.len());
            worker.life = Life::Silent;
            self.note_silence(incarnation, now);
        }
    }

    /// Tells once of a worker with inherited runs that can't be reached, and how long they are waited for.
    fn tell_unmet(&self, incarnation: &Incarnation, now: u64) {
        let worker = self.workers.get(incarnation).filter(|w| !w.flights.is_empty());
        let Some(worker) = worker.filter(|_| !self.silent(incarnation)) else {
            return;
        };
        let left = self.over_at(worker).saturating_sub(now);
        info!(
            "event=worker-unmet worker={incarnation} runs={} listed={} left_ms={left}",
            worker.flights.len(),
            worker.listed
        );
    }

    /// A hold was refused; true if a later owner is the reason.
    pub fn hold_refused(&mut self, incarnation: &Incarnation, told: Told) -> bool {
        warn!("event=hold-refused worker={incarnation} told=\"{told}\"");
        told == Told::Fenced
    }

    /// Takes in what a worker says of a run that goes on.
    fn see(&mut self, incarnation: &Incarnation, running: &Running, now: u64) {
        let Running { task, run, saved, .. } = running;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let known = worker.flights.get_mut(task).filter(|f| f.run == *run);
        let Some(active) = known else {
            // A start that was given up has been carried out late.
            info!("event=run-unasked task={task} run={run} worker={incarnation}");
            self.orders.push(Order::Stop { worker: incarnation.clone(), task: *task, run: *run });
            return;
        };
        if active.show(running, now) {
            worker.reported_at = now;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.halt(incarnation, *task, *run, now);
        };
        if !saved.is_empty()
            && let Some(record) = job.progress.task_mut(*task)
            && record.saved != *saved
        {
            record.saved.clone_from(saved);
        }
        if job.progress.state.over() {
            // An earlier owner ended the job and may not have come to stop its runs.
            return self.halt(incarnation, *task, *run, now);
        }
        self.begun(*task);
        self.trust(incarnation, *task, now);
    }

    /// A task of a job is at work.
    pub(crate) fn begun(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.freed.remove(&task);
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
            self.dirty.insert(task.job);
        }
    }

    /// Takes off runs that an answer should have shown and did not.
    fn miss(&mut self, incarnation: &Incarnation, running: &[Running], sent: u64, now: u64) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let shown = |task: &TaskId, run| running.iter().any(|r| r.task == *task && r.run == run);
        let missing: Vec<_> = worker
            .flights
            .iter()
            .filter(|(_, f)| match f.stage {
                // Our fencing token bars it from now on.
                Stage::Inherited => true,
                Stage::Up | Stage::Stopped => f.since < sent,
                _ => false,
            })
            .filter(|(task, f)| !shown(task, f.run))
            .map(|(task, f)| (*task, f.run, f.stage))
            .collect();
        for (task, run, stage) in missing {
            info!(
                "event=run-absent task={task} run={run} worker={incarnation} stage={stage:?} at={now}"
            );
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.flights.remove(&task);
            }
            self.forget_run(task, run);
        }
    }
}
