//! The calls of owners that a simulated worker serves.

use myrtle_base::Room;
use myrtle_job::{EndReason, OrderReply, Running, StepSpec, TaskId, WorkerRuns};

use super::super::Judge;
use super::{FakeRun, FakeWorker};

/// The longest lease, in milliseconds.
const MAX_LEASE: u64 = 10_000;

impl FakeWorker {
    /// Renews the lease, discards the ends that the owner has seen, and returns the active runs and the other ends.
    pub fn hold(
        &mut self,
        fence: u64,
        seen: u64,
        until: Option<u64>,
        now: u64,
        judge: &mut Judge,
    ) -> Result<WorkerRuns, OrderReply> {
        if fence < self.fence {
            return Err(OrderReply::Fenced);
        }
        self.fence = fence;
        self.reached = true;
        if seen > self.count {
            judge
                .broken
                .push(format!("{now}: {} is asked to discard ends that it never had", self.name));
        }
        let clock = self.clock(now);
        self.lease(until.unwrap_or(0), clock, judge);
        for end in self.ends.iter().filter(|e| e.seq <= seen) {
            match end.reason {
                EndReason::Done => judge.noted(end.task, now),
                EndReason::Failed => judge.noted_failed(end.task, end.run),
                _ => {}
            }
        }
        self.ends.retain(|e| e.seq > seen);
        let running = self.runs.iter().map(|(&task, r)| Running {
            task,
            run: r.number,
            checkpoint: String::new(),
            percent: if r.long_running { 100.0 } else { (r.worked * 100 / r.work.max(1)) as f64 },
            metric: Some(match r.long_running {
                true => self.tail.unwrap_or(r.figure),
                false => r.figure * f64::from(r.limit) / 100.0,
            }),
        });
        Ok(WorkerRuns {
            started_at: self.listing.started_at,
            clock_ms: clock,
            running: running.collect(),
            ended: self.ends.clone(),
        })
    }

    /// Extends the lease, to `MAX_LEASE` from now at most.
    fn lease(&mut self, until: u64, clock: u64, judge: &mut Judge) {
        if until > clock + MAX_LEASE {
            judge.overlong.insert(self.name.clone(), until - clock);
        }
        self.until = self.until.max(until.min(clock + MAX_LEASE));
    }

    /// Starts a run under a fencing token and a lease.
    pub fn start(
        &mut self,
        task: TaskId,
        run: u32,
        spec: &StepSpec,
        (fence, until): (u64, u64),
        now: u64,
        judge: &mut Judge,
    ) -> OrderReply {
        if fence < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = fence;
        let clock = self.clock(now);
        if until <= clock {
            return OrderReply::LeaseEnded;
        }
        self.lease(until, clock, judge);
        if self.runs.get(&task).is_some_and(|r| r.number == run) {
            return OrderReply::Done;
        }
        if self.max_ended.get(&task).is_some_and(|&max| run <= max) || self.runs.contains_key(&task)
        {
            return OrderReply::OutdatedRun;
        }
        let used = self.runs.values().fold(Room::default(), |sum, r| sum + r.room);
        if !self.unguarded && !spec.claim().fits(&self.listing.room.minus(&used)) {
            return OrderReply::NoRoom;
        }
        if self.unguarded && !spec.claim().fits(&self.limit(now).minus(&used)) {
            judge.broken.push(format!("{now}: {task} takes {} over its room", self.name));
        }
        let started = FakeRun {
            number: run,
            room: spec.claim(),
            work: spec.estimate_ms,
            worked: 0,
            long_running: spec.long_running,
            limit: 100,
            figure: if spec.target_ms.is_some() { 40.0 } else { f64::from(spec.room.cpu) },
        };
        self.runs.insert(task, started);
        self.ever += 1;
        judge.begun(&self.name, task, now);
        OrderReply::Done
    }

    /// Stops a run, and prevents it from starting later.
    pub fn stop(&mut self, task: TaskId, run: u32, fence: u64, judge: &mut Judge) -> OrderReply {
        if fence < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = fence;
        if self.runs.get(&task).is_some_and(|r| r.number == run) {
            self.end(task, EndReason::Stopped, judge);
        }
        let max = self.max_ended.entry(task).or_default();
        *max = (*max).max(run);
        OrderReply::Done
    }

    /// Sets the speed limit of a run.
    pub fn pace(&mut self, task: TaskId, run: u32, percent: u32, fence: u64) -> OrderReply {
        if fence < self.fence {
            return OrderReply::Fenced;
        }
        if let Some(r) = self.runs.get_mut(&task).filter(|r| r.number == run) {
            r.limit = percent;
        }
        OrderReply::Done
    }
}
