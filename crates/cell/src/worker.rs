//! Commands on workers, and their backoff after failures, without which a faulty worker fails task after task.

use myrtle_base::{Millis, Room};

use crate::{Cell, Deny, Health, State, Worker};

/// The number of consecutive failures after which a worker goes into backoff.
const MAX_FAILURES: usize = 3;

/// The longest time from a task's start to its worker's restart in which the restart counts as a crash by the task.
const CRASH_WINDOW: Millis = Millis(10_000);

/// The number of crashes at which a task is given up; without a limit, a task that crashes its workers is claimed
/// forever, and everything that runs beside it restarts each time.
const MAX_CRASHES: u16 = 5;

/// The duration of a worker's backoff, after which one probe task runs.
const WORKER_BACKOFF: Millis = Millis(30_000);

impl Worker {
    /// Its free room.
    pub fn free(&self) -> Room {
        self.room.minus(&self.used)
    }

    /// Whether it accepts a task now: it is neither draining nor in backoff, or the task is the probe.
    pub fn accepts(&self, now: Millis) -> bool {
        !self.draining
            && self.backoff_until.is_none_or(|until| now >= until && self.tasks.is_empty())
    }
}

impl Cell {
    /// Adds a worker, its next incarnation, or its return after a lapse.
    pub(crate) fn add_worker(
        &mut self,
        name: &str,
        rack: &str,
        room: &Room,
        incarnation: u64,
    ) -> Result<(), Deny> {
        let Some(no) = self.worker_named(name) else {
            self.workers.push(new_worker(name, rack, room, incarnation));
            return Ok(());
        };
        let worker = &mut self.workers[no as usize];
        if incarnation < worker.incarnation {
            return Err(Deny::Outdated);
        }
        let same_incarnation = incarnation == worker.incarnation;
        if same_incarnation && worker.health == Health::Up && worker.room == *room {
            return Err(Deny::State);
        }
        worker.health = Health::Up;
        worker.incarnation = incarnation;
        worker.rack = rack.into();
        if !same_incarnation {
            // A restarted worker runs nothing of its earlier incarnation.
            worker.failures.clear();
            worker.backoff_until = None;
            self.count_crash(no);
            self.free_worker(no, true);
        }
        self.workers[no as usize].room = *room;
        Ok(())
    }

    /// Counts a worker's restart as a crash by the tasks that it had just started; gives up those with too many.
    fn count_crash(&mut self, no: u32) {
        let worker = &self.workers[no as usize];
        if worker.draining {
            return;
        }
        for id in worker.tasks.clone() {
            let task = &self.tasks[&id];
            if !matches!(task.state, State::Running(_)) {
                continue;
            }
            if self.now.since(task.since) >= CRASH_WINDOW {
                self.crashes.remove(&id);
                continue;
            }
            let crashes = self.crashes.entry(id).or_default();
            *crashes += 1;
            if *crashes >= MAX_CRASHES {
                self.give_up(id, no);
            }
        }
    }

    /// Sets whether a worker is draining.
    pub(crate) fn set_draining(&mut self, no: u32, on: bool) -> Result<(), Deny> {
        let worker = self.workers.get_mut(no as usize).ok_or(Deny::Missing)?;
        if worker.draining == on {
            return Err(Deny::State);
        }
        worker.draining = on;
        Ok(())
    }

    /// Ends a worker's backoff and clears its failures, as a task succeeded.
    pub(crate) fn record_success(&mut self, no: u32) {
        let worker = &mut self.workers[no as usize];
        worker.failures.clear();
        worker.backoff_until = None;
    }

    /// Counts a failure; [`MAX_FAILURES`] in a row that no faulty job explains put the worker into backoff.
    pub(crate) fn record_failure(&mut self, no: u32, job: u32) {
        let job_succeeds = self.jobs.get(&job).is_some_and(|j| j.done > 0);
        let worker = &mut self.workers[no as usize];
        worker.failures.push(job);
        if worker.failures.len() < MAX_FAILURES {
            return;
        }
        let several_jobs = worker.failures.iter().any(|j| *j != job);
        if several_jobs || job_succeeds {
            worker.backoff_until = Some(self.now + WORKER_BACKOFF);
        }
        worker.failures.remove(0);
    }
}

fn new_worker(name: &str, rack: &str, room: &Room, incarnation: u64) -> Worker {
    Worker {
        name: name.into(),
        rack: rack.into(),
        room: *room,
        used: Room::default(),
        incarnation,
        health: Health::Up,
        draining: false,
        failures: Vec::new(),
        backoff_until: None,
        tasks: Default::default(),
    }
}
