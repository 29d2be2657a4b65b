//! Where tasks go: gangs, racks, labels, workers that leave, fail or stand still.

mod common;

use myrtle_job::{Repeat, State};

use common::{World, case, job, step};

case!(a_gang_starts_as_a_whole_or_not_at_all, world, {
    let mut gang = step(70);
    gang.gang = true;
    world.submit(job(vec![gang.clone()]));
    world.run(1_000);
    assert_eq!(world.judge.starts.len(), 0, "64 fit, 70 do not");
    gang.count = 60;
    world.submit(job(vec![gang]));
    world.run(100);
    assert_eq!(world.judge.starts.len(), 60);
});

case!(tasks_of_a_step_are_spread_and_labels_are_kept, world, {
    let mut spread = step(4);
    spread.spread = 1;
    world.submit(job(vec![spread]));
    let mut labelled = step(1);
    labelled.requires = Some("none has it".into());
    let id = world.submit(job(vec![labelled]));
    world.run(3_000);
    assert_eq!(world.judge.together, 1);
    assert_eq!(world.owner().cell.state(id), Some(State::Queued));
});

#[test]
fn tasks_that_slow_each_other_down_across_racks_stay_on_one() {
    let mut world = World::new(7, 8);
    let mut tight = step(4);
    tight.same_rack = true;
    tight.room.cpu = 16_000;
    world.submit(job(vec![tight]));
    world.run(300);
    let used = world.owner().cell.workers.values().filter(|w| !w.flights.is_empty());
    let racks: std::collections::BTreeSet<_> = used.filter_map(|w| w.rack()).collect();
    assert_eq!(racks.len(), 1, "{racks:?}");
}

case!(a_worker_that_leaves_gets_nothing_new, world, {
    let first = world.workers.keys().next().unwrap().clone();
    world.workers.get_mut(&first).unwrap().listing.draining = true;
    world.run(200);
    world.submit(job(vec![step(20)]));
    assert!(world.finish(5_000));
    let used = world.workers[&first].count();
    assert_eq!(used, 0);
});

case!(lasting_tasks_leave_a_leaving_worker_one_at_a_time, world, {
    let mut lasting = step(8);
    lasting.lasting = true;
    lasting.may_miss = Some(1);
    world.submit(job(vec![lasting]));
    world.run(1_000);
    let first = world.workers.iter().find(|(_, w)| w.count() > 1).unwrap().0.clone();
    world.workers.get_mut(&first).unwrap().listing.draining = true;
    world.workers.get_mut(&first).unwrap().listing.remaining = Some(4_000);
    let mut least = 8;
    for _ in 0..200 {
        world.run(10);
        least = least.min(world.workers.values().map(|w| w.count()).sum());
    }
    assert!(least >= 7, "{least} of 8 were at work");
    assert_eq!(world.workers[&first].count(), 0);
});

case!(a_worker_that_fails_everything_is_left_alone, world, {
    world.workers.values_mut().next().unwrap().failing = true;
    for _ in 0..12 {
        world.submit(job(vec![step(2)]));
        world.run(150);
    }
    assert!(world.finish(10_000));
    let cell = &world.owner().cell;
    assert!(cell.jobs.values().all(|j| j.shown == State::Completed));
    assert!(cell.counts.failed <= 6, "{} runs failed", cell.counts.failed);
});

case!(what_stands_still_goes_on_elsewhere, world, {
    world.workers.values_mut().next().unwrap().hanging = true;
    world.submit(job(vec![step(8)]));
    assert!(world.finish(8_000));
});

case!(a_timed_job_begins_at_its_times, world, {
    let mut spec = job(vec![step(1)]);
    spec.repeat = Some(Repeat { first: world.now + 2_000, every: 3_000, count: 3 });
    let id = world.submit(spec);
    assert!(world.finish(12_000));
    assert_eq!(world.judge.starts.len(), 3);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
});
