//! Reads progress records that earlier versions wrote.
//!
//! New fields are only appended, so a record of an earlier layout is too short for a later one.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::{
    Crashes, IncomingTransfer, JobTransfer, OutgoingTransfer, Progress, Round, State, TaskId,
    TransferId, decode,
};

/// Reads a record in any earlier layout, trying the newest first.
pub(crate) fn read(bytes: &[u8]) -> Option<Progress> {
    let without_settled_runs = decode::<WithoutSettledRuns>(bytes).map(Progress::from);
    let without_crashes = || decode::<WithoutCrashes>(bytes).map(Progress::from);
    let without_budgets = || decode::<WithoutBudgets>(bytes).map(Progress::from);
    let without_task_transfers = || decode::<WithoutTaskTransfers>(bytes).map(Progress::from);
    let without_transfers = || decode::<WithoutTransfers>(bytes).map(Progress::from);
    without_settled_runs
        .or_else(|_| without_crashes())
        .or_else(|_| without_budgets())
        .or_else(|_| without_task_transfers())
        .or_else(|_| without_transfers())
        .ok()
}

/// The layout without runs that have lasted for a while, and without the losses of runs that are not
/// known to have begun.
#[derive(Debug, Deserialize)]
struct WithoutSettledRuns {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next_round: u32,
    ended_at: u64,
    job_transfer: Option<JobTransfer>,
    outgoing: Vec<OutgoingTransfer>,
    incoming: Vec<IncomingTransfer>,
    incoming_only: bool,
    crashes: BTreeMap<TaskId, Crashes>,
}

impl From<WithoutSettledRuns> for Progress {
    fn from(old: WithoutSettledRuns) -> Self {
        let WithoutSettledRuns {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
            crashes,
        } = old;
        Self {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
            crashes,
            ..Self::default()
        }
    }
}

/// The layout without worker crashes.
#[derive(Debug, Deserialize)]
struct WithoutCrashes {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next_round: u32,
    ended_at: u64,
    job_transfer: Option<JobTransfer>,
    outgoing: Vec<OutgoingTransfer>,
    incoming: Vec<IncomingTransfer>,
    incoming_only: bool,
}

impl From<WithoutCrashes> for Progress {
    fn from(old: WithoutCrashes) -> Self {
        let WithoutCrashes {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
        } = old;
        Self {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
            ..Self::default()
        }
    }
}

/// The layout without worker crashes and disruption budgets.
#[derive(Debug, Deserialize)]
struct WithoutBudgets {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next_round: u32,
    ended_at: u64,
    job_transfer: Option<JobTransfer>,
    outgoing: Vec<OutgoingWithoutBudgets>,
    incoming: Vec<IncomingWithoutBudgets>,
    incoming_only: bool,
}

#[derive(Debug, Deserialize)]
struct OutgoingWithoutBudgets {
    to: u32,
    tasks: Vec<TaskId>,
    seq: u32,
    delivered: bool,
    recalled: bool,
}

#[derive(Debug, Deserialize)]
struct IncomingWithoutBudgets {
    transfer: TransferId,
    tasks: Vec<TaskId>,
    seq: u32,
}

/// The layout that has transfers of whole jobs only.
#[derive(Debug, Deserialize)]
struct WithoutTaskTransfers {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next_round: u32,
    ended_at: u64,
    job_transfer: Option<JobTransfer>,
}

/// The layout without transfers.
#[derive(Debug, Deserialize)]
struct WithoutTransfers {
    state: State,
    rounds: BTreeMap<u32, Round>,
    next_round: u32,
    ended_at: u64,
}

impl From<WithoutBudgets> for Progress {
    fn from(old: WithoutBudgets) -> Self {
        let WithoutBudgets {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
        } = old;
        let outgoing = outgoing.into_iter().map(|h| {
            let OutgoingWithoutBudgets { to, tasks, seq, delivered, recalled } = h;
            OutgoingTransfer { to, tasks, seq, delivered, recalled, budgets: Vec::new() }
        });
        let incoming = incoming.into_iter().map(|t| {
            let IncomingWithoutBudgets { transfer, tasks, seq } = t;
            IncomingTransfer { transfer, tasks, seq, budgets: Vec::new() }
        });
        let (outgoing, incoming) = (outgoing.collect(), incoming.collect());
        Self {
            state,
            rounds,
            next_round,
            ended_at,
            job_transfer,
            outgoing,
            incoming,
            incoming_only,
            ..Self::default()
        }
    }
}

impl From<WithoutTaskTransfers> for Progress {
    fn from(old: WithoutTaskTransfers) -> Self {
        let WithoutTaskTransfers { state, rounds, next_round, ended_at, job_transfer } = old;
        Self { state, rounds, next_round, ended_at, job_transfer, ..Self::default() }
    }
}

impl From<WithoutTransfers> for Progress {
    fn from(old: WithoutTransfers) -> Self {
        let WithoutTransfers { state, rounds, next_round, ended_at } = old;
        Self { state, rounds, next_round, ended_at, ..Self::default() }
    }
}
