//! Events of the time line, kept in a bounded ring per process.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{Clock, Stamp};

/// Events kept per process; older ones are dropped.
const KEPT: usize = 4096;

/// Something that happened, in words for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its place in causal order.
    pub stamp: Stamp,
    /// The process it happened in.
    pub host: String,
    /// The part of the process: gate, lease, log, task, config.
    pub part: String,
    /// A short sentence.
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

    /// Adds an event that happens now.
    pub fn add(&self, part: &str, text: impl Into<String>) {
        let stamp = self.clock.tick();
        let event = Event { stamp, host: self.host.clone(), part: part.into(), text: text.into() };
        let mut events = self.events.lock().expect("no holder panics");
        if events.len() == KEPT {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The kept events after `since`, oldest first.
    pub fn since(&self, since: Stamp) -> Vec<Event> {
        let events = self.events.lock().expect("no holder panics");
        events.iter().filter(|e| e.stamp > since).cloned().collect()
    }
}
