//! HTTP interface for operators.

use std::sync::Arc;

use serde::Serialize;
use serde_json::{Value, json as value};

use myrtle_base::Stamp;
use myrtle_cell::{Op, State, StopReason, TaskId};
use myrtle_peer::Proposal;
use myrtle_platform::{HttpRequest, Reply, json, reply, text};

use crate::names::task_id;
use crate::tables::Tables;

/// Status of a sched.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    role: &'static str,
    data_centre: String,
    config: u64,
    next: u64,
    log_age_ms: u64,
    writer: bool,
    voters: Vec<String>,
    tasks: myrtle_cell::Totals,
    suspects: Vec<String>,
}

/// Answers one request.
pub async fn handle(tables: Arc<Tables>, request: HttpRequest) -> Reply {
    match request.path.as_str() {
        "/healthz" => text(200, "ok\n"),
        "/readyz" => readiness(&tables),
        "/metrics" => metrics(&tables),
        "/events" => events(&tables, &request),
        "/status" => json(&status(&tables)),
        "/config" => json(&tables.config(|c| c.scopes.clone())),
        "/jobs" => json(&jobs(&tables)),
        "/workers" => json(&workers(&tables)),
        "/usage" => json(&usage(&tables)),
        "/why" => why(&tables, request.param("task").unwrap_or_default()),
        "/cancel" => cancel(&tables, &request).await,
        "/drain" => drain(&tables, &request).await,
        "/evict" => evict(&tables, &request).await,
        "/release" => release(&tables, &request).await,
        _ => text(404, "see docs/OPERATING.md for what can be asked\n"),
    }
}

fn readiness(tables: &Tables) -> Reply {
    match tables.config(|c| c.version) {
        0 => text(503, "no configuration yet\n"),
        _ => text(200, "ready\n"),
    }
}

fn metrics(tables: &Tables) -> Reply {
    let totals = tables.cell(|c| c.cell.totals());
    let level = |label, n: usize| tables.metrics.level("myrtle_tasks", label, n as i64);
    level("pending", totals.pending);
    level("claimed", totals.claimed);
    level("running", totals.running);
    level("stopping", totals.stopping);
    tables.metrics.level("myrtle_log_age_ms", "cell", tables.log_age().0.min(1 << 40) as i64);
    let body = tables.metrics.text().into_bytes();
    reply(200, "text/plain; version=0.0.4", body)
}

fn events(tables: &Tables, request: &HttpRequest) -> Reply {
    let since = request.param("since").and_then(|s| s.parse().ok()).unwrap_or_default();
    json(&tables.events.since(Stamp(since)))
}

fn status(tables: &Tables) -> Status {
    let config = tables.config(|c| c.version);
    let writer = tables.online() && tables.elected("writer");
    let log_age_ms = tables.log_age().0;
    tables.cell(|c| Status {
        name: tables.name().into(),
        role: "sched",
        data_centre: tables.centre().into(),
        config,
        next: c.cell.next,
        log_age_ms,
        writer,
        voters: c.cell.voters.iter().cloned().collect(),
        tasks: c.cell.totals(),
        suspects: c.cell.suspects().map(|s| s.0.to_string()).collect(),
    })
}

fn jobs(tables: &Tables) -> Vec<Value> {
    tables.cell(|c| {
        let job = |(number, job): (&u32, &myrtle_cell::Job)| {
            value!({
                "job": job.name,
                "number": number,
                "party": job.spec.customer,
                "class": job.spec.class,
                "data_centre": tables.centre(),
                "state": job.state.to_string(),
                "open": job.open,
                "done": job.done,
            })
        };
        c.cell.jobs.iter().map(job).collect()
    })
}

fn workers(tables: &Tables) -> Vec<Value> {
    tables.cell(|c| {
        let worker = |w: &myrtle_cell::Worker| {
            value!({
                "worker": w.name,
                "data_centre": tables.centre(),
                "rack": w.rack,
                "has": w.room.to_string(),
                "given": w.used.to_string(),
                "health": format!("{:?}", w.health),
                "leaving": w.draining,
                "aside": w.backoff_until.is_some(),
                "tasks": w.tasks.len(),
            })
        };
        c.cell.workers.iter().map(worker).collect()
    })
}

fn usage(tables: &Tables) -> Vec<Value> {
    let price = |class: &str| {
        tables.config(|c| {
            let class = c.platform().and_then(|p| p.classes.get(class).map(|c| c.price));
            class.unwrap_or_default()
        })
    };
    let used = tables.cell(|c| c.cell.usage.clone());
    let row = |((customer, class), used): (&(String, String), &myrtle_cell::Usage)| {
        let price = price(class);
        value!({
            "party": customer,
            "class": class,
            "data_centre": tables.centre(),
            "requests": used.requests,
            "busy_ms": used.busy.0,
            "price": price,
            "due": price as f64 * used.busy.0 as f64 / 1000.0,
        })
    };
    used.iter().map(row).collect()
}

/// Finds a task by `JOB.INDEX`, with the job's name or number, or by its full name for workers.
fn find(tables: &Tables, name: &str) -> Option<TaskId> {
    if let Some(id) = task_id(tables.centre(), name) {
        return Some(id);
    }
    let (job, index) = name.rsplit_once('.')?;
    let index = index.parse().ok()?;
    tables.cell(|c| {
        let named = c.cell.job_named(job).map(|j| j.0);
        let number = named.or_else(|| job.parse().ok())?;
        let id = TaskId::new(number, index);
        c.cell.tasks.contains_key(&id).then_some(id)
    })
}

