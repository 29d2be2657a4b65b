//! Workers that crash, by a task or by themselves, and come back as other lives.

use std::sync::Arc;

use super::World;

/// How long a crashed worker is away, in milliseconds.
const AWAY: u64 = 3_200;

/// As what a crashed worker comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Back {
    /// Under another id.
    Other,
    /// Under its id, with another start.
    Same,
}

impl World {
    /// Crashes the workers on which a culprit has worked for long enough.
    pub(super) fn crash_by_tasks(&mut self) {
        let culprits = &self.culprits;
        let up = self.workers.iter().filter(|(_, w)| !w.gone);
        let due = up.filter_map(|(id, w)| Some((id.clone(), w.culprit(culprits)?)));
        for (id, task) in due.collect::<Vec<_>>() {
            *self.crashes.entry(task).or_default() += 1;
            self.crash(&id);
        }
    }

    /// A worker crashes without a word; its entry stays until another life is at its address.
    pub fn crash(&mut self, id: &Arc<str>) {
        self.go_down(id, AWAY, Back::Other);
    }

    /// A worker crashes without a word and starts again under its id after a while; its entry stays until then.
    pub fn restart(&mut self, id: &Arc<str>, away: u64) {
        self.go_down(id, away, Back::Same);
    }

    /// A worker crashes without a word and its entry goes with it; nothing answers there ever again.
    pub fn vanish(&mut self, id: &Arc<str>) {
        if self.fall_silent(id)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.listed = false;
        }
    }

    fn go_down(&mut self, id: &Arc<str>, away: u64, back: Back) {
        if self.fall_silent(id) {
            self.down.push((self.now + away, id.clone(), back));
        }
    }

    /// A worker crashes and its entry stays; false if it was gone before.
    fn fall_silent(&mut self, id: &Arc<str>) -> bool {
        let Some(worker) = self.workers.get_mut(id).filter(|w| !w.gone) else {
            return false;
        };
        let lost = worker.tasks();
        worker.crash(&mut self.judge);
        worker.reachable = false;
        worker.listed = true;
        let judge = &mut self.judge;
        for step in lost.into_iter().filter(|task| judge.step(*task).gang).collect::<Vec<_>>() {
            self.workers.values_mut().for_each(|w| w.break_off(step, judge));
        }
        true
    }

    /// The list shows the entry of a worker that is gone as its newest.
    pub fn relist(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = true;
            worker.listing.written = now;
        }
    }

    /// The list shows a worker that is gone no more.
    pub fn unlist(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id).filter(|w| w.gone) {
            worker.listed = false;
        }
    }

    /// Crashed workers come back.
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
