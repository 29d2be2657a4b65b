//! What successors have to know of a wave.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use myrtle_job::Incarnation;

/// What successors have to know of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveRecord {
    /// The completed machines.
    pub done: BTreeSet<String>,
    /// The machines that may be down.
    pub turns: BTreeMap<String, TurnRecord>,
}

/// What successors have to know of a machine that may be down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnRecord {
    /// Maintenance is being ordered.
    Ordered,
    /// It has begun; earlier builds named a worker that was on the machine before, which tells nothing.
    Down(Option<Incarnation>),
}

/// A change of a wave to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveChange {
    /// The wave's number.
    pub number: u64,
    /// What successors have to know.
    pub record: WaveRecord,
    /// Whether all machines are completed.
    pub complete: bool,
    /// Whether the operator has yet to be told so.
    pub news: bool,
}