fn why(tables: &Tables, name: &str) -> Reply {
    let Some(id) = find(tables, name) else {
        return rejected(tables, name);
    };
    tables.cell(|c| {
        let Some(task) = c.cell.tasks.get(&id) else { return text(404, "no such task\n") };
        let job = &c.cell.jobs[&id.job];
        let worker = task.state.worker().map(|number| c.cell.workers[number as usize].name.clone());
        json(&value!({
            "task": format!("{}/{id}", tables.centre()),
            "job": job.name,
            "state": task.state.to_string(),
            "worker": worker,
            "attempt": task.attempt,
            "failures": task.failures,
            "evictions": task.evictions,
            "checkpoint": task.checkpoint,
            "reason": explain(&c.cell, id),
        }))
    })
}

fn rejected(tables: &Tables, name: &str) -> Reply {
    let job = name.rsplit_once('.').map_or(name, |n| n.0);
    tables.cell(|c| match c.cell.job_named(job) {
        Some((_, known)) => json(&value!({
            "task": name,
            "job": job,
            "state": known.state.to_string(),
            "reason": known.state.to_string(),
        })),
        None => text(404, format!("no job '{job}' here\n")),
    })
}

/// Explains why a task is in its state.
fn explain(cell: &myrtle_cell::Cell, id: TaskId) -> String {
    let (task, job) = (&cell.tasks[&id], &cell.jobs[&id.job]);
    if task.state != State::Pending {
        return task.state.to_string();
    }
    if cell.now < task.not_before {
        return format!(
            "waits {} after failure {}",
            task.not_before.since(cell.now),
            task.failures
        );
    }
    let up = cell.workers.iter().filter(|w| w.accepts(cell.now));
    let fits = up.clone().filter(|w| job.room.fits(&w.free())).count();
    match (up.count(), fits) {
        (0, _) => "no worker takes tasks".into(),
        (n, 0) => format!("none of {n} workers has {} free", job.room),
        (_, n) => format!("{n} workers have room; a service beside them would miss its target"),
    }
}

/// Cancels jobs and answers once all their tasks are over, or after 10 s.
async fn cancel(tables: &Tables, request: &HttpRequest) -> Reply {
    let Ok(names) = serde_json::from_slice::<Vec<String>>(&request.body) else {
        return text(400, "send a JSON list of jobs\n");
    };
    let jobs: Vec<u32> = tables.cell(|c| {
        let named = names.iter().filter_map(|n| c.cell.job_named(n).map(|j| j.0));
        named.collect()
    });
    if jobs.is_empty() {
        return json(&value!({"cancelled": 0, "unknown": names.len()}));
    }
    let count = jobs.len();
    if tables.propose(vec![Op::Cancel { jobs: jobs.clone() }]).await == Proposal::Away {
        return text(503, "the log is away; whether it was cancelled is unknown, ask again\n");
    }
    tables.events.add("task", format!("{count} jobs cancelled"));
    let open = |c: &mut crate::tables::CellTable| {
        let open = jobs.iter().filter_map(|number| c.cell.jobs.get(number)).map(|j| j.open);
        open.sum::<u32>()
    };
    let mut changed = tables.changed.subscribe();
    let limit = tokio::time::Instant::now() + std::time::Duration::from_secs(10);
    while tables.cell(open) > 0 {
        if tokio::time::timeout_at(limit, changed.changed()).await.is_err() {
            break;
        }
    }
    let stopping = tables.cell(open);
    json(&value!({"cancelled": count, "unknown": names.len() - count, "stopping": stopping}))
}

async fn drain(tables: &Tables, request: &HttpRequest) -> Reply {
    let name = request.param("worker").unwrap_or_default();
    let Some(worker) = tables.cell(|c| c.cell.worker_named(name)) else {
        return text(404, format!("no worker '{name}' here\n"));
    };
    let on = request.param("on") != Some("false");
    verdict(tables, Op::Drain { worker, on }, format!("worker {name} leaving: {on}")).await
}

async fn evict(tables: &Tables, request: &HttpRequest) -> Reply {
    let name = request.param("task").unwrap_or_default();
    let op = find(tables, name)
        .and_then(|id| tables.cell(|c| crate::reports::evict(&c.cell, id, StopReason::Operator)));
    let Some(op) = op else { return text(404, format!("'{name}' does not run here\n")) };
    verdict(tables, op, format!("task {name} evicted by an operator")).await
}

async fn release(tables: &Tables, request: &HttpRequest) -> Reply {
    let name = request.param("task").unwrap_or_default();
    let Some(task) = find(tables, name) else { return text(404, format!("no task '{name}'\n")) };
    verdict(tables, Op::Release { task }, format!("task {name} released by an operator")).await
}

async fn verdict(tables: &Tables, op: Op, event: String) -> Reply {
    match tables.propose(vec![op]).await {
        Proposal::Folded(verdicts) => match verdicts.first() {
            Some(Ok(())) => {
                tables.events.add("task", event);
                json(&value!({"accepted": true}))
            }
            Some(Err(deny)) => text(409, format!("turned down: {deny}\n")),
            None => text(500, "no verdict\n"),
        },
        Proposal::Away => text(503, "the log is away; whether it took effect is unknown\n"),
    }
}
