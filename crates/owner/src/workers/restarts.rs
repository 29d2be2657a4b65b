//! Workers that start again under the id that they had.
//!
//! What is known of an incarnation never passes on to the next: its runs are gone, its clock and the numbers of its
//! ends say nothing, and what was ordered of it was not ordered of the next. Only what may still be carried out late
//! is followed there, until it is surely barred.
//!
//! Starts tell which incarnation is the later one only as long as nobody sets a clock back. So the list is believed
//! only of an incarnation that does not answer, and if it showed that one before it shows a later start. Any other
//! entry names one incarnation more, and each is asked. Who answers a question that was asked after an incarnation
//! was known is later than that one, whatever its start.

use derive_more::Display;
use log::{info, warn};

use myrtle_job::{Incarnation, Successor, TaskId};

use crate::workers::crash::Cause;
use crate::{Cell, Flight, Life, Order, Stage, Worker};

/// Earlier starts that are remembered of a worker, so that old entries of the list don't bring them back.
const REMEMBERED: usize = 32;

/// For how long a start without an answer may still be carried out, in milliseconds; the platform says seconds.
const LATE: u64 = 15_000;

/// Where an incarnation was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Heard {
    /// In the list of workers.
    #[display("list")]
    List,
    /// In an answer of its own.
    #[display("answer")]
    Answer,
}

impl Cell {
    /// Another incarnation, or another worker, answers where one did.
    pub fn replaced(&mut self, incarnation: &Incarnation, by: Successor, now: u64) {
        let Successor::Restarted(start) = by else {
            return self.succeeded(incarnation, now);
        };
        let next = incarnation.started(start);
        // One that is not known any more was asked before its successor was.
        if next == *incarnation || !self.workers.contains_key(incarnation) {
            return;
        }
        let others = self.of_id(incarnation.id()).map(|(incarnation, _)| incarnation);
        let others: Vec<_> = others.filter(|incarnation| **incarnation != next).cloned().collect();
        others
            .iter()
            .for_each(|incarnation| self.restarted(incarnation, &next, Heard::Answer, now));
        if let Some(worker) = self.workers.get_mut(&next) {
            worker.before.retain(|&before| before != start);
        }
    }

    /// Whether some incarnation of a worker is known.
    pub fn knows(&self, id: &str) -> bool {
        self.of_id(id).next().is_some()
    }

    /// The incarnation that the list tells of: one whose start nothing tells is the newest that is known.
    pub(crate) fn listed_as(&self, id: &str, start: u64) -> Incarnation {
        let newest = self.of_id(id).next_back().filter(|_| start == 0);
        newest.map_or_else(|| Incarnation::new(id, start), |(incarnation, _)| incarnation.clone())
    }

    /// Whether an incarnation is known to be over though an old entry tells of it.
    pub(crate) fn is_past(&self, incarnation: &Incarnation) -> bool {
        self.of_id(incarnation.id()).any(|(_, w)| w.before.contains(&incarnation.start()))
    }

    /// Every incarnation of a worker that is known, by start.
    pub(crate) fn of_id(
        &self,
        id: &str,
    ) -> impl DoubleEndedIterator<Item = (&Incarnation, &Worker)> {
        self.workers.range(Incarnation::new(id, 0)..=Incarnation::new(id, u64::MAX))
    }

    /// The list shows an incarnation in an entry that lies at `written`: those that started earlier and whose own
    /// entries were read before are over.
    ///
    /// One that the log or an answer tells of may be the later one, on a host whose clock was set back; one that
    /// answers says itself when it is over. Both are asked.
    pub(crate) fn comes_after_earlier(&mut self, next: &Incarnation, written: u64, now: u64) {
        let earlier = self.of_id(next.id()).filter(|(incarnation, worker)| {
            let before =
                worker.read && worker.listing.as_ref().is_some_and(|l| l.written < written);
            before && worker.life != Life::Well && incarnation.start() < next.start()
        });
        let earlier: Vec<_> = earlier.map(|(incarnation, _)| incarnation.clone()).collect();
        earlier.iter().for_each(|incarnation| self.restarted(incarnation, next, Heard::List, now));
    }

