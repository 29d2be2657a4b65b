//! The calls of the platform's worker API that a runner handles.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use myrtle_platform::{HttpRequest, Reply, json, reply, text};

use super::{MAX_LEASE_MS, Run, WorkerStandin, share, since_1970};

/// A call that starts a run.
#[derive(Debug, Deserialize)]
pub(super) struct StartRequest {
    pub(super) task: String,
    pub(super) run: u32,
    until_ms: u64,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    ticket: String,
    #[serde(default)]
    checkpoint: String,
}

#[derive(Deserialize)]
struct StopRequest {
    task: String,
    run: u32,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct PaceRequest {
    task: String,
    run: u32,
    percent: u8,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct RenewalRequest {
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    last_seen: u64,
    until_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

impl WorkerStandin {
    /// Handles a request.
    pub(super) async fn handle(&self, ask: HttpRequest) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.mute.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let incarnation = self.incarnation();
        if ask
            .headers
            .get("expect-instance")
            .is_some_and(|h| h.as_bytes() != incarnation.as_bytes())
        {
            return text(421, "another incarnation");
        }
        if ask.path == "/api/run-start" && self.delays_starts.load(Ordering::Relaxed) {
            let start = serde_json::from_slice(&ask.body).ok();
            self.delayed.lock().expect("no holder panics").extend(start);
            std::future::pending::<()>().await;
            unreachable!("the call never ends");
        }
        match ask.path.as_str() {
            "/api/run-start" => self.run_start(&ask),
            "/api/run-stop" => self.run_stop(&ask),
            "/api/pace" => self.limit_speed(&ask),
            "/api/hold" => self.renew(&ask).await,
            _ => text(404, "unknown path"),
        }
    }

    fn run_start(&self, ask: &HttpRequest) -> Reply {
        let Ok(start) = serde_json::from_slice::<StartRequest>(&ask.body) else {
            return text(400, "malformed start");
        };
        let (fence, end_count) = {
            let state = self.state.lock().expect("no holder panics");
            (state.fence, state.end_count)
        };
        if start.fence >= fence {
            self.check_stray(0, end_count, start.until_ms);
        }
        self.execute_start(start)
    }

    /// Executes a start, whichever process it was meant for.
    pub(super) fn execute_start(&self, start: StartRequest) -> Reply {
        let mut state = self.state.lock().expect("no holder panics");
        if start.fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = start.fence;
        if start.until_ms <= self.clock() {
            return self.refuse("late");
        }
        state.until = state.until.max(start.until_ms.min(self.clock() + MAX_LEASE_MS));
        let current = state.runs.get(&start.task).map(|r| r.number);
        if current == Some(start.run) {
            return self.done();
        }
        let closed = state.closed.get(&start.task).copied().unwrap_or_default();
        if current.is_some() || start.run <= closed {
            return self.refuse("old");
        }
        let service = self.tickets.get();
        if service.is_some_and(|s| !s.holds(&start.task, &self.incarnation(), &start.ticket)) {
            return self.refuse("ticket");
        }
        let plan = self.plans.get().and_then(|plans| plans.of(&start.task));
        let mut run = Run::new(start.run, plan);
        run.resume(&start.checkpoint);
        if !share::has_room(&state.runs, &run) {
            return self.refuse("room");
        }
        self.begin(&mut state, start.task, run);
        self.done()
    }

    fn limit_speed(&self, ask: &HttpRequest) -> Reply {
        let Ok(limit) = serde_json::from_slice::<PaceRequest>(&ask.body) else {
            return text(400, "malformed speed limit");
        };
        let mut state = self.state.lock().expect("no holder panics");
        if limit.fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = limit.fence;
        if let Some(run) = state.runs.get_mut(&limit.task).filter(|r| r.number == limit.run) {
            run.percent_limit = limit.percent.min(100);
        }
        self.done()
    }

    fn run_stop(&self, ask: &HttpRequest) -> Reply {
        let Ok(stop) = serde_json::from_slice::<StopRequest>(&ask.body) else {
            return text(400, "malformed stop");
        };
        let mut state = self.state.lock().expect("no holder panics");
        if stop.fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = stop.fence;
        if state.runs.get(&stop.task).is_some_and(|r| r.number == stop.run) {
            self.end(&mut state, &stop.task, "stopped");
        }
        let closed = state.closed.entry(stop.task).or_default();
        *closed = (*closed).max(stop.run);
        self.done()
    }

    async fn renew(&self, ask: &HttpRequest) -> Reply {
        let Ok(renewal) = serde_json::from_slice::<RenewalRequest>(&ask.body) else {
            return text(400, "malformed lease renewal");
        };
        let ended = self.ended.notified();
        let idle = {
            let mut state = self.state.lock().expect("no holder panics");
            if renewal.fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = renewal.fence;
            self.check_stray(
                renewal.last_seen,
                state.end_count,
                renewal.until_ms.unwrap_or_default(),
            );
            let until = renewal.until_ms.unwrap_or_default().min(self.clock() + MAX_LEASE_MS);
            state.until = state.until.max(until);
            state.ends.retain(|(number, ..)| *number > renewal.last_seen);
            state.ends.is_empty()
        };
        if idle {
            let _ = timeout(Duration::from_millis(renewal.wait_ms), ended).await;
        }
        if self.mute.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let state = self.state.lock().expect("no holder panics");
        let clock = since_1970();
        let burden = f64::from(self.burden.load(Ordering::Relaxed)) / 100.0;
        let row = |(task, run): (&String, &Run)| {
            let figure = share::figure(&state.runs, run, clock, burden);
            json!([task, run.number, run.checkpoint(), run.percent(self.work), figure])
        };
        let running: Vec<_> = state.runs.iter().map(row).collect();
        let ends: Vec<_> =
            state.ends.iter().map(|(n, t, r, how, saved)| json!([n, t, r, how, saved])).collect();
        json(&json!({
            "clock_ms": self.clock(), "born": self.started_ms(), "running": running, "ended": ends,
        }))
    }

    fn done(&self) -> Reply {
        json(&json!({ "clock_ms": self.clock() }))
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = json!({ "clock_ms": self.clock(), "reason": reason }).to_string();
        reply(409, "application/json", body.into_bytes())
    }
}
