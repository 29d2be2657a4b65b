//! What happens on a client connection, and until when it may go on.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use myrtle_adapter::Limits;

/// How often a connection with a request in progress is looked at; requests have time limits of their own.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// The time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// The longest time between two requests.
    idle: Duration,
    /// The longest time for the head of a request from its first byte.
    head: Duration,
}

impl Timeouts {
    /// The time limits of a connection on which only short requests come.
    pub fn short(limit: Duration) -> Self {
        Self { idle: limit, head: limit }
    }

    /// The time limits that the operator's configuration sets.
    pub fn new(limits: &Limits) -> Self {
        Self {
            idle: Duration::from_millis(limits.idle_timeout),
            head: Duration::from_millis(limits.header_timeout),
        }
    }
}

/// The phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No part of a request has arrived since the last answer.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request that needs nothing more from the client is in progress.
    Serving,
}

/// What happens on a connection.
#[derive(Debug)]
pub struct Activity {
    /// The present phase, and since when it lasts.
    state: Mutex<(Phase, Instant)>,
    /// Wakes when a head begins to arrive.
    pub head_begun: Notify,
}

impl Activity {
    /// A new connection, on which nothing has arrived.
    pub fn new() -> Self {
        Self { state: Mutex::new((Phase::Idle, Instant::now())), head_begun: Notify::new() }
    }

    /// Records that bytes have arrived.
    pub fn heard(&self) {
        let mut state = self.lock();
        if state.0 == Phase::Idle {
            *state = (Phase::Head, Instant::now());
            self.head_begun.notify_one();
        }
    }

    /// Records that a body is read from now on.
    pub fn body_begun(&self) {
        *self.lock() = (Phase::Body, Instant::now());
    }

    /// Records that a body is not read any more.
    pub fn body_ended(&self) {
        *self.lock() = (Phase::Serving, Instant::now());
    }

    /// How long the connection has waited for its client; nothing while it needs nothing from the client.
    pub fn waits(&self, now: Instant) -> Option<Duration> {
        let (phase, since) = *self.lock();
        (phase != Phase::Serving).then(|| now.saturating_duration_since(since))
    }

    /// Records that the head of a request has been read; the request is in progress until it is answered.
    pub fn begin(self: &Arc<Self>) -> Serving {
        *self.lock() = (Phase::Serving, Instant::now());
        Serving(self.clone())
    }

    /// Whether nothing has arrived since the last answer.
    pub fn is_idle(&self) -> bool {
        self.lock().0 == Phase::Idle
    }

    /// When the present phase has to be looked at again.
    pub fn due(&self, timeouts: &Timeouts) -> Instant {
        let (phase, since) = *self.lock();
        phase.limit(timeouts).map_or_else(|| Instant::now() + CHECK_EVERY, |limit| since + limit)
    }

    /// Whether the present phase has lasted longer than it may.
    pub fn expired(&self, timeouts: &Timeouts, now: Instant) -> bool {
        let (phase, since) = *self.lock();
        phase.limit(timeouts).is_some_and(|limit| now >= since + limit)
    }

    fn lock(&self) -> MutexGuard<'_, (Phase, Instant)> {
        self.state.lock().expect("no holder panics")
    }
}

impl Phase {
    /// How long the phase may last, if the connection limits it.
    fn limit(self, timeouts: &Timeouts) -> Option<Duration> {
        match self {
            Self::Idle => Some(timeouts.idle),
            Self::Head => Some(timeouts.head),
            // Bodies have time limits of their own.
            Self::Body | Self::Serving => None,
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct Serving(Arc<Activity>);

impl Serving {
    /// Records the answer.
    pub fn answered(self) {
        *self.0.lock() = (Phase::Idle, Instant::now());
    }
}
