//! Workers that restart under the same id.
//!
//! The state of an incarnation is not carried over to the next: its runs are gone, its clock and
//! the numbers of its ends don't apply, and orders to it were not orders to the next. Only starts
//! that may still be carried out late are tracked there, until they are certainly barred.
//!
//! Start times order incarnations only as long as no clock is set back. So the list counts only for
//! an incarnation that does not answer, and only if the list showed that one earlier and now shows
//! a later start. Any other entry adds an incarnation, and each one is asked. An incarnation that
//! replies to a request sent after another was known is the later of the two, whatever its start.

use derive_more::Display;
use log::{info, warn};

use myrtle_job::{Incarnation, Replacement, TaskId};

use crate::workers::crash::Cause;
use crate::{ActiveRun, Cell, Presence, Stage, Worker};

/// The number of earlier starts that are kept for a worker, so that old entries of the list don't
/// add them again.
const EARLIER_KEPT: usize = 32;

/// The source from which an incarnation is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// The list of workers.
    #[display("list")]
    List,
    /// A reply of its own.
    #[display("answer")]
    Answer,
}

impl Cell {
    /// Handles a reply that shows that another incarnation, or another worker, is where this one
    /// was.
    pub fn replaced(&mut self, incarnation: &Incarnation, by: Replacement, now: u64) {
        let Replacement::Restarted(start) = by else {
            return self.mark_replaced(incarnation, now);
        };
        let next = incarnation.with_start(start);
        // One that is no longer known was asked before its successor was.
        if next == *incarnation || !self.workers.contains_key(incarnation) {
            return;
        }
        let others = self.incarnations(incarnation.id()).map(|(incarnation, _)| incarnation);
        let others: Vec<_> = others.filter(|incarnation| **incarnation != next).cloned().collect();
        others
            .iter()
            .for_each(|incarnation| self.restarted(incarnation, &next, Source::Answer, now));
        if let Some(worker) = self.workers.get_mut(&next) {
            worker.earlier_starts.retain(|&before| before != start);
        }
    }

    /// Whether some incarnation of a worker is known.
    pub fn has_worker(&self, id: &str) -> bool {
        self.incarnations(id).next().is_some()
    }

    /// The incarnation that a list entry names: without a start, the newest known one.
    pub(crate) fn listed_as(&self, id: &str, start: u64) -> Incarnation {
        let newest = self.incarnations(id).next_back().filter(|_| start == 0);
        newest.map_or_else(|| Incarnation::new(id, start), |(incarnation, _)| incarnation.clone())
    }

