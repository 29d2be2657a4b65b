//! Reports of jobs that are over, for logs and metrics.

use log::{info, warn};

use myrtle_job::{JobId, State, TaskId};

use crate::account::phase::Phase;
use crate::account::spans::Spans;
use crate::{Cell, Job};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was completed within its objective.
    InTime,
    /// It was completed after its objective.
    Late,
    /// It failed.
    Failed,
}

impl Verdict {
    /// The key in metrics.
    pub fn key(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Failed => "failed",
        }
    }
}

/// A job that is over, and where its time went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob {
    /// The queue.
    pub queue: String,
    /// How it ended.
    pub verdict: Verdict,
    /// From its acceptance until the log held its end, in milliseconds.
    pub took: u64,
    /// The spans along the chain of steps that ended last, which for a repeated job begins with its
    /// last repetition; for a failed one the chain of the task because of which it failed.
    pub spans: Spans,
}

impl Cell {
    /// Takes the reports of jobs that the log has shown as over since the last call.
    pub fn take_reports(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.reports)
    }

    /// Reports a job whose end the log holds now; cancelled jobs have no account.
    pub(crate) fn report_end(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The job itself stays for as long as its state may be asked for.
        job.account.close();
        let took = now.saturating_sub(job.arrived_at);
        let objective = job.objective();
        let late = took > objective;
        let (verdict, spans) = match job.logged_state {
            State::Completed => {
                let verdict = if late { Verdict::Late } else { Verdict::InTime };
                (verdict, job.account.last_chain(now))
            }
            State::Failed => {
                let mut spans = job.failed_chain.take().unwrap_or_default();
                spans.add(Phase::Log, took.saturating_sub(spans.total()));
                (Verdict::Failed, spans)
            }
            _ => return,
        };
        if verdict != Verdict::Failed {
            info!(
                "event=job-done job={id} queue={} took_ms={took} objective_ms={objective} \
                 late={late} {spans}",
                job.submission.policy.queue
            );
        }
        let queue = job.submission.policy.queue.clone();
        self.reports.push(EndedJob { queue, verdict, took, spans });
    }

    /// Logs that a job fails because of a task, with the reason, and keeps where the time went.
    pub(crate) fn log_failure(&mut self, task: TaskId, reason: &str, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let took = now.saturating_sub(job.arrived_at);
        let spans = job.account.chain_of(&job.submission.spec, task, now);
        warn!(
            "event=job-failed job={} queue={} task={task} {reason} took_ms={took} {spans}",
            task.job, job.submission.policy.queue
        );
        job.failed_chain = Some(spans);
    }
}

impl Job {
    /// Records that a run of a short task ended without success.
    pub(crate) fn count_loss(&mut self, task: TaskId, run: u32, cause: Phase, now: u64) {
        if self.progress.state.over() {
            return;
        }
        let record = self.progress.task(task).filter(|t| !t.done);
        let Some(record) = record.filter(|_| !self.step(task.step).long_running) else {
            return;
        };
        let copy = record.active.iter().map(|r| r.number).find(|&other| other != run);
        self.account.ended(task, run, cause, copy, now);
    }
}
