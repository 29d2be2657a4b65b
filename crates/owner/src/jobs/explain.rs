//! Descriptions of jobs for operators.

use myrtle_job::{JobId, TaskId};

use crate::Cell;

/// The most tasks that are described one by one.
const MAX_TASKS: usize = 1_000;

impl Cell {
    /// Describes a job in lines for operators.
    pub fn explain(&self, id: JobId, now: u64) -> Vec<String> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let age = now.saturating_sub(job.arrived_at);
        let policy = &job.submission.policy;
        let mut lines = vec![format!(
            "job {id}: {} (in the log: {}), queue {}, priority {}, {age} ms old, objective {} ms",
            job.progress.state,
            job.logged_state,
            policy.queue,
            policy.priority,
            job.objective()
        )];
        let open = job.progress.tasks().filter(|(.., t)| !t.done);
        for (round, step, index, task) in open.take(MAX_TASKS) {
            let runs: Vec<_> =
                task.active.iter().map(|r| format!("run {} on {}", r.number, r.worker)).collect();
            let name = TaskId { job: id, round, step, index };
            let what = match () {
                _ if job.progress.is_transferred(name) => {
                    "was transferred to another cell".to_string()
                }
                _ if runs.is_empty() && policy.ticket_times.is_some() => {
                    format!("waits ({})", self.ticket_reason(job, name, now))
                }
                _ if runs.is_empty() => "waits".to_string(),
                _ => runs.join(", "),
            };
            let lost = job.progress.crashes.get(&name).map_or(0, |c| c.losses);
            let failed = task.failed_runs.len();
            lines.push(format!("{name}: {what}, {failed} failed, {lost} lost with their workers"));
        }
        let open = job.progress.groups().filter(|group| !group.task.done);
        let count: usize = open.map(|group| group.indices.len()).sum();
        if count > MAX_TASKS {
            lines.push(format!("and {} more tasks that are not done", count - MAX_TASKS));
        }
        if !self.evacuated.is_empty() {
            let all = if self.all_evacuated() {
                "every data centre of the cell is"
            } else {
                "data centres"
            };
            let names: Vec<_> = self.evacuated.iter().map(String::as_str).collect();
            lines.push(format!("{all} being evacuated: {}", names.join(" ")));
        }
        lines
    }
}
