//! What a pass over the waiting tasks of a large cell costs its owner.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

use myrtle_base::Room;
use myrtle_job::{
    Held, Incarnation, JobId, JobSpec, Listing, Policy, Running, StepSpec, Submission, Told,
};
use myrtle_owner::{Bounds, Cell, Order, Outcome};

/// How many workers the cell has; each has 32 cores.
const WORKERS: u16 = 350;

/// How many jobs of 14 lasting tasks there are; with five cores each they take 0.86 of the cell.
const LASTING: u64 = 138;

/// How many jobs of 20 fillers there are.
const FILLERS: u64 = 300;

/// Images of serving tasks, and of fillers.
const IMAGES: u64 = 9;

fn name(worker: u16) -> Incarnation {
    Incarnation::new(format!("w{worker}"), 0)
}

fn cell() -> Cell {
    let mut cell = Cell::new(Bounds::default(), 1, 1_000);
    cell.loaded = true;
    for n in 0..WORKERS {
        let listing = Listing {
            service: "s".into(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            data_centre: "d".into(),
            draining: false,
            remaining: None,
            room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
            labels: vec!["a".into(), format!("r{}", n / 8)],
            machine: None,
            written: 1,
            cold: 0,
            start: 0,
        };
        cell.list(name(n).id(), listing, 1_000);
        let held = Held { start: 0, clock: 1_000, running: vec![], ended: vec![] };
        cell.held(&name(n), held, 1_000, 1_000, 1_000);
    }
    cell
}

fn admit(cell: &mut Cell, id: u64, step: StepSpec, now: u64) {
    let spec = JobSpec { body: "b".into(), steps: vec![step], repeat: None };
    let policy = Policy {
        queue: "q".into(),
        service: "s".into(),
        attempts: 3,
        stretch: 2.0,
        slack: 1_000,
        ..Policy::default()
    };
    cell.admit(JobId(id), Submission { policy, spec, taken: now }, now, now);
}

fn lasting(cell: &mut Cell, now: u64) {
    for id in 0..LASTING {
        let step = StepSpec {
            count: 14,
            room: Room { cpu: 4_500 + 100 * (id % 11) as u32, mem: 2_000, accel: 0 },
            estimate: 400,
            lasting: true,
            image: Some(format!("serving-{}", id % IMAGES).into()),
            target: Some(50),
            ..StepSpec::default()
        };
        admit(cell, 1 + id, step, now);
    }
}

fn fillers(cell: &mut Cell, now: u64) {
    for id in 0..FILLERS {
        let step = StepSpec {
            count: 20,
            room: Room { cpu: 3_000 + 50 * (id % 20) as u32, mem: 3_000, accel: 0 },
            estimate: 2_000 + 10 * id,
            filler: true,
            saves: true,
            image: Some(format!("filling-{}", id % IMAGES).into()),
            ..StepSpec::default()
        };
        admit(cell, 10_000 + id, step, now);
    }
}

/// Plans, and lets workers start what was placed.
fn write(cell: &mut Cell, now: u64) -> usize {
    while cell.plan(now) {}
    let batch = cell.batch();
    let starts = cell.committed(batch, now);
    for order in &starts {
        if let Order::Start { worker, task, run, .. } = order {
            cell.start_told(worker, *task, *run, Outcome::Told(Told::Done), now);
        }
    }
    starts.len()
}

/// Every worker tells of its runs; serving ones are near their targets.
fn report(cell: &mut Cell, now: u64) {
    let mut running: BTreeMap<Incarnation, Vec<Running>> = BTreeMap::new();
    for (life, worker) in &cell.workers {
        let rows = worker.flights.iter().map(|(&task, f)| Running {
            task,
            run: f.run,
            saved: String::new(),
            percent: 100.0,
            figure: Some(if f.target.is_some() { 35.0 + (now % 7) as f64 } else { 1_500.0 }),
        });
        running.insert(life.clone(), rows.collect());
    }
    for (life, running) in running {
        cell.held(&life, Held { start: 0, clock: now, running, ended: vec![] }, now, now, now);
    }
}

/// A cell that is full, with fillers that find no place.
fn full() -> (Cell, u64) {
    let mut cell = cell();
    lasting(&mut cell, 1_000);
    write(&mut cell, 1_000);
    write(&mut cell, 3_000);
    fillers(&mut cell, 3_000);
    let mut now = 3_000;
    for _ in 0..8 {
        now += 500;
        report(&mut cell, now);
        write(&mut cell, now);
    }
    (cell, now)
}

fn passes(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    group.bench_function("first_lasting_tasks", |b| {
        let fresh = || {
            let mut cell = cell();
            lasting(&mut cell, 1_000);
            cell
        };
        b.iter_batched_ref(fresh, |cell| black_box(write(cell, 1_000)), BatchSize::LargeInput);
    });
    group.bench_function("full_cell", |b| {
        let (mut cell, mut now) = full();
        b.iter(|| {
            now += 100;
            while cell.plan(now) {}
            black_box(cell.restless())
        });
    });
    group.bench_function("reports_of_a_full_cell", |b| {
        let (mut cell, mut now) = full();
        b.iter(|| {
            now += 500;
            report(&mut cell, now);
            black_box(cell.orders().len())
        });
    });
    group.finish();
}

criterion_group!(benches, passes);
criterion_main!(benches);