    /// Whether an incarnation is known to have ended though an old entry names it.
    pub(crate) fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.incarnations(incarnation.id())
            .any(|(_, w)| w.earlier_starts.contains(&incarnation.start()))
    }

    /// All known incarnations of a worker, by start.
    pub(crate) fn incarnations(
        &self,
        id: &str,
    ) -> impl DoubleEndedIterator<Item = (&Incarnation, &Worker)> {
        self.workers.range(Incarnation::new(id, 0)..=Incarnation::new(id, u64::MAX))
    }

    /// Ends the earlier incarnations of a worker when the list shows `next`, whose entry was
    /// written at `offset`: those with an earlier start whose own entries were read before.
    ///
    /// An incarnation that is known from the log or a reply may be the later one, on a host whose
    /// clock was set back; one that answers will report its own end. Both are asked.
    pub(crate) fn end_earlier(&mut self, next: &Incarnation, offset: u64, now: u64) {
        let earlier = self.incarnations(next.id()).filter(|(incarnation, worker)| {
            let before =
                worker.entry_read && worker.listing.as_ref().is_some_and(|l| l.offset < offset);
            before && worker.presence != Presence::Answering && incarnation.start() < next.start()
        });
        let earlier: Vec<_> = earlier.map(|(incarnation, _)| incarnation.clone()).collect();
        earlier.iter().for_each(|incarnation| self.restarted(incarnation, next, Source::List, now));
    }

    /// Replaces an incarnation by the next one; its runs have ended.
    fn restarted(
        &mut self,
        incarnation: &Incarnation,
        next: &Incarnation,
        source: Source,
        now: u64,
    ) {
        let Some(old) = self.workers.get(incarnation) else {
            return;
        };
        let (listing, listed) = (old.listing.clone(), old.listed);
        let mut before = old.earlier_starts.clone();
        before.push(incarnation.start());
        // Its start is unknown, and it has not been asked yet: it may be the one that is there.
        let unnamed = incarnation.start() == 0 && old.presence == Presence::Unreached;
        if !unnamed {
            self.counts.restarts += 1;
            old.log_restart(incarnation, next, source, now);
        }
        let next_worker = self.workers.entry(next.clone()).or_insert_with(|| Worker::new(now));
        if next_worker.listing.is_none() {
            // The old entry gives its address; its room comes only from its own entry.
            next_worker.listing = listing;
        }
        before.append(&mut next_worker.earlier_starts);
        before.drain(..before.len().saturating_sub(EARLIER_KEPT));
        next_worker.earlier_starts = before;
        // The entry without a start may be its own.
        next_worker.listed |= unnamed && listed;
        let inherited = self.move_late_starts(incarnation, next, !unnamed, now);
        if unnamed {
            info!("event=worker-named worker={next} runs={inherited}");
        } else {
            self.remove_runs(incarnation, Cause::Restarted, now);
        }
        self.join_turn(next);
        if self.workers.remove(incarnation).is_some_and(|w| w.logged) {
            self.obsolete_records.push(incarnation.clone());
        }
        self.stop_late_starts_at(next.id(), now);
    }

    /// Moves starts that may still be carried out to the next incarnation; returns how many. `lost` tells that what has
    /// begun of them is lost with the previous one.
    ///
    /// An order that was under way when the process ended can't reach the next one by its
    /// connection. One that the platform holds back could, and the task would run twice.
    fn move_late_starts(
        &mut self,
        incarnation: &Incarnation,
        next: &Incarnation,
        lost: bool,
        now: u64,
    ) -> usize {
        let Some(old) = self.workers.get(incarnation) else {
            return 0;
        };
        let may_start = |task: &TaskId, active: &ActiveRun| {
            matches!(active.stage, Stage::Sent | Stage::Inherited)
                || self.late_starts.contains(incarnation.id(), *task, active.run, now)
        };
        let late = old.active_runs.iter().filter(|(task, active)| may_start(task, active));
        let late: Vec<(TaskId, ActiveRun)> = late.map(|(t, f)| (*t, f.clone())).collect();
        let count = late.len();
        for (task, mut active) in late {
            let Some(next_worker) =
                self.workers.get_mut(next).filter(|w| !w.active_runs.contains_key(&task))
            else {
                continue;
            };
            if active.stage != Stage::Inherited {
                if active.stage == Stage::Sent {
                    self.late_starts.note(incarnation, task, active.run, now);
                }
                active.enter(Stage::Stopping, now);
            }
            if lost {
                active.forget_begun();
            }
            let run = active.run;
            next_worker.active_runs.insert(task, active);
            let record = self.jobs.get_mut(&task.job).and_then(|j| j.progress.task_mut(task));
            let record = record.and_then(|t| t.active.iter_mut().find(|r| r.number == run));
            if let Some(record) = record {
                record.worker = next.clone();
                self.dirty.insert(task.job);
            }
        }
        count
    }
}

impl Worker {
    /// Logs that the worker has restarted, and what was lost with the previous incarnation.
    fn log_restart(&self, incarnation: &Incarnation, next: &Incarnation, source: Source, now: u64) {
        warn!(
            "event=worker-restarted worker={} before={} after={} heard={source} runs={} taken={} noted={} \
             silent_ms={}",
            incarnation.id(),
            incarnation.start(),
            next.start(),
            self.active_runs.len(),
            self.received_ends,
            self.logged_ends,
            now.saturating_sub(self.answered_at)
        );
    }
}
