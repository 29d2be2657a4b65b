//! The order in which jobs start when more is requested than fits.

mod common;

use common::{World, job, step};

/// Submits more jobs of two sizes than four workers can finish in time; returns how many met their objectives.
fn count_on_time() -> usize {
    let mut world = World::new(7, 4);
    let mut ids = Vec::new();
    for n in 0..160 {
        let mut spec = step(if n % 2 == 0 { 24 } else { 4 });
        spec.room.cpu = 4_000;
        spec.estimate_ms = 1_000;
        ids.push((world.now, world.submit(job(vec![spec]))));
        world.run(100);
    }
    assert!(world.finish(120_000));
    let cell = &world.owner().cell;
    let ended_at = |id| cell.jobs[&id].progress.ended_at;
    ids.iter()
        .filter(|(submitted_at, id)| ended_at(*id) - submitted_at <= cell.jobs[id].objective())
        .count()
}

#[test]
fn most_small_jobs_meet_their_objectives_under_overload() {
    let count = count_on_time();
    assert!(count >= 80, "{count} of 160 jobs met their objectives");
}
