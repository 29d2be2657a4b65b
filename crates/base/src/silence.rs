//! Detection of silent connections among the pooled ones to an address.
//!
//! Fault: a connection stops delivering data without a reset, while new ones work. A call that waits far longer
//! than usual makes every connection suspect that last received data before the call began; an answer on a
//! newer connection shows that the network and the peer work, so the suspect ones are silent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The shortest wait after which a call is overdue; many times a usual answer time of 5 ms.
const MIN_OVERDUE: Duration = Duration::from_millis(140);

/// The longest wait after which a call is overdue; longer than the platform's store lets a call wait.
const MAX_OVERDUE: Duration = Duration::from_millis(2_500);

/// The ratio of the wait until a call is overdue to the slowest late answer, so that a slow peer, whose answers
/// are all late, doesn't cause new connections.
const OVERDUE_RATIO: u32 = 4;

/// The decay of the wait until a call is overdue, per late answer.
const DECAY: f64 = 0.97;

/// Finds silent connections to an address from the times of calls and answers.
#[derive(Debug)]
pub struct SilenceDetector {
    overdue_after: Duration,
    waiting: BTreeMap<u64, Call>,
    next: u64,
    suspect_before: Option<Instant>,
    quick_suspect_before: Option<Instant>,
    unanswered: Option<Unanswered>,
}

/// Consecutive calls on pooled connections that were cancelled without an answer between them, each before it was
/// overdue.
///
/// A client's remaining time may be shorter than the wait until a call is overdue, and calls of 100 ms would use a
/// silent connection forever.
#[derive(Debug)]
struct Unanswered {
    /// When the first call began.
    began: Instant,
    /// When the last call was cancelled.
    last_end: Instant,
    /// The time in which at least one call was waiting past its requested wait.
    waited: Duration,
    /// Whether a healthy peer would answer all the calls quickly.
    quick: bool,
}

impl Unanswered {
    fn add(previous: Option<Self>, call: &Call, now: Instant) -> Self {
        let due = call.began + call.wait;
        let Some(previous) = previous else {
            let waited = now.saturating_duration_since(due);
            return Self { began: call.began, last_end: now, waited, quick: call.quick };
        };
        let waited = previous.waited + now.saturating_duration_since(due.max(previous.last_end));
        Self { last_end: now, waited, quick: previous.quick && call.quick, ..previous }
    }
}

/// A call without an answer yet.
#[derive(Debug)]
struct Call {
    began: Instant,
    wait: Duration,
    quick: bool,
    pooled: bool,
}

impl Call {
    fn overdue(&self, overdue_after: Duration, now: Instant) -> bool {
        self.pooled && now >= self.began + self.wait + overdue_after
    }
}

impl Default for SilenceDetector {
    fn default() -> Self {
        Self::new()
    }
}

impl SilenceDetector {
    /// A detector without calls.
    pub fn new() -> Self {
        Self {
            overdue_after: MIN_OVERDUE,
            waiting: BTreeMap::new(),
            next: 0,
            suspect_before: None,
            quick_suspect_before: None,
            unanswered: None,
        }
    }

    /// Adds a call whose peer was asked to delay its answer by `wait`; returns the call's number.
    ///
    /// Only calls on pooled connections make connections suspect, as on a new one the peer is slow.
    pub fn sent(&mut self, wait: Duration, quick: bool, pooled: bool, now: Instant) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, Call { began: now, wait, quick, pooled });
        self.next
    }

    /// Removes an answered call; connections that last received data before the returned instant are silent.
    ///
    /// Only overdue calls that a healthy peer answers quickly prove this.
    pub fn answered(&mut self, number: u64, opened: Instant, now: Instant) -> Option<Instant> {
        let call = self.waiting.remove(&number)?;
        self.unanswered = None;
        let took = (now - call.began).saturating_sub(call.wait);
        if !took.is_zero() {
            let decayed = self.overdue_after.mul_f64(DECAY);
            self.overdue_after =
                (took * OVERDUE_RATIO).max(decayed).clamp(MIN_OVERDUE, MAX_OVERDUE);
        }
        let quick = self.waiting.values().filter(|w| w.quick && w.overdue(self.overdue_after, now));
        let silent = quick.map(|w| w.began).chain(self.quick_suspect_before).max()?;
        if silent >= opened {
            return None;
        }
        self.quick_suspect_before = None;
        Some(silent)
    }

    /// Removes a call that was cancelled without an answer.
    pub fn cancelled(&mut self, number: u64, now: Instant) {
        let Some(call) = self.waiting.remove(&number) else {
            return;
        };
        if call.overdue(self.overdue_after, now) {
            self.unanswered = None;
            return self.suspect(call.began, call.quick);
        }
        if !call.pooled {
            return;
        }
        let unanswered = Unanswered::add(self.unanswered.take(), &call, now);
        if unanswered.waited >= self.overdue_after {
            return self.suspect(unanswered.began, unanswered.quick);
        }
        self.unanswered = Some(unanswered);
    }

    /// Makes connections suspect that last received data before an instant.
    fn suspect(&mut self, last_data: Instant, quick: bool) {
        self.suspect_before = self.suspect_before.max(Some(last_data));
        if quick {
            self.quick_suspect_before = self.quick_suspect_before.max(Some(last_data));
        }
    }

    /// Connections that last received data before the returned instant are suspect and must not be used any more.
    pub fn suspect_before(&self, now: Instant) -> Option<Instant> {
        let waiting = self.waiting.values().filter(|w| w.overdue(self.overdue_after, now));
        waiting.map(|w| w.began).chain(self.suspect_before).max()
    }
}
