//! Who goes first where more is asked for than fits.

mod common;

use common::{World, job, step};

/// More jobs of two lengths come than four workers can take in time; tells how many were in time.
fn in_time() -> usize {
    let mut world = World::new(7, 4);
    let mut ids = Vec::new();
    for n in 0..160 {
        let mut wide = step(if n % 2 == 0 { 24 } else { 4 });
        wide.room.cpu = 4_000;
        wide.estimate = 1_000;
        ids.push((world.now, world.submit(job(vec![wide]))));
        world.run(100);
    }
    assert!(world.finish(120_000));
    let cell = &world.owner().cell;
    let ended = |id| cell.jobs[&id].progress.ended;
    ids.iter().filter(|(came, id)| ended(*id) - came <= cell.jobs[id].objective()).count()
}

#[test]
fn an_overload_leaves_most_small_jobs_in_time() {
    let count = in_time();
    assert!(count >= 80, "{count} of 160 were in time");
}
