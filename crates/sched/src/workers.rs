//! Manages workers: starts and stops attempts, renews leases, logs reports, suspects silent ones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use myrtle_base::Millis;
use myrtle_cell::{Health, LeaseHolder, Op, State};
use myrtle_peer::{Proposal, WorkerLoad};
use myrtle_place::Relief;
use myrtle_platform::{
    Host, Report, Role, RunState, Stop, SyncReply, SyncRequest, Throttle, UsageReport, WorkerClient,
};

use crate::balance::adjust;
use crate::reports::{ReportAction, SUSPECT_AFTER, evaluate, orders};
use crate::tables::Tables;

/// Time between two checks which workers are due for an exchange.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two exchanges with a worker that has no orders waiting.
const IDLE_INTERVAL: Millis = Millis(1_000);

/// State of one worker as this host last received it.
#[derive(Debug)]
pub struct WorkerLink {
    /// Client of its control interface.
    pub client: WorkerClient,
    /// Its incarnation as last reported, 0 before the first reply.
    pub incarnation: u64,
    /// Its clock as last reported, and this host's clock when the reply arrived.
    pub clock: Option<(Millis, Millis)>,
    /// When it last replied, or when this host began to manage it.
    pub heard_at: Millis,
    /// When the last exchange began.
    synced_at: Millis,
    /// Number of the newest report received.
    pub last_report: u64,
    /// Reports that the fold does not reflect yet, by task.
    pub reports: BTreeMap<String, Report>,
    /// Ends that the worker may discard.
    pub acknowledged: Vec<Stop>,
    /// Attempts that must not run on this worker.
    pub unwanted: Vec<Stop>,
    /// Its number in the cell.
    pub number: Option<u32>,
    /// Its newest measurement.
    pub usage: Option<UsageReport>,
    /// Tail latency of its service relative to the target.
    pub tail: Option<f64>,
    /// Commands due to its measurements, not proposed yet.
    pending_ops: Vec<Op>,
    /// Tasks to throttle or to run at full speed again.
    throttle: Vec<Throttle>,
    /// Tasks throttled so far to relieve its service.
    relief: Relief,
    /// Whether an exchange is under way.
    syncing: bool,
    /// Whether a proposal is under way.
    proposing: bool,
}

impl WorkerLink {
    fn new(client: WorkerClient, now: Millis) -> Self {
        Self {
            client,
            incarnation: 0,
            clock: None,
            heard_at: now,
            synced_at: Millis(0),
            last_report: 0,
            reports: BTreeMap::new(),
            acknowledged: Vec::new(),
            unwanted: Vec::new(),
            number: None,
            usage: None,
            tail: None,
            pending_ops: Vec::new(),
            throttle: Vec::new(),
            relief: Relief::default(),
            syncing: false,
            proposing: false,
        }
    }

    /// Returns its load for peers; `None` before the first measurement.
    pub fn load(&self, worker: u32, room: &myrtle_base::Room) -> Option<WorkerLoad> {
        let usage = self.usage.as_ref()?;
        let used = usage.tasks.iter().fold(myrtle_base::Room::default(), |sum, t| sum + t.room);
        let percent = (used.share(room) * 100.0).min(255.0) as u8;
        let slow = (self.tail.unwrap_or_default() * 100.0).min(60_000.0) as u16;
        Some(WorkerLoad { worker, percent, slowdown: slow })
    }
}

