//! When workers started, and that one has started anew.

use derive_more::Display;
use log::warn;

use crate::Worker;

/// Where the start of a worker was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Heard {
    /// In the list of workers.
    #[display("list")]
    List,
    /// In an answer of its own.
    #[display("answer")]
    Answer,
}

impl Worker {
    /// Notes when the worker of this name says that it started; 0 if it does not say.
    pub(crate) fn started(&mut self, name: &str, start: u64, heard: Heard) {
        if start == 0 || start == self.start {
            return;
        }
        if self.start != 0 {
            warn!(
                "event=worker-restarted worker={name} before={} after={start} heard={heard} runs={} taken={} \
                 clock={:?} until={}",
                self.start,
                self.flights.len(),
                self.taken,
                self.clock,
                self.until
            );
        }
        self.start = start;
    }
}
