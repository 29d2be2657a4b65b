//! Workers that crash, because of a task or at random, and come back as other incarnations.

use std::sync::Arc;

use super::World;

/// How long a crashed worker is down, in milliseconds.
const DOWNTIME: u64 = 3_200;

/// The identity with which a crashed worker comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Back {
    /// Under another id.
    Other,
    /// Under its id, with another start time.
    Same,
}

impl World {
    /// Crashes the workers on which a crashing task has run for its delay.
    pub(super) fn crash_by_tasks(&mut self) {
        let culprits = &self.culprits;
        let up = self.workers.iter().filter(|(_, w)| !w.gone);
        let due = up.filter_map(|(id, w)| Some((id.clone(), w.culprit(culprits)?)));
        for (id, task) in due.collect::<Vec<_>>() {
            *self.crashes.entry(task).or_default() += 1;
            self.crash(&id);
        }
    }

    /// Crashes a worker without notice; its entry stays until another incarnation has its address.
    pub fn crash(&mut self, id: &Arc<str>) {
        self.go_down(id, DOWNTIME, Back::Other);
    }

    /// Crashes a worker, which restarts under its id after `downtime` ms; its entry stays until then.
    pub fn restart(&mut self, id: &Arc<str>, downtime: u64) {
        self.go_down(id, downtime, Back::Same);
    }

    /// Crashes a worker and removes its entry; nothing answers at its address afterwards.
    pub fn vanish(&mut self, id: &Arc<str>) {
        if self.take_down(id)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.listed = false;
        }
    }

    /// Crashes a worker and schedules its return.
    fn go_down(&mut self, id: &Arc<str>, downtime: u64, back: Back) {
        if self.take_down(id) {
            self.down.push((self.now + downtime, id.clone(), back));
        }
    }

    /// Crashes a worker and keeps its entry; false if the worker was already gone.
    fn take_down(&mut self, id: &Arc<str>) -> bool {
        let Some(worker) = self.workers.get_mut(id).filter(|w| !w.gone) else {
            return false;
        };
        let tasks = worker.tasks();
        worker.crash(&mut self.judge);
        worker.reachable = false;
        worker.listed = true;
        let judge = &mut self.judge;
        for step in tasks.into_iter().filter(|task| judge.step(*task).gang).collect::<Vec<_>>() {
            self.workers.values_mut().for_each(|w| w.break_off(step, judge));
        }
        true
    }

    /// Lists a worker that is gone as if its entry had just been written.
    pub fn relist(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = true;
            worker.listing.offset = now;
        }
    }

    /// Removes the entry of a worker that is gone.
    pub fn unlist(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id).filter(|w| w.gone) {
            worker.listed = false;
        }
    }

    /// Brings crashed workers back whose downtime is over.
    pub(super) fn come_back(&mut self) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.down).into_iter().partition(|(at, ..)| *at <= self.now);
        self.down = rest;
        for (_, id, back) in due {
            let Some(old) = self.workers.get_mut(&id) else {
                continue;
            };
            old.listed = false;
            let address = old.listing.address.port() - 1000;
            match back {
                Back::Other => self.add_worker(&format!("{id}+"), address),
                Back::Same => self.add_worker(&id, address),
            }
        }
    }
}
