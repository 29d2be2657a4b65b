//! Starts without reply, which the next incarnation of their worker may still carry out.
//!
//! The process that a start was sent to refuses it once that run has ended or was stopped there.
//! The next process under the same id knows nothing of that, and would run the task once more. So
//! the stop of such a run is a state that is kept for each incarnation, not an order that is given
//! once: it is due wherever another incarnation becomes known, from the list or from a reply, and
//! until that one replies to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::{Cell, Order, Presence};

/// How long a start without reply may still be carried out, in milliseconds; the platform gives it
/// in seconds.
const LATE_START: u64 = 15_000;

/// The first pause before a stop without reply is sent again, in milliseconds; each further one is
/// twice as long, since a worker that loses orders would soon be sent little else.
const FIRST_PAUSE: u64 = 150;

/// A stop of a late start at one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// It has got no reply.
    Sent {
        /// When it is due again.
        due_at: u64,
        /// The pause after that, in milliseconds.
        pause: u64,
    },
    /// The incarnation has replied to it, and will not carry out the start.
    Confirmed,
}

/// A start without reply.
#[derive(Debug)]
struct LateStart {
    task: TaskId,
    run: u32,
    /// The incarnation that it was sent to.
    sent_to: Incarnation,
    /// Until when it may be carried out.
    until: u64,
    /// Its stops at other incarnations, by their start.
    stops: BTreeMap<u64, Stop>,
}

/// The starts without reply that may still be carried out, by the id of their worker.
#[derive(Debug, Default)]
pub(crate) struct LateStarts(BTreeMap<Arc<str>, Vec<LateStart>>);

impl LateStarts {
    /// Records a start without reply.
    pub(crate) fn note(&mut self, sent_to: &Incarnation, task: TaskId, run: u32, now: u64) {
        let until = now + LATE_START;
        let starts = self.0.entry(sent_to.id().clone()).or_default();
        if let Some(known) = starts.iter_mut().find(|s| (s.task, s.run) == (task, run)) {
            known.until = until;
            return;
        }
        let stops = BTreeMap::new();
        starts.push(LateStart { task, run, sent_to: sent_to.clone(), until, stops });
    }

    /// Forgets the starts that can't be carried out any more.
    pub(crate) fn forget(&mut self, now: u64) {
        self.0.retain(|_, starts| {
            starts.retain(|s| now < s.until);
            !starts.is_empty()
        });
    }

    /// Whether a start that was sent to some incarnation of a worker may still be carried out.
    pub(crate) fn contains(&self, worker: &str, task: TaskId, run: u32, now: u64) -> bool {
        let starts = self.0.get(worker).into_iter().flatten();
        starts.filter(|s| now < s.until).any(|s| (s.task, s.run) == (task, run))
    }

    /// Records that an incarnation has replied to a stop.
    pub(crate) fn confirm(&mut self, at: &Incarnation, task: TaskId, run: u32) {
        let starts = self.0.get_mut(at.id()).into_iter().flatten();
        for start in starts.filter(|s| (s.task, s.run) == (task, run)) {
            start.stops.insert(at.start(), Stop::Confirmed);
        }
    }

    /// Whether a worker has such starts.
    fn has(&self, worker: &str) -> bool {
        self.0.contains_key(worker)
    }

    /// The ids of workers with such starts.
    fn workers(&self) -> Vec<Arc<str>> {
        self.0.keys().cloned().collect()
    }

    /// The runs to stop at an incarnation now; with `repeat` also those whose stop got no reply.
    fn take_due(&mut self, at: &Incarnation, repeat: bool, now: u64) -> Vec<(TaskId, u32)> {
        let starts = self.0.get_mut(at.id()).into_iter().flatten();
        let others = starts.filter(|s| s.sent_to != *at && now < s.until);
        let due = others.filter_map(|s| {
            let pause = match s.stops.get(&at.start()) {
                None => FIRST_PAUSE,
                Some(Stop::Sent { due_at, pause }) if repeat && now >= *due_at => *pause,
                _ => return None,
            };
            s.stops.insert(at.start(), Stop::Sent { due_at: now + pause, pause: 2 * pause });
            Some((s.task, s.run))
        });
        due.collect()
    }
}

impl Cell {
    /// Stops late starts at every incarnation that may still carry them out.
    pub(crate) fn stop_late_starts(&mut self, now: u64) {
        self.late_starts.forget(now);
        self.late_starts.workers().iter().for_each(|id| self.stop_late_starts_at(id, now));
    }

    /// Stops late starts at the incarnations of one worker.
    ///
    /// One that has not answered yet is sent each stop once, since it may carry out the start before
    /// it answers; what gets no reply is sent again when it does.
    pub(crate) fn stop_late_starts_at(&mut self, id: &str, now: u64) {
        // Each entry of the list comes here, and hardly any worker has such starts.
        if !self.late_starts.has(id) {
            return;
        }
        let present = self.incarnations(id).filter(|(_, w)| w.presence != Presence::Gone);
        let present: Vec<_> = present
            .map(|(incarnation, w)| (incarnation.clone(), w.presence == Presence::Answering))
            .collect();
        for (incarnation, answers) in present {
            let due = self.late_starts.take_due(&incarnation, answers, now);
            if !due.is_empty() {
                info!("event=late-starts-stopped worker={incarnation} count={}", due.len());
            }
            let stop = |(task, run)| Order::Stop { worker: incarnation.clone(), task, run };
            self.orders.extend(due.into_iter().map(stop));
        }
    }
}
