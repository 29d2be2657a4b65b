//! The records of a cell's stream and their encoding.

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Stamp};

use crate::{Cell, Op};

/// Commands that one host appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// A number unique to an incarnation of a host.
    pub writer: u64,
    /// Increases by one with each batch of the writer.
    pub seq: u64,
    /// The log time after which the batch has no effect.
    pub expires: Millis,
    /// The writer's hybrid logical clock.
    pub stamp: Stamp,
    /// The commands, in order.
    pub ops: Vec<Op>,
}

/// The state after a prefix of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Snapshot {
    /// The state; its `next` is the first offset that it doesn't include.
    pub cell: Cell,
}

/// A record of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Record {
    /// A batch of commands.
    Batch(Batch),
    /// A state to start from.
    Snapshot(Box<Snapshot>),
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("records hold no type that postcard refuses")
    }

    /// Decodes a record; none if the bytes are not one in the current or an earlier layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let legacy = || {
            // A snapshot of an earlier version lacks the crash counts at its end; an empty map is appended.
            let record = postcard::from_bytes(&[bytes, &[0]].concat()).ok();
            record.filter(|r| matches!(r, Self::Snapshot(_)))
        };
        postcard::from_bytes(bytes).ok().or_else(legacy)
    }
}
