//! A partition with its records and the state of its writers.

use std::collections::HashMap;

use bytes::Bytes;

/// The number of recent calls per writer whose results are kept for repeats.
const KEPT_RESULTS: usize = 5;

/// The identity of a writer and its call.
#[derive(Debug, Clone)]
pub struct Writer {
    /// The writer's name.
    pub name: String,
    /// The fencing token.
    pub epoch: u64,
    /// The sequence number of the call.
    pub call: u64,
}

/// Why an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The partition has seen a higher epoch.
    Fenced,
    /// The partition expects this sequence number.
    Sequence(u64),
}

/// A partition of a topic.
#[derive(Debug, Default)]
pub struct Partition {
    /// The records.
    pub records: Vec<Bytes>,
    /// The offset of the first record that can be read; the newest record of each key stays available.
    pub first: usize,
    writers: HashMap<String, WriterState>,
}

#[derive(Debug, Default)]
struct WriterState {
    epoch: u64,
    calls: Vec<(u64, (u64, u64))>,
}

impl Partition {
    /// Appends records atomically; returns the offset of the first one and the offset after the last.
    pub fn append(
        &mut self,
        writer: Option<Writer>,
        records: Vec<Bytes>,
    ) -> Result<(u64, u64), Refusal> {
        if let Some(w) = &writer {
            let seen = self.writers.entry(w.name.clone()).or_default();
            if w.epoch < seen.epoch {
                return Err(Refusal::Fenced);
            }
            if w.epoch > seen.epoch {
                *seen = WriterState { epoch: w.epoch, calls: Vec::new() };
            }
            if let Some((_, first)) = seen.calls.iter().find(|(call, _)| *call == w.call) {
                return Ok(*first);
            }
            let last = seen.calls.last().map(|(call, _)| *call);
            if let Some(expected) = last.map(|l| l + 1).filter(|&expected| expected != w.call) {
                return Err(Refusal::Sequence(expected));
            }
        }
        let offset = self.records.len() as u64;
        self.records.extend(records);
        let end = self.records.len() as u64;
        if let Some(w) = writer {
            let seen = self.writers.entry(w.name).or_default();
            seen.calls.push((w.call, (offset, end)));
            if seen.calls.len() > KEPT_RESULTS {
                seen.calls.remove(0);
            }
        }
        Ok((offset, end))
    }
}
