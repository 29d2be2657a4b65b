//! Looks after workers: starts, stops, renews, reports, and suspects those that fall silent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use myrtle_base::Millis;
use myrtle_cell::{Health, Op, State, Subject};
use myrtle_peer::{Proposal, WorkerLoad};
use myrtle_place::Relief;
use myrtle_platform::{
    Host, Report, Role, RunState, Stop, SyncReply, SyncRequest, Throttle, UsageReport, WorkerClient,
};

use crate::balance::weigh;
use crate::reports::{Next, SILENT, judge, orders};
use crate::tables::Tables;

/// The time between two looks at what there is to tell workers.
const SYNC: Duration = Duration::from_millis(250);

/// The time between two exchanges with a worker that has nothing to be told.
const QUIET: Millis = Millis(1_000);

/// What this host knows of one worker.
#[derive(Debug)]
pub struct WorkerLink {
    /// Its control interface.
    pub client: WorkerClient,
    /// Its life as it told it.
    pub boot: u64,
    /// Its clock as it told it, and our clock when it did.
    pub clock: Option<(Millis, Millis)>,
    /// When it was heard last, or when this host began to listen.
    pub heard: Millis,
    /// When the last exchange began.
    begun: Millis,
    /// The number of the newest report taken in.
    pub seen: u64,
    /// Reports that are not settled.
    pub reports: BTreeMap<String, Report>,
    /// Ends that the worker may forget.
    pub noted: Vec<Stop>,
    /// Attempts that must not run there.
    pub strays: Vec<Stop>,
    /// Its number in the cell.
    pub number: Option<u32>,
    /// Its newest measurement.
    pub usage: Option<UsageReport>,
    /// Its service's measured tail against the target.
    pub tail: Option<f64>,
    /// Commands that follow from its measurements.
    wishes: Vec<Op>,
    /// Tasks to slow down or to let run freely.
    throttle: Vec<Throttle>,
    /// What gave way so far.
    relief: Relief,
    /// Whether an exchange is under way.
    syncing: bool,
    /// Whether commands are on their way to the log.
    telling: bool,
}

impl WorkerLink {
    fn new(client: WorkerClient, now: Millis) -> Self {
        Self {
            client,
            boot: 0,
            clock: None,
            heard: now,
            begun: Millis(0),
            seen: 0,
            reports: BTreeMap::new(),
            noted: Vec::new(),
            strays: Vec::new(),
            number: None,
            usage: None,
            tail: None,
            wishes: Vec::new(),
            throttle: Vec::new(),
            relief: Relief::default(),
            syncing: false,
            telling: false,
        }
    }

    /// How busy it is, for peers.
    pub fn load(&self, worker: u32, room: &myrtle_base::Room) -> Option<WorkerLoad> {
        let usage = self.usage.as_ref()?;
        let used = usage.tasks.iter().fold(myrtle_base::Room::default(), |sum, t| sum + t.room);
        let percent = (used.share(room) * 100.0).min(255.0) as u8;
        let slow = (self.tail.unwrap_or_default() * 100.0).min(60_000.0) as u16;
        Some(WorkerLoad { worker, percent, slow })
    }
}

/// Exchanges with this host's workers until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        for host in assigned(&tables) {
            if begin(&tables, &host) {
                let tables = tables.clone();
                tokio::spawn(async move { exchange(&tables, &host).await });
            }
        }
        tokio::time::sleep(SYNC).await;
    }
}

/// The workers that this host looks after.
fn assigned(tables: &Tables) -> Vec<Host> {
    let live = tables.live();
    let centre = tables.centre();
    let workers: Vec<Host> = tables.peers(|p| {
        let own = |h: &&Host| h.role == Role::Worker && h.data_centre == centre;
        p.hosts.iter().filter(own).cloned().collect()
    });
    let mine = |h: &Host| {
        let winner = myrtle_base::winner(live.iter().map(String::as_str), &h.name);
        winner == Some(tables.name())
    };
    let (own, others): (Vec<Host>, Vec<Host>) = workers.into_iter().partition(mine);
    tables.links(|links| {
        // Another host looks after it now; what this one knew gets old.
        others.iter().for_each(|h| drop(links.remove(&h.name)));
    });
    own
}

