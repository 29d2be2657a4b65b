//! Placement of gangs, by rack and by label, and around workers that drain, fail or hang.

mod common;

use myrtle_job::{Repeat, State};

use common::{World, case, job, step};

case!(a_gang_starts_as_a_whole_or_not_at_all, world, {
    let mut gang = step(70);
    gang.gang = true;
    world.submit(job(vec![gang.clone()]));
    world.run(1_000);
    assert_eq!(world.judge.starts.len(), 0, "64 tasks fit, 70 do not");
    gang.count = 60;
    world.submit(job(vec![gang]));
    world.run(100);
    assert_eq!(world.judge.starts.len(), 60);
});

case!(tasks_of_a_step_are_spread_and_required_labels_are_respected, world, {
    let mut spread = step(4);
    spread.worker_limit = 1;
    world.submit(job(vec![spread]));
    let mut labelled = step(1);
    labelled.requires = Some("absent".into());
    let id = world.submit(job(vec![labelled]));
    world.run(3_000);
    assert_eq!(world.judge.together, 1);
    assert_eq!(world.owner().cell.state(id), Some(State::Queued));
});

#[test]
fn a_same_rack_step_stays_on_one_rack() {
    let mut world = World::new(7, 8);
    let mut spec = step(4);
    spec.same_rack = true;
    spec.room.cpu = 16_000;
    world.submit(job(vec![spec]));
    world.run(300);
    let used = world.owner().cell.workers.values().filter(|w| !w.active_runs.is_empty());
    let racks: std::collections::BTreeSet<_> = used.filter_map(|w| w.rack()).collect();
    assert_eq!(racks.len(), 1, "{racks:?}");
}

case!(a_draining_worker_gets_no_new_runs, world, {
    let first = world.workers.keys().next().unwrap().clone();
    world.workers.get_mut(&first).unwrap().listing.draining = true;
    world.run(200);
    world.submit(job(vec![step(20)]));
    assert!(world.finish(5_000));
    let used = world.workers[&first].count();
    assert_eq!(used, 0);
});

case!(long_running_tasks_move_off_a_draining_worker_within_their_disruption_budget, world, {
    let mut spec = step(8);
    spec.long_running = true;
    spec.disruption_budget = Some(1);
    world.submit(job(vec![spec]));
    world.run(1_000);
    let first = world.workers.iter().find(|(_, w)| w.count() > 1).unwrap().0.clone();
    world.workers.get_mut(&first).unwrap().listing.draining = true;
    world.workers.get_mut(&first).unwrap().listing.remaining_ms = Some(4_000);
    let mut least = 8;
    for _ in 0..200 {
        world.run(10);
        least = least.min(world.workers.values().map(|w| w.count()).sum());
    }
    assert!(least >= 7, "only {least} of 8 ran at once");
    assert_eq!(world.workers[&first].count(), 0);
});

case!(a_worker_that_fails_every_run_enters_backoff, world, {
    world.workers.values_mut().next().unwrap().failing = true;
    for _ in 0..12 {
        world.submit(job(vec![step(2)]));
        world.run(150);
    }
    assert!(world.finish(10_000));
    let cell = &world.owner().cell;
    assert!(cell.jobs.values().all(|j| j.logged_state == State::Completed));
    assert!(cell.counts.failed <= 6, "{} runs failed", cell.counts.failed);
});

case!(runs_that_hang_are_restarted_elsewhere, world, {
    world.workers.values_mut().next().unwrap().hanging = true;
    world.submit(job(vec![step(8)]));
    assert!(world.finish(8_000));
});

case!(a_repeated_job_starts_at_its_scheduled_times, world, {
    let mut spec = job(vec![step(1)]);
    spec.repeat = Some(Repeat { first_at: world.now + 2_000, interval_ms: 3_000, count: 3 });
    let id = world.submit(spec);
    assert!(world.finish(12_000));
    assert_eq!(world.judge.starts.len(), 3);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
});
