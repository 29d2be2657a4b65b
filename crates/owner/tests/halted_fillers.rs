//! Fillers that slow every serving task make progress in turns, and are not moved from worker to worker for ever.
//!
//! Guards against a job of which nothing ends: after 1.5 s without a run one of its tasks is placed wherever there is
//! room, halted within 0.1 s for want of headroom, moved 1.2 s later, and so on, while most room is free.

mod common;

use common::find::first_task;
use common::{World, job, step};
use myrtle_base::Room;
use myrtle_job::{JobId, State, StepSpec, TaskId};

/// The latency target of serving tasks, in milliseconds.
const TARGET: u32 = 150;

/// The number of workers, each with one serving task.
const WORKERS: u16 = 4;

/// What one filler requests, in thousandths of a core.
const FILLER_CPU: u32 = 3_000;

/// The number of fillers from which the owner learns how much they slow the serving tasks.
const TEACHERS: u16 = 8;

/// The load of the serving tasks while the owner learns.
const LOW_LOAD: f64 = 0.2;

/// How long a serving task may exceed its target on end beside fillers, in milliseconds.
const OVER_LIMIT: u64 = 4_000;

/// The time in which a job has to be done, in milliseconds: ten times its work.
const DONE_WITHIN: u64 = 60_000;

/// Workers with serving tasks whose tail latencies follow from their load and the fillers beside them.
struct Colocated {
    world: World,
    /// The pressure that fillers add when they use a whole worker.
    coefficient: f64,
    /// For how long some serving task has exceeded its target.
    over: u64,
    /// The longest such time.
    longest_over: u64,
}

impl Colocated {
    fn new(coefficient: f64) -> Self {
        let mut world = World::new(1, usize::from(WORKERS));
        world.submit(job(vec![StepSpec {
            room: Room { cpu: 6_000, mem: 4_000, accel: 0 },
            long_running: true,
            image: Some("serving".into()),
            target_ms: Some(TARGET),
            worker_limit: 1,
            ..step(WORKERS)
        }]));
        world.run(3_000);
        Self { world, coefficient, over: 0, longest_over: 0 }
    }

    /// Submits a job of fillers.
    fn submit(&mut self, count: u16, estimate_ms: u64) -> JobId {
        self.world.submit(job(vec![StepSpec {
            room: Room { cpu: FILLER_CPU, mem: 4_000, accel: 0 },
            estimate_ms,
            image: Some("filler".into()),
            filler: true,
            has_checkpoints: true,
            ..step(count)
        }]))
    }

    /// Runs 10 ms beside the fillers of a job, with serving tasks of this load.
    fn step(&mut self, fillers: JobId, load: f64) {
        let tasks = |index| TaskId { index, ..first_task(fillers) };
        let mut over = false;
        for worker in self.world.workers.values_mut() {
            let paces = (0..TEACHERS).map(tasks).filter_map(|task| worker.pace_of(task));
            let used = f64::from(paces.sum::<u32>() * FILLER_CPU) / 100.0 / 32_000.0;
            let pressure = load + self.coefficient * used;
            let tail = f64::from(TARGET) / 6.0 / (1.0 - pressure.min(0.99));
            // Workers report whole milliseconds.
            worker.tail = Some(tail.ceil());
            over |= tail > f64::from(TARGET);
        }
        self.over = if over { self.over + 10 } else { 0 };
        self.longest_over = self.longest_over.max(self.over);
        self.world.run(10);
    }

    /// Lets the owner learn the coefficient at low loads, then raises the load slowly.
    fn learn(&mut self, load: f64) {
        let teachers = self.submit(TEACHERS, 600_000);
        for n in 0..20 {
            let low = LOW_LOAD + 0.2 * f64::from(n % 2);
            (0..200).for_each(|_| self.step(teachers, low));
        }
        self.world.cancel(teachers);
        for n in 0..20 {
            let share = f64::from(n.min(10)) / 10.0;
            (0..100).for_each(|_| self.step(teachers, LOW_LOAD + (load - LOW_LOAD) * share));
        }
        (self.over, self.longest_over) = (0, 0);
    }
}

/// Checks that a job of two fillers is done beside serving tasks of a steady load below their target.
fn check(load: f64, coefficient: f64, estimate_ms: u64) {
    let mut colocated = Colocated::new(coefficient);
    colocated.learn(load);
    let before = colocated.world.owner().cell.counts.moved;
    let id = colocated.submit(2, estimate_ms);
    for _ in 0..DONE_WITHIN / 10 {
        colocated.step(id, load);
    }
    let Colocated { mut world, longest_over, .. } = colocated;
    let cell = &world.owner().cell;
    let (state, moved) = (cell.state(id), cell.counts.moved - before);
    assert_eq!(state, Some(State::Completed), "{moved} moves in {DONE_WITHIN} ms");
    assert!(longest_over <= OVER_LIMIT, "over the target for {longest_over} ms");
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn long_fillers_that_leave_no_headroom_are_done() {
    check(0.78, 2.0, 6_000);
}

#[test]
fn short_fillers_that_leave_no_headroom_are_done() {
    check(0.75, 5.0, 1_500);
}

#[test]
fn short_fillers_that_leave_no_headroom_at_a_high_load_are_done() {
    check(0.8, 5.0, 1_500);
}

#[test]
fn fillers_that_leave_headroom_are_done() {
    check(0.6, 2.0, 6_000);
}