    /// A worker has started anew; what ran before is over.
    fn restarted(&mut self, incarnation: &Incarnation, next: &Incarnation, heard: Heard, now: u64) {
        let Some(old) = self.workers.get(incarnation) else {
            return;
        };
        let (listing, listed) = (old.listing.clone(), old.listed);
        let (mut before, mut unanswered) = (old.before.clone(), old.unanswered.clone());
        before.push(incarnation.start());
        // Nothing has told its start, and it has not been asked yet: it may be the one that is there.
        let unnamed = incarnation.start() == 0 && old.life == Life::Unmet;
        if !unnamed {
            self.counts.restarts += 1;
            old.tell_restart(incarnation, next, heard, now);
        }
        let heir = self.workers.entry(next.clone()).or_insert_with(|| Worker::new(now));
        if heir.listing.is_none() {
            // Its address is known by that, its room only from its own entry.
            heir.listing = listing;
        }
        heir.unanswered.append(&mut unanswered);
        before.append(&mut heir.before);
        before.drain(..before.len().saturating_sub(REMEMBERED));
        heir.before = before;
        // The entry that names no start may be its own.
        heir.listed |= unnamed && listed;
        let inherited = self.bequeath(incarnation, next, now);
        if unnamed {
            info!("event=worker-named worker={next} runs={inherited}");
        } else {
            self.lose(incarnation, Cause::Restarted, now);
        }
        self.waves_go_on(incarnation, next);
        if self.workers.remove(incarnation).is_some_and(|w| w.logged) {
            self.untraced.push(incarnation.clone());
        }
    }

    /// Lets the next incarnation answer for starts that may still be carried out there; returns how many.
    ///
    /// An order that was under way when the process ended can't reach the next one by its connection. One that the
    /// platform holds back could, and the task would run twice.
    fn bequeath(&mut self, incarnation: &Incarnation, next: &Incarnation, now: u64) -> usize {
        let Some(old) = self.workers.get(incarnation) else {
            return 0;
        };
        let doubtful = old.flights.iter().filter(|(_, active)| active.in_doubt());
        let doubtful: Vec<(TaskId, Flight)> = doubtful.map(|(t, f)| (*t, f.clone())).collect();
        let count = doubtful.len();
        for (task, mut active) in doubtful {
            let Some(heir) = self.workers.get_mut(next).filter(|w| !w.flights.contains_key(&task))
            else {
                continue;
            };
            if active.stage != Stage::Inherited {
                active.enter(Stage::Stopping, now);
                let (worker, run) = (next.clone(), active.run);
                self.orders.push(Order::Stop { worker, task, run });
            }
            let run = active.run;
            heir.flights.insert(task, active);
            let record = self.jobs.get_mut(&task.job).and_then(|j| j.progress.task_mut(task));
            let record = record.and_then(|t| t.live.iter_mut().find(|r| r.number == run));
            if let Some(record) = record {
                record.worker = next.clone();
                self.dirty.insert(task.job);
            }
        }
        count
    }
}

impl Cell {
    /// Bars what was told to earlier incarnations of a worker and may still be carried out at this one, which
    /// knows of no stop that they were told.
    pub(crate) fn bar_late(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(incarnation).filter(|w| !w.before.is_empty()) else {
            return;
        };
        let late = worker.unanswered.iter().filter(|(.., at)| now < at + LATE);
        let gone =
            late.filter(|(task, run, _)| worker.flights.get(task).is_none_or(|f| f.run != *run));
        let stops =
            gone.map(|&(task, run, _)| Order::Stop { worker: incarnation.clone(), task, run });
        self.orders.extend(stops);
    }
}

impl Worker {
    /// Tells that the worker has started anew, and what was lost with the incarnation before.
    fn tell_restart(&self, incarnation: &Incarnation, next: &Incarnation, heard: Heard, now: u64) {
        warn!(
            "event=worker-restarted worker={} before={} after={} heard={heard} runs={} taken={} noted={} \
             silent_ms={}",
            incarnation.id(),
            incarnation.start(),
            next.start(),
            self.flights.len(),
            self.taken,
            self.noted,
            now.saturating_sub(self.heard)
        );
    }

    /// Notes that a start got no answer.
    pub(crate) fn note_unanswered(&mut self, task: TaskId, run: u32, now: u64) {
        self.unanswered.retain(|(.., at)| now < at + LATE);
        self.unanswered.push((task, run, now));
    }
}

impl Flight {
    /// Whether an order to start it may still be carried out.
    fn in_doubt(&self) -> bool {
        self.unanswered || matches!(self.stage, Stage::Sent | Stage::Inherited)
    }
}
