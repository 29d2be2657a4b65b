//! Marginal costs for docs/CAPACITY.md: bytes and time for one more worker, task or message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use argh::FromArgs;

use myrtle_base::{Millis, Room, Stamp};
use myrtle_cell::{Batch, Cell, Coordinator, End, Op, Record, Resource, Spec, TaskId};
use myrtle_config::{Change, Config, ConfigRecord, Desired, Job, OnUnreachable};
use myrtle_peer::{CellView, GateContact, SchedHealth, UpstreamView, WorkerLoad};
use myrtle_place::{Fleet, Learned, Machine, Placer, TaskRequest};
use myrtle_platform::{Report, RunState, Start, SyncReply, SyncRequest, TaskUse, UsageReport};
use myrtle_route::{AllocationReply, AllocationRequest};

/// Workers of a cell at the target size.
const WORKERS: u32 = 100;

/// Tasks of a cell at the target size.
const TASKS: u32 = 3_500;

/// Starts in one record.
const STARTS: usize = 19;

/// measure the marginal costs in docs/CAPACITY.md
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Slopes {}

/// Measures and prints the figures; always `Ok(true)`, since it checks none.
pub fn run() -> Result<bool, String> {
    fold();
    placement();
    messages();
    config();
    Ok(true)
}

struct Stream {
    cell: Cell,
    offset: u64,
    seq: u64,
    bytes: usize,
}

impl Stream {
    fn fold(&mut self, ops: Vec<Op>) {
        self.seq += 1;
        let batch = Batch {
            writer: 7,
            seq: self.seq,
            expires: Millis(u64::MAX),
            stamp: Stamp(1 << 50),
            ops,
        };
        self.bytes += Record::Batch(batch.clone()).encode().len();
        self.cell.fold(self.offset, Millis(self.offset * 500), &batch);
        self.offset += 1;
    }
}

fn full_cell() -> Stream {
    let mut stream = Stream { cell: Cell::default(), offset: 0, seq: 0, bytes: 0 };
    let hosts = (0..18).map(|n| format!("zone-07-s{n:02}")).collect();
    stream.fold(vec![Op::Genesis { hosts }]);
    for n in 0..WORKERS {
        let (name, rack) = (format!("zone-07-w{n:04}"), format!("zone-07-r{:02}", n / 8));
        stream.fold(vec![Op::Worker {
            name,
            rack,
            room: Room::new(32.0, 125_000, 0),
            incarnation: 1,
        }]);
    }
    for n in 0..TASKS / 35 {
        let spec = spec(35);
        stream.fold(vec![Op::Job { name: format!("catalogue-{n:05}"), version: 1, spec }]);
    }
    for n in 0..TASKS {
        let task = TaskId::new(n / 35, n % 35);
        let worker = n % WORKERS;
        stream.fold(vec![Op::Claim { task, attempt: 1, worker }, Op::Started { task, attempt: 1 }]);
    }
    stream
}

fn spec(tasks: u32) -> Spec {
    Spec {
        customer: "party-123".into(),
        class: "catalogue".into(),
        price: 1,
        kind: "rebuild".into(),
        tasks,
        room: Room::new(0.5, 2_000, 0),
        run_time: Some(Millis(180_000)),
        on_unreachable: OnUnreachable::Yield,
        failures: 5,
    }
}

fn fold() {
    let mut stream = full_cell();
    let state = snapshot_size(&stream.cell);
    println!(
        "cell of {WORKERS} workers and {TASKS} tasks: {state} B as a snapshot, {} kB resident",
        resident_of(|| full_cell().cell)
    );
    // Every task that ends is started again, with three commands for a start.
    let before = stream.bytes;
    let (mut count, mut starts) = (0_u64, 0);
    let start = Instant::now();
    let mut attempt = vec![1_u16; TASKS as usize];
    for round in 0..20_000_u32 {
        let mut ops = Vec::with_capacity(STARTS * 3);
        for n in 0..STARTS as u32 {
            let at = (round * STARTS as u32 + n) % TASKS;
            let task = TaskId::new(at / 35, at % 35);
            let last = attempt[at as usize];
            attempt[at as usize] += 1;
            ops.push(Op::End { task, attempt: last, end: End::Stopped(9) });
            ops.push(Op::Claim { task, attempt: last + 1, worker: at % WORKERS });
            ops.push(Op::Started { task, attempt: last + 1 });
        }
        count += ops.len() as u64;
        starts += STARTS;
        stream.fold(ops);
    }
    let rate = count as f64 / start.elapsed().as_secs_f64();
    let bytes = (stream.bytes - before) as f64 / starts as f64;
    println!(
        "fold: {rate:.0} commands/s with encoding, {bytes:.1} B a start in records of {STARTS}"
    );
    let totals = stream.cell.totals();
    println!("tasks running afterwards: {}", totals.running);
}

fn placement() {
    let machine = |n: u32| Machine {
        room: Room::new(32.0, 125_000, 0),
        free: Room::new(14.0, 55_000, 0),
        rack: n / 8,
        kinds: (0..12).map(|k| (k, 1_500)).collect(),
        tail_ratio: 0.6,
        accepting: true,
        ..Machine::default()
    };
    let mut fleet = Fleet { machines: (0..1_400).map(machine).collect() };
    let mut placer = Learned::new(4, 32, 1);
    let start = Instant::now();
    let mut placed = 0;
    for n in 0..20_000_u32 {
        let (kind, room) = ((n % 12) as u16, Room::new(0.5, 2_000, 0));
        let request = TaskRequest { room, kind, avoid: None, urgent: true, group: 0 };
        if let Some(at) = placer.place(&fleet, &request) {
            fleet.machines[at as usize].add(&request.room, request.kind);
            placed += 1;
        }
    }
    let us = start.elapsed().as_secs_f64() * 1e6 / 20_000.0;
    println!("placement: {us:.1} us at 1400 workers, {placed} of 20000 placed");
}

