//! Benchmarks of planning and of worker reports in a large cell.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

use myrtle_base::Room;
use myrtle_job::{
    Incarnation, JobId, JobSpec, Listing, OrderReply, Policy, Running, StepSpec, Submission,
    WorkerRuns,
};
use myrtle_owner::{Cell, Order, Outcome, TimeLimits};

/// The number of workers, each with 32 cores.
const WORKERS: u16 = 350;

/// The number of jobs of 14 long-running tasks; with five cores each they take 0.86 of the cell.
const LONG_JOBS: u64 = 138;

/// The number of jobs of 20 fillers.
const FILLER_JOBS: u64 = 300;

/// The number of images of serving tasks, and likewise of fillers.
const IMAGES: u64 = 9;

fn incarnation(worker: u16) -> Incarnation {
    Incarnation::new(format!("w{worker}"), 0)
}

fn cell() -> Cell {
    let mut cell = Cell::new(TimeLimits::default(), 1, 1_000);
    cell.loaded = true;
    for n in 0..WORKERS {
        let listing = Listing {
            service: "s".into(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            data_centre: "d".into(),
            draining: false,
            remaining_ms: None,
            room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
            labels: vec!["a".into(), format!("r{}", n / 8)],
            machine: None,
            version: String::new(),
            offset: 1,
            warmup_ms: 0,
            started_at: 0,
        };
        cell.apply_listing(incarnation(n).id(), listing, 1_000);
        let held = WorkerRuns { started_at: 0, clock_ms: 1_000, running: vec![], ended: vec![] };
        cell.renewed(&incarnation(n), held, 1_000, 1_000, 1_000);
    }
    cell
}

fn admit(cell: &mut Cell, id: u64, step: StepSpec, now: u64) {
    let spec = JobSpec { body: "b".into(), steps: vec![step], repeat: None };
    let policy = Policy {
        queue: "q".into(),
        service: "s".into(),
        max_failures: 3,
        stretch: 2.0,
        slack_ms: 1_000,
        ..Policy::default()
    };
    cell.admit(JobId(id), Submission { policy, spec, accepted_at: now }, now, now);
}

fn admit_long_running(cell: &mut Cell, now: u64) {
    for id in 0..LONG_JOBS {
        let step = StepSpec {
            count: 14,
            room: Room { cpu: 4_500 + 100 * (id % 11) as u32, mem: 2_000, accel: 0 },
            estimate_ms: 400,
            long_running: true,
            image: Some(format!("serving-{}", id % IMAGES).into()),
            target_ms: Some(50),
            ..StepSpec::default()
        };
        admit(cell, 1 + id, step, now);
    }
}

fn admit_fillers(cell: &mut Cell, now: u64) {
    for id in 0..FILLER_JOBS {
        let step = StepSpec {
            count: 20,
            room: Room { cpu: 3_000 + 50 * (id % 20) as u32, mem: 3_000, accel: 0 },
            estimate_ms: 2_000 + 10 * id,
            filler: true,
            has_checkpoints: true,
            image: Some(format!("filling-{}", id % IMAGES).into()),
            ..StepSpec::default()
        };
        admit(cell, 10_000 + id, step, now);
    }
}

/// Plans, and lets workers start the placed runs; returns how many.
fn plan_and_start(cell: &mut Cell, now: u64) -> usize {
    while cell.plan(now) {}
    let batch = cell.batch();
    let starts = cell.committed(batch, now);
    for order in &starts {
        if let Order::Start { worker, task, run, .. } = order {
            cell.start_replied(worker, *task, *run, Outcome::Replied(OrderReply::Done), now);
        }
    }
    starts.len()
}

/// Lets every worker report its runs; serving ones are near their latency targets.
fn report(cell: &mut Cell, now: u64) {
    let mut running: BTreeMap<Incarnation, Vec<Running>> = BTreeMap::new();
    for (incarnation, worker) in &cell.workers {
        let rows = worker.active_runs.iter().map(|(&task, active)| Running {
            task,
            run: active.run,
            checkpoint: String::new(),
            percent: 100.0,
            metric: Some(if active.target.is_some() { 35.0 + (now % 7) as f64 } else { 1_500.0 }),
        });
        running.insert(incarnation.clone(), rows.collect());
    }
    for (incarnation, running) in running {
        cell.renewed(
            &incarnation,
            WorkerRuns { started_at: 0, clock_ms: now, running, ended: vec![] },
            now,
            now,
            now,
        );
    }
}

/// A full cell in which some fillers find no worker, and the time that it has reached.
fn full_cell() -> (Cell, u64) {
    let mut cell = cell();
    admit_long_running(&mut cell, 1_000);
    plan_and_start(&mut cell, 1_000);
    plan_and_start(&mut cell, 3_000);
    admit_fillers(&mut cell, 3_000);
    let mut now = 3_000;
    for _ in 0..8 {
        now += 500;
        report(&mut cell, now);
        plan_and_start(&mut cell, now);
    }
    (cell, now)
}

fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    group.bench_function("first_lasting_tasks", |b| {
        let fresh = || {
            let mut cell = cell();
            admit_long_running(&mut cell, 1_000);
            cell
        };
        b.iter_batched_ref(
            fresh,
            |cell| black_box(plan_and_start(cell, 1_000)),
            BatchSize::LargeInput,
        );
    });
    group.bench_function("full_cell", |b| {
        let (mut cell, mut now) = full_cell();
        b.iter(|| {
            now += 100;
            while cell.plan(now) {}
            black_box(cell.has_work())
        });
    });
    group.bench_function("reports_of_a_full_cell", |b| {
        let (mut cell, mut now) = full_cell();
        b.iter(|| {
            now += 500;
            report(&mut cell, now);
            black_box(cell.orders().len())
        });
    });
    group.finish();
}

criterion_group!(benches, plan);
criterion_main!(benches);
