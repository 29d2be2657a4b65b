//! Events of the timeline, kept in a bounded ring buffer per process.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{Clock, Stamp};

/// The number of events kept per process; older ones are dropped.
const CAPACITY: usize = 4096;

/// An event, described for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The event's position in causal order.
    pub stamp: Stamp,
    /// The name of the process.
    pub host: String,
    /// The part of the process: gate, lease, log, task, config.
    pub part: String,
    /// A short description.
    pub text: String,
}

/// The newest events of one process.
#[derive(Debug)]
pub struct Ring {
    host: String,
    clock: Clock,
    events: Mutex<VecDeque<Event>>,
}

impl Ring {
    /// An empty ring for the process named `host`.
    pub fn new(host: &str) -> Self {
        Self { host: host.into(), clock: Clock::default(), events: Mutex::default() }
    }

    /// The clock that orders this process's events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Adds an event with the current stamp.
    pub fn add(&self, part: &str, text: impl Into<String>) {
        let stamp = self.clock.tick();
        let event = Event { stamp, host: self.host.clone(), part: part.into(), text: text.into() };
        let mut events = self.events.lock().expect("no thread panics while holding the lock");
        if events.len() == CAPACITY {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The stored events after `since`, oldest first.
    pub fn since(&self, since: Stamp) -> Vec<Event> {
        let events = self.events.lock().expect("no thread panics while holding the lock");
        events.iter().filter(|e| e.stamp > since).cloned().collect()
    }
}