/// Exchanges orders and reports with this host's workers until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        for host in assigned(&tables) {
            if begin_sync(&tables, &host) {
                let tables = tables.clone();
                tokio::spawn(async move { sync_worker(&tables, &host).await });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the workers that this host manages and drops the state of all others.
fn assigned(tables: &Tables) -> Vec<Host> {
    let live = tables.live();
    let centre = tables.centre();
    let workers: Vec<Host> = tables.peers(|p| {
        let own = |h: &&Host| h.role == Role::Worker && h.data_centre == centre;
        p.hosts.iter().filter(own).cloned().collect()
    });
    let elected = |h: &Host| {
        let winner = myrtle_base::winner(live.iter().map(String::as_str), &h.name);
        winner == Some(tables.name())
    };
    let (own, others): (Vec<Host>, Vec<Host>) = workers.into_iter().partition(elected);
    tables.links(|links| {
        // Another host manages these workers now, so state held here would go stale.
        others.iter().for_each(|h| drop(links.remove(&h.name)));
    });
    own
}

/// Marks the start of an exchange; false if one is under way or none is due.
fn begin_sync(tables: &Tables, host: &Host) -> bool {
    let now = tables.now();
    let orders = tables.cell(|c| {
        let number = c.cell.worker_named(&host.name);
        number.is_some_and(|number| {
            let mut tasks = c.cell.worker_tasks(number);
            tasks.any(|(_, t, _)| matches!(t.state, State::Claimed(_) | State::Stopping(..)))
        })
    });
    tables.links(|links| {
        let new_link = || WorkerLink::new(WorkerClient::new(tables.caller.clone(), host.http), now);
        let link = links.entry(host.name.clone()).or_insert_with(new_link);
        let pressing = orders || link.clock.is_none() || !link.throttle.is_empty();
        let due =
            pressing || !link.acknowledged.is_empty() || now.since(link.synced_at) >= IDLE_INTERVAL;
        if link.syncing || !due {
            return false;
        }
        link.synced_at = now;
        link.syncing = true;
        true
    })
}

async fn sync_worker(tables: &Arc<Tables>, host: &Host) {
    let worker = tables.cell(|c| c.cell.worker_named(&host.name));
    let request = request(tables, &host.name, worker).await;
    let client = tables.links(|l| l.get(&host.name).map(|l| l.client.clone()));
    if let (Some(request), Some(client)) = (request, client) {
        match client.sync(&request).await {
            Ok(reply) => {
                let usage = reply.usage.clone();
                apply_reply(tables, host, &request, reply);
                if let (Some(number), Some(usage)) = (worker, usage) {
                    apply_usage(tables, host, number, &usage);
                }
            }
            Err(e) => warn!("worker: exchange with {} failed: {e}", host.name),
        }
    }
    tables.links(|links| {
        if let Some(link) = links.get_mut(&host.name) {
            link.syncing = false;
        }
    });
    propose_due(tables, host, worker);
}

/// Builds the request to a worker; starts are left out without a lease.
async fn request(tables: &Tables, name: &str, worker: Option<u32>) -> Option<SyncRequest> {
    let clock = tables.links(|l| l.get(name).and_then(|l| l.clock));
    let lease = match (worker, clock) {
        (Some(number), Some((stamp, arrived))) => {
            tables.grant(&LeaseHolder::Worker(number), stamp, arrived).await
        }
        _ => None,
    };
    let (mut start, mut stop) = worker
        .map(|number| tables.cell(|c| orders(&c.cell, tables.centre(), number)))
        .unwrap_or_default();
    if lease.is_none() {
        start.clear();
    }
    tables.links(|links| {
        let link = links.get_mut(name)?;
        stop.append(&mut link.unwanted);
        Some(SyncRequest {
            boot: link.incarnation,
            lease: lease.map(|l| l.until),
            start,
            stop,
            throttle: std::mem::take(&mut link.throttle),
            noted: link.acknowledged.clone(),
            seen: link.last_report,
        })
    })
}

fn apply_reply(tables: &Tables, host: &Host, request: &SyncRequest, reply: SyncReply) {
    let now = tables.now();
    tables.links(|links| {
        let Some(link) = links.get_mut(&host.name) else { return };
        if link.incarnation != reply.boot {
            link.reports.clear();
            link.acknowledged.clear();
        }
        link.incarnation = reply.boot;
        link.clock = Some((reply.clock, now));
        link.heard_at = now;
        link.last_report = reply.seen;
        link.acknowledged.retain(|n| !request.noted.contains(n));
        link.usage = reply.usage.clone().or(link.usage.take());
        for report in reply.reports {
            link.reports.insert(report.task.clone(), report);
        }
    });
}

/// Evaluates a measurement and stores the commands and throttles that it requires.
fn apply_usage(tables: &Tables, host: &Host, number: u32, usage: &UsageReport) {
    let target = tables.config(|c| {
        let service = c.platform().and_then(|p| p.services.get(&host.service));
        service.map(|s| s.target.0.0 as f64 * 1000.0)
    });
    let tail = target.filter(|_| usage.p99_us > 0).map(|t| usage.p99_us as f64 / t.max(1.0));
    tables.cell(|c| {
        tables.links(|links| {
            let Some(link) = links.get_mut(&host.name) else { return };
            link.number = Some(number);
            link.tail = tail.or(link.tail);
            let result = tables.policy(|policy| {
                adjust(&c.cell, tables.centre(), number, usage, tail, policy, &mut link.relief)
            });
            link.pending_ops = result.ops;
            link.throttle.extend(result.throttle);
        });
    });
}

/// Proposes the commands due for a worker, unless a proposal is under way.
fn propose_due(tables: &Arc<Tables>, host: &Host, worker: Option<u32>) {
    let ops = due_ops(tables, host, worker);
    if ops.is_empty() {
        return;
    }
    let free = tables.links(|links| {
        let link = links.get_mut(&host.name);
        link.is_some_and(|l| !std::mem::replace(&mut l.proposing, true))
    });
    if !free {
        return;
    }
    let (tables, name) = (tables.clone(), host.name.clone());
    tokio::spawn(async move {
        let texts: Vec<String> = ops.iter().filter_map(describe).collect();
        let proposal = tables.propose(ops).await;
        if let Proposal::Folded(verdicts) = &proposal {
            let accepted = texts.into_iter().zip(verdicts).filter(|(_, v)| v.is_ok());
            for (text, _) in accepted {
                info!("task: {text} on {name}");
                tables.events.add("task", format!("{text} on {name}"));
            }
        }
        tables.links(|links| {
            if let Some(link) = links.get_mut(&name) {
                link.proposing = false;
            }
        });
    });
}

/// Returns the commands due for a worker.
fn due_ops(tables: &Tables, host: &Host, worker: Option<u32>) -> Vec<Op> {
    let now = tables.now();
    let online = tables.online();
    tables.cell(|c| {
        tables.links(|links| {
            let Some(link) = links.get_mut(&host.name) else { return Vec::new() };
            let silent = now.since(link.heard_at) > SUSPECT_AFTER;
            let reachable = link.clock.is_some() && !silent;
            let known = worker.map(|number| &c.cell.workers[number as usize]);
            let enter = Op::Worker {
                name: host.name.clone(),
                rack: host.rack.clone(),
                room: host.room,
                incarnation: link.incarnation,
            };
            let (Some(number), Some(known)) = (worker, known) else {
                return if link.incarnation > 0 { vec![enter] } else { Vec::new() };
            };
            let holder = LeaseHolder::Worker(number);
            match known.health {
                Health::Up if silent && online => return vec![Op::Suspect { holder }],
                Health::Up => {}
                // `heard_at` counts from this host's start, so a reply is required as well.
                Health::Suspect { .. } if reachable => return vec![Op::Clear { holder }],
                Health::Suspect { .. } => return Vec::new(),
                Health::Lapsed if reachable => return vec![enter],
                Health::Lapsed => return Vec::new(),
            }
            if link.incarnation > known.incarnation
                || (link.incarnation > 0 && known.room != host.room)
            {
                return vec![enter];
            }
            let mut ops = apply_reports(&c.cell, tables.centre(), number, link);
            ops.append(&mut link.pending_ops);
            ops
        })
    })
}

/// Evaluates the pending reports: returns commands, and stores acknowledgements and stops.
fn apply_reports(
    cell: &myrtle_cell::Cell,
    centre: &str,
    worker: u32,
    link: &mut WorkerLink,
) -> Vec<Op> {
    let mut ops = Vec::new();
    let mut done = Vec::new();
    for (task, report) in &link.reports {
        match evaluate(cell, centre, worker, report) {
            ReportAction::Nothing => {}
            ReportAction::Propose(op) => ops.push(op),
            ReportAction::Acknowledge(noted) => {
                link.acknowledged.push(noted);
                done.push(task.clone());
            }
            ReportAction::Stop(stop) => link.unwanted.push(stop),
        }
        if report.state == RunState::Running && ops.len() > 256 {
            break;
        }
    }
    done.iter().for_each(|task| drop(link.reports.remove(task)));
    ops
}

/// Describes a command for the time line; `None` for commands left out of it.
fn describe(op: &Op) -> Option<String> {
    match op {
        Op::Started { task, attempt } => Some(format!("task {task} attempt {attempt} started")),
        Op::End { task, attempt, end } => {
            Some(format!("task {task} attempt {attempt} ended: {end:?}"))
        }
        Op::Stop { task, reason, .. } => Some(format!("task {task} is to stop: {reason}")),
        Op::Suspect { holder } => Some(format!("{holder} suspected")),
        Op::Clear { holder } => Some(format!("{holder} reached again")),
        Op::Worker { name, incarnation, .. } => {
            Some(format!("worker {name} entered, life {incarnation}"))
        }
        _ => None,
    }
}
