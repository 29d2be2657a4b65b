//! Duties of the cell's writer: jobs, coordinators of resources, claims and lapses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;

use myrtle_base::{GUARD, LEASE, Millis, winner};
use myrtle_cell::{Cell, Health, JobState, LeaseHolder, Op, Resource, Spec};
use myrtle_config::{Config, Desired, Job};
use myrtle_peer::{GateContact, Proposal};
use myrtle_platform::{Host, Role};
use myrtle_route::KeyTable;

use crate::claims::{claims, fleet};
use crate::tables::Tables;

/// Time between two passes over the duties.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time without a call from a gate after which it is suspected.
const GATE_SUSPECT_AFTER: Millis = Millis(3_000);

/// Time after the start during which gates are not suspected, as they may not have called yet.
const STARTUP_GRACE: Millis = Millis(5_000);

/// Performs the duties while this host is the cell's writer, until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if !tables.online() || !tables.elected("writer") {
            continue;
        }
        let mut ops = reconcile(&tables);
        ops.extend(lapse_ops(&tables).await);
        ops.extend(tables.cell(|c| {
            if c.cell.pending.is_empty() {
                return Vec::new();
            }
            let tails = tails(&tables);
            tables.policy(|p| {
                let mut fleet = fleet(&c.cell, &mut p.kinds, &tails);
                claims(&c.cell, &mut fleet, &mut p.kinds, &mut p.placer)
            })
        }));
        propose(&tables, ops).await;
    }
}

/// Returns tail latency over target by worker, from this host's and its peers' measurements.
fn tails(tables: &Tables) -> BTreeMap<u32, f64> {
    let mut tails = BTreeMap::new();
    tables.peers(|p| {
        let reported = p.scheds.values().filter_map(|s| s.pulse.as_ref());
        let loads = reported.flat_map(|(pulse, _)| &pulse.loads).filter(|l| l.slowdown > 0);
        tails.extend(loads.map(|l| (l.worker, f64::from(l.slowdown) / 100.0)));
    });
    tables.links(|links| {
        let own = links.values().filter_map(|l| Some((l.number?, l.tail?)));
        tails.extend(own);
    });
    tails
}

async fn propose(tables: &Tables, ops: Vec<Op>) {
    if ops.is_empty() {
        return;
    }
    let Proposal::Folded(verdicts) = tables.commit(ops.clone()).await else { return };
    for (op, verdict) in ops.iter().zip(&verdicts) {
        if verdict.is_err() {
            continue;
        }
        if let Some(text) = describe(op) {
            info!("cell: {text}");
            tables.events.add("cell", text);
        }
    }
}

/// Returns commands that bring jobs, coordinators and gates in the fold up to date.
fn reconcile(tables: &Tables) -> Vec<Op> {
    // Calls to peers arrive with their pulses, so they may be older by that time.
    let pulse_age = tables.pulse_period();
    let seen = tables.gates_seen(GATE_SUSPECT_AFTER + pulse_age + pulse_age);
    let started = tables.now() > STARTUP_GRACE;
    let centre = tables.centre();
    tables.config(|config| {
        tables.cell(|c| {
            let mut ops = job_ops(config, &c.cell, centre);
            let hosts = tables.peers(|p| p.hosts.clone());
            ops.extend(gate_ops(config, &c.cell, &hosts, centre));
            if started {
                ops.extend(suspect_gates(&c.cell, &seen));
            }
            ops
        })
    })
}

/// Returns commands that bring the cell's jobs in line with the configuration.
pub fn job_ops(config: &Config, cell: &Cell, centre: &str) -> Vec<Op> {
    let Some(platform) = config.platform() else { return Vec::new() };
    let mut ops = Vec::new();
    if let (true, Some(place)) = (cell.voters.is_empty(), platform.data_centres.get(centre)) {
        ops.push(Op::Genesis { hosts: place.hosts.clone() });
    }
    let mut wanted = BTreeMap::new();
    for scoped in config.scopes.values() {
        let here = scoped.desired.jobs.iter().filter(|j| j.1.data_centre == centre);
        wanted.extend(here.map(|(name, job)| (name.as_str(), (scoped.version, job))));
    }
    for (name, (version, job)) in &wanted {
        let Some(spec) = spec(platform, job) else { continue };
        let known = cell.job_named(name);
        let same = known.is_some_and(|(_, j)| j.spec == spec && j.state != JobState::Removed);
        if !same {
            ops.push(Op::Job { name: name.to_string(), version: *version, spec });
        }
    }
    let open = cell.jobs.values().filter(|j| j.state == JobState::Open);
    for job in open.filter(|j| !wanted.contains_key(j.name.as_str())) {
        ops.push(Op::Remove { name: job.name.clone(), version: config.version });
    }
    ops
}

