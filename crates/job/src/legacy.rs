//! Reads progress records that earlier versions wrote.
//!
//! New fields are only appended, so a record of an earlier layout is too short for a later one.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::{Handed, Moved, PartId, Progress, Round, State, Taken, TaskId, decode};

/// Reads a record in any earlier layout, trying the newest first.
pub(crate) fn read(bytes: &[u8]) -> Option<Progress> {
    let without_crashes = decode::<WithoutCrashes>(bytes).map(Progress::from);
    let without_budgets = || decode::<WithoutBudgets>(bytes).map(Progress::from);
    let without_task_transfers = || decode::<WithoutTaskTransfers>(bytes).map(Progress::from);
    let without_transfers = || decode::<WithoutTransfers>(bytes).map(Progress::from);
    without_crashes
        .or_else(|_| without_budgets())
        .or_else(|_| without_task_transfers())
        .or_else(|_| without_transfers())
        .ok()
}

/// The layout without worker crashes.
#[derive(Debug, Deserialize)]
struct WithoutCrashes {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next: u32,
    ended: u64,
    moved: Option<Moved>,
    handed: Vec<Handed>,
    taken: Vec<Taken>,
    guest: bool,
}

impl From<WithoutCrashes> for Progress {
    fn from(old: WithoutCrashes) -> Self {
        let WithoutCrashes { state, rounds, next, ended, moved, handed, taken, guest } = old;
        Self { state, rounds, next, ended, moved, handed, taken, guest, ..Self::default() }
    }
}

/// The layout without worker crashes and disruption budgets.
#[derive(Debug, Deserialize)]
struct WithoutBudgets {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next: u32,
    ended: u64,
    moved: Option<Moved>,
    handed: Vec<OutgoingWithoutBudgets>,
    taken: Vec<IncomingWithoutBudgets>,
    guest: bool,
}

#[derive(Debug, Deserialize)]
struct OutgoingWithoutBudgets {
    to: u32,
    tasks: Vec<TaskId>,
    turn: u32,
    delivered: bool,
    recalled: bool,
}

#[derive(Debug, Deserialize)]
struct IncomingWithoutBudgets {
    part: PartId,
    tasks: Vec<TaskId>,
    turn: u32,
}

/// The layout that has transfers of whole jobs only.
#[derive(Debug, Deserialize)]
struct WithoutTaskTransfers {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next: u32,
    ended: u64,
    moved: Option<Moved>,
}

/// The layout without transfers.
#[derive(Debug, Deserialize)]
struct WithoutTransfers {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next: u32,
    ended: u64,
}

impl From<WithoutBudgets> for Progress {
    fn from(old: WithoutBudgets) -> Self {
        let WithoutBudgets { state, rounds, next, ended, moved, handed, taken, guest } = old;
        let handed = handed.into_iter().map(|h| {
            let OutgoingWithoutBudgets { to, tasks, turn, delivered, recalled } = h;
            Handed { to, tasks, turn, delivered, recalled, allowances: Vec::new() }
        });
        let taken = taken.into_iter().map(|t| {
            let IncomingWithoutBudgets { part, tasks, turn } = t;
            Taken { part, tasks, turn, allowances: Vec::new() }
        });
        let (handed, taken) = (handed.collect(), taken.collect());
        Self { state, rounds, next, ended, moved, handed, taken, guest, ..Self::default() }
    }
}

impl From<WithoutTaskTransfers> for Progress {
    fn from(old: WithoutTaskTransfers) -> Self {
        let WithoutTaskTransfers { state, rounds, next, ended, moved } = old;
        Self { state, rounds, next, ended, moved, ..Self::default() }
    }
}

impl From<WithoutTransfers> for Progress {
    fn from(old: WithoutTransfers) -> Self {
        let WithoutTransfers { state, rounds, next, ended } = old;
        Self { state, rounds, next, ended, ..Self::default() }
    }
}
