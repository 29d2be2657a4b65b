//! Queries on the state of a cell.

use std::collections::BTreeSet;

use serde::Serialize;

use myrtle_base::Room;

use crate::{Cell, Health, Job, LeaseHolder, State, Task, TaskId, Worker};

/// The number of tasks in each state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Tasks that wait for a worker.
    pub pending: usize,
    /// Tasks that are claimed, without a confirmed start.
    pub claimed: usize,
    /// Tasks that run.
    pub running: usize,
    /// Tasks that are stopping, without a confirmed end.
    pub stopping: usize,
    /// Tasks that are over.
    pub over: usize,
}

impl Cell {
    /// The number of the worker with this name.
    pub fn worker_named(&self, name: &str) -> Option<u32> {
        self.workers.iter().position(|w| w.name == name).map(|n| n as u32)
    }

    /// The newest job with this name.
    pub fn job_named(&self, name: &str) -> Option<(u32, &Job)> {
        self.jobs.iter().rev().find(|j| j.1.name == name).map(|j| (*j.0, j.1))
    }

    /// The ids of a job's tasks.
    pub fn task_ids(&self, job: u32) -> impl Iterator<Item = TaskId> + '_ {
        let range = TaskId::new(job, 0)..=TaskId::new(job, u32::MAX);
        self.tasks.range(range).map(|t| *t.0)
    }

    /// The tasks that are assigned to a worker.
    pub fn worker_tasks(&self, worker: u32) -> impl Iterator<Item = (TaskId, &Task, &Job)> + '_ {
        let ids = self.workers.get(worker as usize).into_iter().flat_map(|w| w.tasks.iter());
        ids.map(|id| (*id, &self.tasks[id], &self.jobs[&id.job]))
    }

    /// The pending tasks by falling price.
    pub fn pending_tasks(&self) -> impl Iterator<Item = (TaskId, &Task, &Job)> + '_ {
        self.pending.iter().map(|(_, id)| (*id, &self.tasks[id], &self.jobs[&id.job]))
    }

    /// The health of a worker or gate; none if it is unknown.
    pub fn health(&self, holder: &LeaseHolder) -> Option<Health> {
        match holder {
            LeaseHolder::Worker(no) => self.workers.get(*no as usize).map(|w| w.health),
            LeaseHolder::Gate(name) => self.gates.get(name).map(|g| g.health),
        }
    }

    /// The suspected workers and gates with the offset of the suspicion.
    pub fn suspects(&self) -> impl Iterator<Item = (LeaseHolder, u64)> + '_ {
        let offset = |h: &Health| match h {
            Health::Suspect { offset, .. } => Some(*offset),
            _ => None,
        };
        let workers = self.workers.iter().enumerate();
        let workers = workers
            .filter_map(move |(n, w)| Some((LeaseHolder::Worker(n as u32), offset(&w.health)?)));
        let gates = self
            .gates
            .iter()
            .filter_map(move |(n, g)| Some((LeaseHolder::Gate(n.clone()), offset(&g.health)?)));
        workers.chain(gates)
    }

    /// Whether these hosts include a majority of the cell's voters.
    pub fn majority(&self, hosts: &[String]) -> bool {
        let distinct: BTreeSet<_> = hosts.iter().filter(|h| self.voters.contains(*h)).collect();
        distinct.len() * 2 > self.voters.len()
    }

    /// The maximum room of the workers in each dimension.
    pub fn largest(&self) -> Room {
        self.workers.iter().fold(Room::default(), |max, w: &Worker| max.max(&w.room))
    }

    /// The number of tasks in each state.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for task in self.tasks.values() {
            let count = match task.state {
                State::Pending => &mut totals.pending,
                State::Claimed(_) => &mut totals.claimed,
                State::Running(_) => &mut totals.running,
                State::Stopping(..) => &mut totals.stopping,
                State::Over(_) => &mut totals.over,
            };
            *count += 1;
        }
        totals
    }
}
