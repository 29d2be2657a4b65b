//! What a worker's reports mean for the fold: pure.

use myrtle_base::Millis;
use myrtle_cell::{Cell, End, Op, State, TaskId, Why};
use myrtle_config::WhenCut;
use myrtle_platform::{Report, RunState, Start, Stop};

use crate::names::{task_id, task_name};

/// Checkpoints between two that are put into the log while a task runs.
const MARK_EVERY: u32 = 20;

/// What follows from one report.
#[derive(Debug, PartialEq)]
pub enum Next {
    /// Nothing.
    Nothing,
    /// The fold must hear of it.
    Tell(Op),
    /// The end is recorded; the worker may forget it.
    Noted(Stop),
    /// The attempt must not run there.
    Stop(Stop),
}

/// Judges a report of worker `worker`.
pub fn judge(cell: &Cell, centre: &str, worker: u32, report: &Report) -> Next {
    let own = Stop { task: report.task.clone(), attempt: report.attempt };
    let current = current(cell, centre, worker, report);
    let running = report.state == RunState::Running;
    let Some((id, state, checkpoint)) = current else {
        return match running {
            // This host's fold may be behind the host that started it.
            true if ahead(cell, centre, report) => Next::Nothing,
            true => Next::Stop(own),
            false => Next::Noted(own),
        };
    };
    let (task, attempt) = (id, report.attempt);
    match report.state {
        RunState::Running => match state {
            State::Claimed(_) => Next::Tell(Op::Started { task, attempt }),
            State::Running(_) if report.checkpoint >= checkpoint + MARK_EVERY => {
                Next::Tell(Op::Mark { task, attempt, checkpoint: report.checkpoint })
            }
            _ => Next::Nothing,
        },
        RunState::Done => Next::Tell(Op::End { task, attempt, end: End::Done }),
        RunState::Failed => Next::Tell(Op::End { task, attempt, end: End::Failed }),
        RunState::Stopped => {
            Next::Tell(Op::End { task, attempt, end: End::Stopped(report.checkpoint) })
        }
    }
}

/// The attempts that a worker is to start and to stop.
pub fn orders(cell: &Cell, centre: &str, worker: u32) -> (Vec<Start>, Vec<Stop>) {
    let mut starts = Vec::new();
    let mut stops = Vec::new();
    for (id, task, job) in cell.tasks_on(worker) {
        let name = task_name(centre, id);
        match task.state {
            State::Claimed(_) => starts.push(Start {
                task: name,
                attempt: task.attempt,
                room: task.given,
                kind: job.spec.kind.clone(),
                run_time: job.spec.run_time,
                checkpoint: task.checkpoint,
                leased: job.spec.when_cut == WhenCut::Yield,
            }),
            State::Stopping(..) => stops.push(Stop { task: name, attempt: task.attempt }),
            _ => {}
        }
    }
    (starts, stops)
}

/// The command that evicts a task.
pub fn evict(cell: &Cell, id: TaskId, why: Why) -> Option<Op> {
    let task = cell.tasks.get(&id)?;
    matches!(task.state, State::Running(_)).then_some(Op::Stop {
        task: id,
        attempt: task.attempt,
        why,
    })
}

/// Whether the report is of an attempt that this fold has not come to.
fn ahead(cell: &Cell, centre: &str, report: &Report) -> bool {
    let Some(id) = task_id(centre, &report.task) else { return false };
    match cell.tasks.get(&id) {
        Some(task) => report.attempt > task.attempt,
        None => cell.jobs.last_key_value().is_none_or(|(newest, _)| id.job > *newest),
    }
}

/// The state of the reported attempt if the fold has it on this worker.
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

/// The time after which a host that hears nothing of a worker suspects it.
pub const SILENT: Millis = Millis(2_500);