fn messages() {
    let at: SocketAddr = "10.20.30.40:5000".parse().expect("valid address");
    let gate = |n: usize| format!("zone-07-g{n:02}");
    let coordinator = |n: usize| Coordinator {
        gate: gate(n % 18),
        since: Millis(1 << 40),
        term: 9,
        reassigned: true,
    };
    let mut resources = BTreeMap::new();
    resources
        .extend((0..100).map(|n| (Resource::Upstream(format!("zone-07-w{n:04}")), coordinator(n))));
    resources
        .extend((0..450).map(|n| (Resource::Customer(format!("party-{n:03}")), coordinator(n))));
    resources.extend((0..32).map(|n| (Resource::Keys(n), coordinator(n as usize))));
    let upstream = |n: usize| UpstreamView {
        name: format!("zone-07-w{n:04}"),
        service: "nomgate".into(),
        at,
        leaving: false,
    };
    let peering = CellView {
        next: 1 << 30,
        coordinators: resources,
        gates: (0..18).map(|n| (gate(n), 1 << 40)).collect(),
        peers: (0..18).map(|n| (gate(n), ("zone-07".into(), at))).collect(),
        upstreams: (0..100).map(upstream).collect(),
    };
    println!("a gate's full view: {} B", bincode_size(&peering));
    let pulse = SchedHealth {
        gates: vec![GateContact { name: gate(1), incarnation: 1 << 40, age: Millis(300) }],
        loads: (0..6).map(|worker| WorkerLoad { worker, percent: 80, slowdown: 70 }).collect(),
        ..SchedHealth::default()
    };
    println!("a pulse: {} B", bincode_size(&pulse));
    let requests: Vec<(Resource, AllocationRequest)> = (0..6)
        .map(|n| {
            (Resource::Upstream(format!("zone-07-w{n:04}")), AllocationRequest { keep: 1, want: 2 })
        })
        .collect();
    let replies: Vec<(Resource, AllocationReply)> = requests
        .iter()
        .map(|(u, _)| (u.clone(), AllocationReply { granted: 1, fair_share: 1 }))
        .collect();
    println!(
        "asks and offers of 6 resources: {} B",
        bincode_size(&requests) + bincode_size(&replies)
    );
    worker_messages();
}

fn worker_messages() {
    let idle = SyncRequest { boot: 1, lease: Some(Millis(1 << 40)), ..SyncRequest::default() };
    let reply = SyncReply { boot: 1, clock: Millis(1 << 40), seen: 99, ..SyncReply::default() };
    println!("an idle exchange with a worker: {} B", json_size(&idle) + json_size(&reply));
    let task = || "zone-07/12345.17".to_string();
    let order = Start {
        task: task(),
        attempt: 1,
        room: Room::new(0.5, 2_000, 0),
        kind: "rebuild".into(),
        run_time: Some(Millis(180_000)),
        checkpoint: 0,
        leased: true,
    };
    let report = Report { task: task(), attempt: 1, state: RunState::Running, checkpoint: 4 };
    println!("a start: {} B, a report: {} B", json_size(&order), json_size(&report));
    let used = TaskUse { task: task(), room: Room::new(0.4, 1_800, 0) };
    let usage = UsageReport { at: Millis(1 << 40), p99_us: 60_000, tasks: vec![used; 35] };
    println!("a usage report of 35 tasks: {} B", json_size(&usage));
}

fn config() {
    let job = || Job {
        customer: "party-123".into(),
        class: "catalogue".into(),
        kind: "rebuild".into(),
        data_centre: "zone-07".into(),
        tasks: 16,
        cores: 0.5,
        memory: myrtle_config::Megabytes(2_000),
        accelerators: 0,
        run_time: Some(myrtle_config::Span(Millis(180_000))),
        watcher: false,
        on_unreachable: OnUnreachable::Yield,
        failures: 5,
    };
    let mut desired = Desired { scope: "party-123".into(), ..Desired::default() };
    desired.jobs = (0..24).map(|n| (format!("catalogue-{n:05}"), job())).collect();
    let id = uuid::Uuid::now_v7();
    let change = Change { id, base: 0, by: "operator".into(), desired };
    println!("a change of 24 jobs: {} B", ConfigRecord::Change(change.clone()).encode().len());
    let mut config = Config::default();
    let start = Instant::now();
    for n in 0..2_000 {
        let id = uuid::Uuid::now_v7();
        config.fold(n, Change { id, ..change.clone() });
    }
    println!("folding a change: {:.0} us", start.elapsed().as_secs_f64() * 1e6 / 2_000.0);
}

fn snapshot_size(cell: &Cell) -> usize {
    let snapshot = myrtle_cell::Snapshot { cell: cell.clone() };
    Record::Snapshot(Box::new(snapshot)).encode().len()
}

/// Returns the bytes of a message between our processes.
fn bincode_size<T: serde::Serialize>(value: &T) -> usize {
    bincode::serialized_size(value).unwrap_or_default() as usize
}

fn json_size<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}

/// Returns the resident kilobytes of a value, averaged over eight of them.
fn resident_of<T>(make: impl Fn() -> T) -> u64 {
    let before = crate::toll::resident();
    let values: Vec<T> = (0..8).map(|_| make()).collect();
    let after = crate::toll::resident();
    drop(values);
    after.saturating_sub(before) / 8
}
