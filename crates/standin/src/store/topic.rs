//! A partition: its records, and which writers it has seen.

use std::collections::HashMap;

use bytes::Bytes;

/// Answers to a writer's calls that are kept for its repeats.
const KEPT: usize = 5;

/// Who writes.
#[derive(Debug, Clone)]
pub struct Writer {
    /// The writer's name.
    pub name: String,
    /// Its fencing token.
    pub epoch: u64,
    /// The number of its call.
    pub call: u64,
}

/// Why an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A higher epoch was seen.
    Fenced,
    /// Another number is wanted.
    Sequence(u64),
}

/// One partition.
#[derive(Debug, Default)]
pub struct Part {
    /// The records.
    pub records: Vec<Bytes>,
    /// The first record that readers still get; the newest of each key are told for good.
    pub first: usize,
    seen: HashMap<String, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    epoch: u64,
    calls: Vec<(u64, (u64, u64))>,
}

impl Part {
    /// Appends records, all or nothing; returns the offset of the first and the end.
    pub fn append(
        &mut self,
        writer: Option<Writer>,
        records: Vec<Bytes>,
    ) -> Result<(u64, u64), Refusal> {
        if let Some(w) = &writer {
            let seen = self.seen.entry(w.name.clone()).or_default();
            if w.epoch < seen.epoch {
                return Err(Refusal::Fenced);
            }
            if w.epoch > seen.epoch {
                *seen = Seen { epoch: w.epoch, calls: Vec::new() };
            }
            if let Some((_, first)) = seen.calls.iter().find(|(call, _)| *call == w.call) {
                return Ok(*first);
            }
            let last = seen.calls.last().map(|(call, _)| *call);
            if let Some(wanted) = last.map(|l| l + 1).filter(|&wanted| wanted != w.call) {
                return Err(Refusal::Sequence(wanted));
            }
        }
        let offset = self.records.len() as u64;
        self.records.extend(records);
        let end = self.records.len() as u64;
        if let Some(w) = writer {
            let seen = self.seen.entry(w.name).or_default();
            seen.calls.push((w.call, (offset, end)));
            if seen.calls.len() > KEPT {
                seen.calls.remove(0);
            }
        }
        Ok((offset, end))
    }
}
