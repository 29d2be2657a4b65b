//! Jobs of clients on a site.

use serde_json::{Value, json};

use super::{Site, call, call_with, until};

/// The length of a long description, close to what the platform allows.
const LONG_SPEC: usize = 3_500;

impl Site {
    /// Submits a job of some tasks and one after them; returns the status.
    pub async fn submit(&self, host: &str, id: &str, tasks: u32) -> u16 {
        self.submit_with(host, id, tasks, "").await
    }

    /// Submits a job of one task and one after it with a deadline in milliseconds; returns the status.
    pub async fn submit_within(&self, host: &str, id: &str, limit: u64) -> u16 {
        self.submit_with(host, id, 1, &format!("deadline-ms: {limit}\r\n")).await
    }

    /// Submits a job of one task with a long description; returns the status.
    pub async fn submit_long(&self, host: &str, id: &str) -> u16 {
        let task = json!({ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60 });
        let body = json!({ "spec": "t".repeat(LONG_SPEC), "steps": [task] });
        call(self.clients(host), "POST", &format!("/p/{id}"), &body.to_string()).await.0
    }

    async fn submit_with(&self, host: &str, id: &str, tasks: u32, headers: &str) -> u16 {
        let body = json!({ "spec": "t", "steps": [
            { "count": tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60 },
            { "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60, "after": [0] },
        ] });
        let path = format!("/p/{id}");
        call_with(self.clients(host), "POST", &path, &body.to_string(), headers).await.0
    }

    /// The state of a job at a host; nothing unless the status is 200.
    pub async fn state(&self, host: &str, id: &str) -> Option<String> {
        let (status, body) = call(self.clients(host), "GET", &format!("/p/{id}"), "").await;
        let value: Value = serde_json::from_str(&body).ok()?;
        (status == 200).then(|| value["state"].as_str().unwrap_or_default().to_string())
    }

    /// Waits until a host reports a job as completed.
    pub async fn wait_completed(&self, host: &str, id: &str) {
        until(|| async { self.state(host, id).await.as_deref() == Some("completed") }).await;
    }

    /// The largest number of runs of one task of a job that were lost with their workers.
    pub fn lost(&self, job: &str) -> usize {
        let runs = self.book.runs();
        let lost = runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "lost"));
        let of_job: Vec<_> = lost.filter(|run| run.task.starts_with(job)).collect();
        let count = |task: &str| of_job.iter().filter(|run| run.task == task).count();
        of_job.iter().map(|run| count(&run.task)).max().unwrap_or_default()
    }
}
