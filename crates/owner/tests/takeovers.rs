//! Successive owners while crashed workers are still listed at addresses where other workers run by now.
//!
//! Fault: the entry of a crashed worker is read after the log's record of the worker that replaced it. An owner that
//! takes this entry for a newer incarnation at the address gives up runs that go on. An entry of another worker
//! therefore ends no run; only a reply does that was requested after the worker was met.

mod common;

use common::{World, job, step};
use myrtle_job::{JobId, State, StepSpec};

/// A little more than the time until a crashed worker restarts, in milliseconds.
const RESTART: u64 = 3_400;

/// Starts a long job on the workers that are there once a crashed one has restarted.
fn start_job(world: &mut World) -> JobId {
    world.run(RESTART);
    let id = world.submit(job(vec![StepSpec { estimate_ms: 6_000, ..step(4) }]));
    world.run(500);
    id
}

/// A world in which another worker has the address of one that crashed and runs a long job.
fn replaced_world() -> (World, JobId) {
    let mut world = World::new(7, 1);
    world.run(500);
    world.crash(&"w0".into());
    let id = start_job(&mut world);
    (world, id)
}

/// Asserts that a job completes and that each of its tasks started once.
fn assert_ran_once(world: &mut World, id: JobId) {
    world.run(12_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert!(world.judge.starts.values().all(|n| *n == 1), "{:?}", world.judge.starts);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn a_rewritten_entry_ends_no_run_at_the_next_owner() {
    let (mut world, id) = replaced_world();
    world.relist("w0");
    world.owner().awake = false;
    world.take_over();
    assert_ran_once(&mut world, id);
}

#[test]
fn a_rewritten_entry_ends_no_run_of_a_silent_worker() {
    let (mut world, id) = replaced_world();
    let owner = world.owners.len() - 1;
    world.cut(owner, "w0+", true);
    world.run(300);
    world.relist("w0");
    world.run(1_000);
    world.cut(owner, "w0+", false);
    assert_ran_once(&mut world, id);
}

#[test]
fn an_old_entry_with_a_later_start_ends_no_run_at_the_next_owner() {
    let mut world = World::new(7, 1);
    world.run(500);
    let old = world.workers["w0"].listing.clone();
    // The clock was ahead before, so the earlier incarnation has the later start.
    world.set_back = 30_000;
    world.restart(&"w0".into(), RESTART - 100);
    let id = start_job(&mut world);
    world.stale.insert("w0".into(), (world.now + 2_000, old));
    world.owner().awake = false;
    world.take_over();
    assert_ran_once(&mut world, id);
}

#[test]
fn runs_of_a_replaced_worker_restart_once_its_replacement_replies() {
    let mut world = World::new(7, 2);
    let id = world.submit(job(vec![StepSpec { estimate_ms: 2_000, ..step(8) }]));
    world.run(300);
    world.crash(&"w0".into());
    world.owner().awake = false;
    world.take_over();
    // Waiting for the earlier leases would take ten seconds.
    world.run(RESTART + 4_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn an_old_entry_with_a_later_start_ends_no_run_of_a_worker_that_replies() {
    let mut world = World::new(7, 1);
    world.run(500);
    let mut old = world.workers["w0"].listing.clone();
    world.set_back = 30_000;
    world.restart(&"w0".into(), RESTART - 100);
    let id = start_job(&mut world);
    // The next owner has never met the earlier incarnation.
    world.owner().awake = false;
    world.take_over();
    world.run(500);
    old.offset = world.now;
    world.stale.insert("w0".into(), (world.now + 2_000, old));
    assert_ran_once(&mut world, id);
}