/// Notes that an exchange begins; false if one is under way, or if there is nothing to say yet.
fn begin(tables: &Tables, host: &Host) -> bool {
    let now = tables.now();
    let orders = tables.cell(|c| {
        let no = c.cell.worker_named(&host.name);
        no.is_some_and(|no| {
            let mut tasks = c.cell.tasks_on(no);
            tasks.any(|(_, t, _)| matches!(t.state, State::Claimed(_) | State::Stopping(..)))
        })
    });
    tables.links(|links| {
        let fresh = || WorkerLink::new(WorkerClient::new(tables.caller.clone(), host.http), now);
        let link = links.entry(host.name.clone()).or_insert_with(fresh);
        let pressing = orders || link.clock.is_none() || !link.throttle.is_empty();
        let due = pressing || !link.noted.is_empty() || now.since(link.begun) >= QUIET;
        if link.syncing || !due {
            return false;
        }
        link.begun = now;
        link.syncing = true;
        true
    })
}

async fn exchange(tables: &Arc<Tables>, host: &Host) {
    let worker = tables.cell(|c| c.cell.worker_named(&host.name));
    let request = request(tables, &host.name, worker).await;
    let client = tables.links(|l| l.get(&host.name).map(|l| l.client.clone()));
    if let (Some(request), Some(client)) = (request, client) {
        match client.sync(&request).await {
            Ok(reply) => {
                let usage = reply.usage.clone();
                take_reply(tables, host, &request, reply);
                if let (Some(no), Some(usage)) = (worker, usage) {
                    take_usage(tables, host, no, &usage);
                }
            }
            Err(e) => warn!("worker: no exchange with {}: {e}", host.name),
        }
    }
    tables.links(|links| {
        if let Some(link) = links.get_mut(&host.name) {
            link.syncing = false;
        }
    });
    tell(tables, host, worker);
}

/// What to tell a worker now.
async fn request(tables: &Tables, name: &str, worker: Option<u32>) -> Option<SyncRequest> {
    let clock = tables.links(|l| l.get(name).and_then(|l| l.clock));
    let lease = match (worker, clock) {
        (Some(no), Some((stamp, arrived))) => {
            tables.grant(&Subject::Worker(no), stamp, arrived).await
        }
        _ => None,
    };
    let (mut start, mut stop) =
        worker.map(|no| tables.cell(|c| orders(&c.cell, tables.centre(), no))).unwrap_or_default();
    if lease.is_none() {
        start.clear();
    }
    tables.links(|links| {
        let link = links.get_mut(name)?;
        stop.append(&mut link.strays);
        Some(SyncRequest {
            boot: link.boot,
            lease: lease.map(|l| l.until),
            start,
            stop,
            throttle: std::mem::take(&mut link.throttle),
            noted: link.noted.clone(),
            seen: link.seen,
        })
    })
}

fn take_reply(tables: &Tables, host: &Host, request: &SyncRequest, reply: SyncReply) {
    let now = tables.now();
    tables.links(|links| {
        let Some(link) = links.get_mut(&host.name) else { return };
        if link.boot != reply.boot {
            link.reports.clear();
            link.noted.clear();
        }
        link.boot = reply.boot;
        link.clock = Some((reply.clock, now));
        link.heard = now;
        link.seen = reply.seen;
        link.noted.retain(|n| !request.noted.contains(n));
        link.usage = reply.usage.clone().or(link.usage.take());
        for report in reply.reports {
            link.reports.insert(report.task.clone(), report);
        }
    });
}

/// Weighs a measurement and keeps what follows from it.
fn take_usage(tables: &Tables, host: &Host, no: u32, usage: &UsageReport) {
    let target = tables.config(|c| {
        let service = c.platform().and_then(|p| p.services.get(&host.service));
        service.map(|s| s.target.0.0 as f64 * 1000.0)
    });
    let tail = target.filter(|_| usage.p99_us > 0).map(|t| usage.p99_us as f64 / t.max(1.0));
    tables.cell(|c| {
        tables.links(|links| {
            let Some(link) = links.get_mut(&host.name) else { return };
            link.number = Some(no);
            link.tail = tail.or(link.tail);
            let measures = tables.policy(|policy| {
                weigh(&c.cell, tables.centre(), no, usage, tail, policy, &mut link.relief)
            });
            link.wishes = measures.ops;
            link.throttle.extend(measures.throttle);
        });
    });
}

