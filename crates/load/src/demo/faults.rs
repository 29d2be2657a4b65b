//! The faults that the demo injects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use uuid::Uuid;

use myrtle_platform::{Host, Role};

use super::{CALL_TIMEOUT, Demo, Session};
use crate::callers::{Call, Caller, Log, Mix};

/// How long a gate is frozen, longer than its lease.
pub(super) const FREEZE_TIME: Duration = Duration::from_secs(11);

impl Session {
    /// Evicts a running task as an operator would.
    pub(super) async fn evict_task(&mut self) -> Result<String, String> {
        let runs = self.runs().await?;
        let running = runs.iter().rev().find(|r| r.to.is_none());
        let task = running.map(|r| r.task.clone()).ok_or("no task is running")?;
        let centre = task.split('/').next().unwrap_or_default().to_string();
        let scheds: Vec<Host> =
            self.hosts_of(Role::Sched).filter(|h| h.data_centre == centre).cloned().collect();
        let mut last = String::new();
        for sched in scheds {
            let path = format!("/evict?task={task}");
            match self.http.post::<Value>(sched.http, &path, &(), CALL_TIMEOUT).await {
                Ok(_) => {
                    self.note(format!("task {task} evicted by an operator"));
                    return Ok(task);
                }
                Err(e) => last = e.to_string(),
            }
        }
        Err(format!("cannot evict {task}: {last}"))
    }

    pub(super) fn kill_sched(&mut self, demo: &Demo) -> Result<(), String> {
        let Some(pid) = demo.kill else { return Ok(()) };
        kill(Pid::from_raw(pid), Signal::SIGKILL).map_err(|e| e.to_string())?;
        self.note(format!("sched process {pid} killed"));
        Ok(())
    }

    /// Freezes a gate until its lease has expired, then resumes it.
    pub(super) async fn freeze_gate(&mut self, demo: &Demo) -> Result<(), String> {
        let Some(pid) = demo.freeze.map(Pid::from_raw) else { return Ok(()) };
        kill(pid, Signal::SIGSTOP).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} frozen"));
        tokio::time::sleep(FREEZE_TIME).await;
        kill(pid, Signal::SIGCONT).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} resumed"));
        Ok(())
    }

    /// Kills the worker with the most tasks; returns its name and the tasks.
    pub(super) async fn kill_worker(&mut self) -> Result<(String, Vec<String>), String> {
        let runs = self.runs().await?;
        let open = |name: &str| runs.iter().filter(|r| r.worker == name && r.to.is_none()).count();
        let names: Vec<String> = self.hosts_of(Role::Worker).map(|h| h.name.clone()).collect();
        let victim = names.into_iter().max_by_key(|n| open(n)).ok_or("no worker is listed")?;
        let tasks = runs.iter().filter(|r| r.worker == victim && r.to.is_none());
        let tasks: Vec<String> = tasks.map(|r| r.task.clone()).collect();
        self.control(json!({"worker": [victim, "down"]})).await?;
        self.control(json!({"upstream": [victim, "close"]})).await?;
        self.note(format!("worker {victim} killed with {} tasks", tasks.len()));
        Ok((victim, tasks))
    }

    /// Sends each of 20 keyed requests to two gates concurrently.
    pub(super) async fn send_twice(&mut self, log: &Arc<Log>, mix: &Mix, gates: &[SocketAddr]) {
        let caller = Caller::new(log.clone());
        let mut same = 0;
        for n in 0..20 {
            let call = Call {
                id: format!("twice-{n}"),
                customer: mix.customers[0].clone(),
                class: mix.classes[0].0.clone(),
                safe: false,
                key: Some(Uuid::now_v7()),
                work: 3000,
                body: format!("twice {n}"),
            };
            let (a, b) = (gates[n % gates.len()], gates[(n + 1) % gates.len()]);
            let outcomes = tokio::join!(caller.send(a, &call), caller.send(b, &call));
            same += usize::from(outcomes.0 == outcomes.1);
        }
        self.note(format!(
            "20 keyed requests sent to two gates each, {same} with the same outcome at both"
        ));
    }
}
