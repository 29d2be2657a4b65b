//! Derives commands and orders from a worker's reports and the fold, without side effects.

use myrtle_base::Millis;
use myrtle_cell::{Cell, End, Op, State, StopReason, TaskId};
use myrtle_config::OnUnreachable;
use myrtle_platform::{Report, RunState, Start, Stop};

use crate::names::{task_id, task_name};

/// Number of checkpoints between two that are logged while a task runs.
const CHECKPOINT_INTERVAL: u32 = 20;

/// What one report requires.
#[derive(Debug, PartialEq)]
pub enum ReportAction {
    /// Nothing.
    Nothing,
    /// A command for the log.
    Propose(Op),
    /// The end is in the fold, so the worker may discard it.
    Acknowledge(Stop),
    /// The attempt must not run on this worker.
    Stop(Stop),
}

/// Derives what a report of worker `worker` requires.
pub fn evaluate(cell: &Cell, centre: &str, worker: u32, report: &Report) -> ReportAction {
    let stop = Stop { task: report.task.clone(), attempt: report.attempt };
    let current = current(cell, centre, worker, report);
    let running = report.state == RunState::Running;
    let Some((id, state, checkpoint)) = current else {
        return match running {
            // The host that started the attempt may have folded more of the log than this one.
            true if ahead(cell, centre, report) => ReportAction::Nothing,
            true => ReportAction::Stop(stop),
            false => ReportAction::Acknowledge(stop),
        };
    };
    let (task, attempt) = (id, report.attempt);
    match report.state {
        RunState::Running => match state {
            State::Claimed(_) => ReportAction::Propose(Op::Started { task, attempt }),
            State::Running(_) if report.checkpoint >= checkpoint + CHECKPOINT_INTERVAL => {
                ReportAction::Propose(Op::Checkpoint {
                    task,
                    attempt,
                    checkpoint: report.checkpoint,
                })
            }
            _ => ReportAction::Nothing,
        },
        RunState::Done => ReportAction::Propose(Op::End { task, attempt, end: End::Done }),
        RunState::Failed => ReportAction::Propose(Op::End { task, attempt, end: End::Failed }),
        RunState::Stopped => {
            ReportAction::Propose(Op::End { task, attempt, end: End::Stopped(report.checkpoint) })
        }
    }
}

/// Returns the attempts that a worker is to start and to stop.
pub fn orders(cell: &Cell, centre: &str, worker: u32) -> (Vec<Start>, Vec<Stop>) {
    let mut starts = Vec::new();
    let mut stops = Vec::new();
    for (id, task, job) in cell.worker_tasks(worker) {
        let name = task_name(centre, id);
        match task.state {
            State::Claimed(_) => starts.push(Start {
                task: name,
                attempt: task.attempt,
                room: task.reserved,
                kind: job.spec.kind.clone(),
                run_time: job.spec.run_time,
                checkpoint: task.checkpoint,
                leased: job.spec.on_unreachable == OnUnreachable::Yield,
            }),
            State::Stopping(..) => stops.push(Stop { task: name, attempt: task.attempt }),
            _ => {}
        }
    }
    (starts, stops)
}

/// Returns the command that evicts a task, if the task runs.
pub fn evict(cell: &Cell, id: TaskId, reason: StopReason) -> Option<Op> {
    let task = cell.tasks.get(&id)?;
    matches!(task.state, State::Running(_)).then_some(Op::Stop {
        task: id,
        attempt: task.attempt,
        reason,
    })
}

/// Whether a later record than this fold's newest may have started the reported attempt.
fn ahead(cell: &Cell, centre: &str, report: &Report) -> bool {
    let Some(id) = task_id(centre, &report.task) else { return false };
    match cell.tasks.get(&id) {
        Some(task) => report.attempt > task.attempt,
        None => cell.jobs.last_key_value().is_none_or(|(newest, _)| id.job > *newest),
    }
}

/// Returns task, state and checkpoint of the reported attempt if the fold has it on this worker.
fn current(
    cell: &Cell,
    centre: &str,
    worker: u32,
    report: &Report,
) -> Option<(TaskId, State, u32)> {
    let id = task_id(centre, &report.task)?;
    let task = cell.tasks.get(&id)?;
    let same = task.attempt == report.attempt && task.state.worker() == Some(worker);
    same.then_some((id, task.state, task.checkpoint))
}

/// Time without a reply from a worker after which its host suspects it.
pub const SUSPECT_AFTER: Millis = Millis(2_500);