/// Tells the fold what it must hear of a worker, unless that is under way.
fn tell(tables: &Arc<Tables>, host: &Host, worker: Option<u32>) {
    let ops = due(tables, host, worker);
    if ops.is_empty() {
        return;
    }
    let free = tables.links(|links| {
        let link = links.get_mut(&host.name);
        link.is_some_and(|l| !std::mem::replace(&mut l.telling, true))
    });
    if !free {
        return;
    }
    let (tables, name) = (tables.clone(), host.name.clone());
    tokio::spawn(async move {
        let words: Vec<String> = ops.iter().filter_map(word).collect();
        let proposal = tables.propose(ops).await;
        if let Proposal::Folded(verdicts) = &proposal {
            let accepted = words.into_iter().zip(verdicts).filter(|(_, v)| v.is_ok());
            for (word, _) in accepted {
                info!("task: {word} on {name}");
                tables.ring.add("task", format!("{word} on {name}"));
            }
        }
        tables.links(|links| {
            if let Some(link) = links.get_mut(&name) {
                link.telling = false;
            }
        });
    });
}

/// The commands that follow from what this host knows of a worker.
fn due(tables: &Tables, host: &Host, worker: Option<u32>) -> Vec<Op> {
    let now = tables.now();
    let lit = tables.lit();
    tables.cell(|c| {
        tables.links(|links| {
            let Some(link) = links.get_mut(&host.name) else { return Vec::new() };
            let silent = now.since(link.heard) > SILENT;
            let heard = link.clock.is_some() && !silent;
            let known = worker.map(|no| &c.cell.workers[no as usize]);
            let enter = Op::Worker {
                name: host.name.clone(),
                rack: host.rack.clone(),
                room: host.room,
                boot: link.boot,
            };
            let (Some(no), Some(known)) = (worker, known) else {
                return if link.boot > 0 { vec![enter] } else { Vec::new() };
            };
            let subject = Subject::Worker(no);
            match known.health {
                Health::Up if silent && lit => return vec![Op::Suspect { subject }],
                Health::Up => {}
                // A host that has only begun to listen has not heard it.
                Health::Suspect { .. } if heard => return vec![Op::Clear { subject }],
                Health::Suspect { .. } => return Vec::new(),
                Health::Lapsed if heard => return vec![enter],
                Health::Lapsed => return Vec::new(),
            }
            if link.boot > known.boot || (link.boot > 0 && known.room != host.room) {
                return vec![enter];
            }
            let mut ops = settle(&c.cell, tables.centre(), no, link);
            ops.append(&mut link.wishes);
            ops
        })
    })
}

/// Goes through the reports that are not settled.
fn settle(cell: &myrtle_cell::Cell, centre: &str, worker: u32, link: &mut WorkerLink) -> Vec<Op> {
    let mut ops = Vec::new();
    let mut settled = Vec::new();
    for (task, report) in &link.reports {
        match judge(cell, centre, worker, report) {
            Next::Nothing => {}
            Next::Tell(op) => ops.push(op),
            Next::Noted(noted) => {
                link.noted.push(noted);
                settled.push(task.clone());
            }
            Next::Stop(stop) => link.strays.push(stop),
        }
        if report.state == RunState::Running && ops.len() > 256 {
            break;
        }
    }
    settled.iter().for_each(|task| drop(link.reports.remove(task)));
    ops
}

/// The words of a command in the time line.
fn word(op: &Op) -> Option<String> {
    match op {
        Op::Started { task, attempt } => Some(format!("task {task} attempt {attempt} started")),
        Op::End { task, attempt, end } => {
            Some(format!("task {task} attempt {attempt} ended: {end:?}"))
        }
        Op::Stop { task, why, .. } => Some(format!("task {task} is to stop: {why}")),
        Op::Suspect { subject } => Some(format!("{subject} suspected")),
        Op::Clear { subject } => Some(format!("{subject} reached again")),
        Op::Worker { name, boot, .. } => Some(format!("worker {name} entered, life {boot}")),
        _ => None,
    }
}
