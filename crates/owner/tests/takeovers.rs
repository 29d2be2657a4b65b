//! Owners that follow one another while workers that have crashed are still listed where others are by now.
//!
//! Two owners within a second, and the second one gave up runs that went on:
//!
//! ```text
//! 20.78 event=worker-gone worker=OLD reason="another life is at its address" runs=13 silent_ms=176
//! 21.54 event=owner-loaded cell=0 jobs=323
//! 21.58 event=worker-gone worker=NEW reason="another life is at its address" runs=6 silent_ms=165
//! 22.12 event=run-unasked worker=NEW
//! ```
//!
//! The entry of the one that had crashed lay behind what the log told of the one that is there. Now an entry of another
//! worker says nothing of a run; only an answer does that was asked for after the worker was known.

mod common;

use common::{World, job, step};
use myrtle_job::{JobId, State, StepSpec};

/// How long a crashed worker is away, in milliseconds, and some.
const BACK: u64 = 3_400;

/// Lets a long job begin on whatever is there by now.
fn begin(world: &mut World) -> JobId {
    world.run(BACK);
    let id = world.submit(job(vec![StepSpec { estimate: 6_000, ..step(4) }]));
    world.run(500);
    id
}

/// A world in which another worker is where the first one crashed, with a long job at work.
fn replaced() -> (World, JobId) {
    let mut world = World::new(7, 1);
    world.run(500);
    world.crash(&"w0".into());
    let id = begin(&mut world);
    (world, id)
}

/// Asks that a job ends well and that each of its tasks ran once.
fn once(world: &mut World, id: JobId) {
    world.run(12_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert!(world.judge.starts.values().all(|n| *n == 1), "{:?}", world.judge.starts);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn an_entry_that_is_written_again_ends_no_run_at_the_next_owner() {
    let (mut world, id) = replaced();
    world.relist("w0");
    world.owner().awake = false;
    world.take_over();
    once(&mut world, id);
}

#[test]
fn an_entry_that_is_written_again_ends_no_run_of_a_silent_worker() {
    let (mut world, id) = replaced();
    let owner = world.owners.len() - 1;
    world.cut(owner, "w0+", true);
    world.run(300);
    world.relist("w0");
    world.run(1_000);
    world.cut(owner, "w0+", false);
    once(&mut world, id);
}

#[test]
fn an_entry_of_before_with_a_later_start_ends_no_run_at_the_next_owner() {
    let mut world = World::new(7, 1);
    world.run(500);
    let before = world.workers["w0"].listing.clone();
    // Its clock was ahead, so the start before is the later one.
    world.set_back = 30_000;
    world.restart(&"w0".into(), BACK - 100);
    let id = begin(&mut world);
    world.stale.insert("w0".into(), (world.now + 2_000, before));
    world.owner().awake = false;
    world.take_over();
    once(&mut world, id);
}

#[test]
fn what_ran_on_a_worker_that_another_has_replaced_goes_on_once_that_answers() {
    let mut world = World::new(7, 2);
    let id = world.submit(job(vec![StepSpec { estimate: 2_000, ..step(8) }]));
    world.run(300);
    world.crash(&"w0".into());
    world.owner().awake = false;
    world.take_over();
    // No lease of before is waited for, which would take ten seconds.
    world.run(BACK + 4_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn an_entry_of_before_with_a_later_start_ends_no_run_of_a_worker_that_answers() {
    let mut world = World::new(7, 1);
    world.run(500);
    let mut before = world.workers["w0"].listing.clone();
    world.set_back = 30_000;
    world.restart(&"w0".into(), BACK - 100);
    let id = begin(&mut world);
    // The next owner has never heard of the one before.
    world.owner().awake = false;
    world.take_over();
    world.run(500);
    before.written = world.now;
    world.stale.insert("w0".into(), (world.now + 2_000, before));
    once(&mut world, id);
}
