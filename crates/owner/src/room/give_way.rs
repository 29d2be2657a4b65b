//! Chooses the long-running tasks that give way to short ones.

use std::cmp::Reverse;

use myrtle_job::{Incarnation, TaskId};

use crate::placing::step::step_of;

/// A long-running task that its client allows to be unavailable.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) worker: Incarnation,
    /// What it claims, in thousandths of a core.
    pub(crate) claim: u32,
    /// What is free on its worker, in thousandths of a core.
    pub(crate) free: u32,
    /// What fillers ask for there, in thousandths of a core.
    pub(crate) fillers: u32,
}

/// The tasks to stop so that short tasks of `size` find room, until `need` is met; both in
/// thousandths of a core.
///
/// Each worker gives one task and each step one task at a time. Where a single stop makes room for
/// the most short tasks comes first, so that fragments of room that are too small become useful; of
/// those, where the fewest fillers lose the processors that they run on.
pub(crate) fn choose(mut candidates: Vec<Candidate>, size: u32, need: u32) -> Vec<Candidate> {
    let size = size.max(1);
    let gain = |c: &Candidate| (c.free + c.claim) / size - c.free / size;
    candidates.retain(|c| gain(c) > 0);
    candidates.sort_by_key(|c| (Reverse(gain(c)), c.fillers, c.claim, c.task));
    let mut chosen: Vec<Candidate> = Vec::new();
    let mut made = 0;
    for candidate in candidates {
        if made >= need {
            break;
        }
        let taken = |c: &Candidate| {
            c.worker == candidate.worker || step_of(c.task) == step_of(candidate.task)
        };
        if chosen.iter().any(taken) {
            continue;
        }
        made += gain(&candidate) * size;
        chosen.push(candidate);
    }
    chosen
}