/// Converts a configured job; `None` if its class does not exist.
fn spec(platform: &Desired, job: &Job) -> Option<Spec> {
    let class = platform.classes.get(&job.class)?;
    Some(Spec {
        customer: job.customer.clone(),
        class: job.class.clone(),
        price: class.price.try_into().unwrap_or(u32::MAX),
        kind: job.kind.clone(),
        tasks: job.tasks,
        room: job.room(),
        run_time: job.run_time.map(|t| t.0),
        on_unreachable: job.on_unreachable,
        failures: job.failures,
    })
}

/// Returns commands that give a coordinator to every resource that has none.
pub fn gate_ops(config: &Config, cell: &Cell, hosts: &[Host], centre: &str) -> Vec<Op> {
    let up: Vec<&str> =
        cell.gates.iter().filter(|g| g.1.health == Health::Up).map(|g| g.0.as_str()).collect();
    if up.is_empty() {
        return Vec::new();
    }
    let upstreams = hosts
        .iter()
        .filter(|h| h.role == Role::Worker && h.data_centre == centre && !h.service.is_empty())
        .map(|h| Resource::Upstream(h.name.clone()));
    let customers = config.platform().into_iter().flat_map(|p| p.customers.keys().cloned());
    let resources = upstreams
        .chain(customers.map(Resource::Customer))
        .chain(KeyTable::buckets().map(Resource::Keys))
        .filter(|resource| !cell.resources.contains_key(resource));
    let assign = resources.filter_map(|resource| {
        let gate = winner(up.iter().copied(), &resource.to_string())?.to_string();
        Some(Op::Assign { resource, gate })
    });
    assign.collect()
}

/// Returns suspicions of gates that called no host, or only with another incarnation.
fn suspect_gates(cell: &Cell, seen: &[GateContact]) -> Vec<Op> {
    let silent = cell.gates.iter().filter(|(name, gate)| {
        let heard = seen.iter().any(|s| s.name == **name && s.incarnation == gate.incarnation);
        gate.health == Health::Up && !heard
    });
    silent.map(|(name, _)| Op::Suspect { holder: LeaseHolder::Gate(name.clone()) }).collect()
}

/// Returns lapses of suspects whose leases have expired and whom a majority promises not to renew.
async fn lapse_ops(tables: &Tables) -> Vec<Op> {
    let now = tables.log_now().unwrap_or_default();
    let due: Vec<(LeaseHolder, u64)> = tables.cell(|c| {
        let over = |holder: &LeaseHolder| {
            let health = c.cell.health(holder);
            matches!(health, Some(Health::Suspect { since, .. })
                if now.since(since) >= LEASE + GUARD)
        };
        c.cell.suspects().filter(|(holder, _)| over(holder)).collect()
    });
    let mut ops = Vec::new();
    for (holder, suspected) in due {
        let consents = tables.consents(&holder, suspected).await;
        if tables.cell(|c| c.cell.majority(&consents)) {
            ops.push(Op::Lapse { holder, suspected, consents });
        }
    }
    ops
}

/// Describes a command for the time line; `None` for commands left out of it.
fn describe(op: &Op) -> Option<String> {
    match op {
        Op::Genesis { hosts } => Some(format!("voters set: {}", hosts.join(", "))),
        Op::Job { name, .. } => Some(format!("job {name} entered")),
        Op::Remove { name, .. } => Some(format!("job {name} removed")),
        Op::Claim { task, attempt, worker } => {
            Some(format!("task {task} attempt {attempt} claimed for worker {worker}"))
        }
        Op::Stop { task, reason, .. } => Some(format!("task {task} is to stop: {reason}")),
        Op::Suspect { holder } => Some(format!("{holder} suspected")),
        Op::Lapse { holder, consents, .. } => {
            Some(format!("{holder} given up with the consent of {}", consents.join(", ")))
        }
        _ => None,
    }
}
