//! Jobs on queues that need tickets, while the ticket service is busy, slow or away.

mod common;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_job::{JobId, Policy, StepSpec};
use myrtle_tickets::{Condition, StepId};

use common::service::{Service, Trouble};
use common::{World, job, policy, step};

/// A policy with the tickets of a world's service.
fn ticketed(world: &mut World) -> Policy {
    Policy { ticket_times: Some(world.service().times), ..policy() }
}

/// A step of six short tasks.
fn short() -> StepSpec {
    let mut short = StepSpec { estimate_ms: 640, ..step(6) };
    short.room.cpu = 500;
    short
}

/// A world of eight workers with a ticket service.
fn world(seed: u64, service: Service) -> World {
    let mut world = World::new(seed, 8);
    world.service = Some(service);
    world.run(1_000);
    world
}

/// Submits `rate` jobs a second for some milliseconds.
fn submit(world: &mut World, rate: f64, millis: u64, policy: &Policy) -> Vec<JobId> {
    let begin = world.now;
    let mut ids = Vec::new();
    while world.now < begin + millis {
        let due = ((world.now - begin) as f64 / 1_000.0 * rate) as usize;
        while ids.len() <= due {
            ids.push(world.submit_as(job(vec![short()]), policy.clone()));
        }
        world.run(10);
    }
    ids
}

/// The time in milliseconds that the service needs for one answer about eight workers for each job.
fn one_answer_each(world: &mut World, jobs: usize) -> u64 {
    let (times, slowdown) = (world.service().times, world.service().slowdown);
    ((times.call_ms + 8 * times.worker_ms) as f64 * slowdown * jobs as f64) as u64
}

/// Checks that no start was refused and no call came back because of ours.
fn check(world: &mut World) {
    assert_eq!(world.judge.broken, Vec::<String>::new());
    let service = world.service();
    assert_eq!((service.refused, service.invalid), (0, 0), "refused calls and starts");
}

// Guards against questions that are all sent at once and given up before their turn: the service then works on abandoned
// ones for good, and accepted jobs never start.
#[rstest]
#[case::as_declared(60, 5, 3_000, 16.5, 1.0)]
#[case::short_tickets(60, 5, 400, 16.5, 1.0)]
#[case::shortest_tickets(60, 5, 120, 16.5, 1.0)]
#[case::slow_service(200, 10, 3_000, 8.0, 1.0)]
#[case::quick_service(9, 1, 2_000, 100.0, 1.0)]
#[case::far_beyond(60, 5, 3_000, 60.0, 1.0)]
#[case::slower_than_declared(20, 2, 3_000, 16.5, 8.0)]
#[case::much_slower(10, 1, 5_000, 8.0, 40.0)]
fn a_burst_of_steps_is_answered_once_each(
    #[case] call_ms: u64,
    #[case] worker_ms: u64,
    #[case] valid_ms: u64,
    #[case] rate: f64,
    #[case] slowdown: f64,
    #[values(false, true)] skips: bool,
) {
    let mut world = world(1, Service::new(call_ms, worker_ms, valid_ms));
    (world.service().skips, world.service().slowdown) = (skips, slowdown);
    let policy = ticketed(&mut world);
    let ids = submit(&mut world, rate, 6_000, &policy);
    let work = one_answer_each(&mut world, ids.len()).max(6_000) - 6_000;
    assert!(world.finish(work + work / 10 + 4_000), "{} jobs", ids.len());
    check(&mut world);
    let answered = world.service().answered() as usize;
    assert!(answered <= ids.len() + ids.len() / 10, "{answered} answers for {} jobs", ids.len());
}

// Guards against a service in trouble that is asked ever more, or is not asked again soon after it is back.
#[rstest]
#[case::hold(Trouble::Hold, Condition::Silent)]
#[case::forget(Trouble::Forget, Condition::Silent)]
#[case::refuse(Trouble::Refuse, Condition::Busy)]
#[case::breaks(Trouble::Break, Condition::Unreachable)]
fn a_service_in_trouble_is_asked_less_and_used_again_soon(
    #[case] trouble: Trouble,
    #[case] condition: Condition,
    #[values(300, 4_000, 25_000)] millis: u64,
    #[values(1, 40)] jobs: usize,
) {
    let mut world = world(3, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    let begin = world.now;
    world.service().troubles.push((begin..begin + millis, trouble));
    let ids: Vec<_> =
        (0..jobs).map(|_| world.submit_as(job(vec![short()]), policy.clone())).collect();
    world.run(millis);
    let asked = u64::from(world.service().calls);
    assert!(asked <= 10 + millis / 500, "{asked} calls in {millis} ms");
    let rare = if trouble == Trouble::Refuse || millis < 10_000 { 1_500 } else { 5_500 };
    let work = one_answer_each(&mut world, ids.len()) + 100 * asked;
    assert!(world.finish(rare + work + work / 10 + 1_500), "not over");
    check(&mut world);
    let shown = &world.calls[&0].conditions;
    assert!(millis < 1_000 || shown.contains(&condition), "{shown:?}");
    assert_eq!(shown.last(), Some(&Condition::Answering));
}

#[test]
fn nothing_is_asked_for_jobs_that_were_cancelled_while_they_waited() {
    let mut world = world(4, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    let ids: Vec<_> =
        (0..50).map(|_| world.submit_as(job(vec![short()]), policy.clone())).collect();
    world.run(300);
    ids[10..].iter().for_each(|id| world.cancel(*id));
    assert!(world.finish(5_000));
    check(&mut world);
    let answered = world.service().answered();
    assert!(answered <= 12, "{answered} answers for 10 jobs");
}

#[test]
fn nothing_is_asked_while_there_is_no_room() {
    let mut world = world(5, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    // Each of these tasks takes a whole worker.
    let mut full = StepSpec { estimate_ms: 8_000, ..step(8) };
    full.room.cpu = 32_000;
    world.submit(job(vec![full]));
    world.run(500);
    let ids: Vec<_> =
        (0..20).map(|_| world.submit_as(job(vec![short()]), policy.clone())).collect();
    world.run(5_000);
    assert_eq!(world.service().calls, 0);
    let over = world.finish(12_000);
    let now = world.now;
    for (id, w) in &world.owner().cell.workers {
        println!("{id} {:?} {:?} {}", w.free(), w.presence, w.accepts_work(now));
    }
    println!("{}", world.owner().cell.explain(JobId(1), now).join("\n"));
    assert!(over);
    check(&mut world);
    let answered = world.service().answered() as usize;
    assert!(answered <= ids.len() + 2, "{answered} answers");
}

// Guards against questions about the few workers with room alone: each freed place then costs a call of its own.
#[test]
fn a_full_cell_asks_about_each_job_about_once() {
    let mut world = world(6, Service::new(20, 2, 6_000));
    let policy = ticketed(&mut world);
    let wide = StepSpec { estimate_ms: 600, ..step(24) };
    let ids: Vec<_> =
        (0..60).map(|_| world.submit_as(job(vec![wide.clone()]), policy.clone())).collect();
    assert!(world.finish(20_000));
    check(&mut world);
    let answered = world.service().answered() as usize;
    assert!(answered <= 2 * ids.len(), "{answered} answers for {} jobs", ids.len());
}

// Guards against one job of many steps, or one queue, that uses up all answers while others wait.
#[rstest]
#[case::many_steps(true)]
#[case::many_jobs(false)]
fn a_large_share_of_the_questions_does_not_starve_others(#[case] one_job: bool) {
    let mut world = world(7, Service::new(60, 5, 3_000));
    let large = Policy { queue: "large".into(), ..ticketed(&mut world) };
    let small = Policy { queue: if one_job { "large" } else { "small" }.into(), ..large.clone() };
    let tiny = StepSpec { count: 1, ..short() };
    let (jobs, steps) = if one_job { (1, 60) } else { (60, 1) };
    for _ in 0..jobs {
        world.submit_as(job(vec![tiny.clone(); steps]), large.clone());
    }
    world.run(500);
    let ids: Vec<_> =
        (0..5).map(|_| world.submit_as(job(vec![tiny.clone()]), small.clone())).collect();
    world.run(2_500);
    for id in ids {
        assert!(world.owner().cell.state(id).unwrap().over(), "{id} waits behind the others");
    }
    assert!(world.finish(10_000));
    check(&mut world);
}

// Guards against a class that goes first and leaves nothing to the others for as long as it comes.
#[test]
fn questions_of_lower_priority_are_asked_though_those_before_them_never_end() {
    let mut world = world(8, Service::new(60, 5, 3_000));
    let high = ticketed(&mut world);
    let low = Policy { queue: "low".into(), priority: 3, ..high.clone() };
    let late = world.submit_as(job(vec![short()]), low);
    submit(&mut world, 14.0, 8_000, &high);
    assert!(world.owner().cell.state(late).unwrap().over());
    assert!(world.finish(20_000));
    check(&mut world);
}

// Guards against a step that the service can't make sense of and that takes the turns of all others.
#[test]
fn a_question_that_is_rejected_holds_up_no_other() {
    let mut world = world(9, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    let bad = world.submit_as(job(vec![short()]), policy.clone());
    world.service().unreadable.push(StepId { job: bad, round: 0, step: 0 });
    let ids = submit(&mut world, 8.0, 4_000, &policy);
    world.run(2_500);
    for id in ids {
        assert!(world.owner().cell.state(id).unwrap().over(), "{id}");
    }
    let calls = world.service().calls;
    assert!(calls <= 32 + 12, "{calls} calls");
}

// Guards against questions of an owner that has ended and that hold up its successor's.
#[rstest]
#[case::same_host(true)]
#[case::another_host(false)]
fn a_successor_asks_for_what_is_left(#[case] same_host: bool) {
    let mut world = world(10, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    let mut ids = submit(&mut world, 16.5, 3_000, &policy);
    world.succeed();
    if same_host {
        // The process is new, but to the service it is the same machine.
        world.join_lanes(0, 1);
    }
    ids.extend(submit(&mut world, 16.5, 3_000, &policy));
    let work = one_answer_each(&mut world, ids.len()) - 6_000;
    assert!(world.finish(work + work / 10 + 4_000));
    check(&mut world);
    let answered = world.service().answered() as usize;
    assert!(answered <= ids.len() + ids.len() / 10 + 3, "{answered} answers");
}

// Guards against a job whose permitted workers are all barred and that is asked about for ever.
#[test]
fn workers_that_are_barred_are_not_asked_about_again() {
    let mut world = world(11, Service::new(20, 2, 1_000));
    world.service().bars = 1;
    let policy = ticketed(&mut world);
    let id = world.submit_as(job(vec![short()]), policy);
    world.run(6_000);
    assert_eq!(world.service().answered(), 1);
    let now = world.now;
    let lines = world.owner().cell.explain(id, now).join("\n");
    assert!(lines.contains("bars every worker"), "{lines}");
}

// Guards against starts that wait on their host until their ticket has expired and are sent all the same.
#[test]
fn a_start_whose_ticket_expires_on_its_host_is_not_sent() {
    let mut world = world(13, Service::new(20, 2, 1_000));
    let policy = ticketed(&mut world);
    world.faults.queued = 0.5;
    submit(&mut world, 8.0, 3_000, &policy);
    world.run(8_000);
    world.faults.queued = 0.0;
    assert!(world.finish(10_000));
    check(&mut world);
}

#[test]
fn a_gang_gets_tickets_for_all_of_its_tasks() {
    let mut world = world(12, Service::new(60, 5, 3_000));
    let policy = ticketed(&mut world);
    let gang = StepSpec { gang: true, ..step(20) };
    for _ in 0..6 {
        world.submit_as(job(vec![gang.clone()]), policy.clone());
    }
    assert!(world.finish(12_000));
    check(&mut world);
}

/// A drawn course: bursts on several queues while the service has troubles and owners end.
fn draw(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (call_ms, worker_ms) = (rng.random_range(1..150), rng.random_range(0..8));
    let valid_ms = [200, 500, 3_000, 10_000][rng.random_range(0..4)];
    let mut world = world(seed, Service::new(call_ms, worker_ms, valid_ms));
    world.service().skips = rng.random_bool(0.5);
    world.service().slowdown = [1.0, 1.0, 3.0][rng.random_range(0..3)];
    world.service().bars = rng.random_range(2..6);
    let policy = ticketed(&mut world);
    let mut steps = 0;
    for _ in 0..rng.random_range(2..7) {
        let begin = world.now + rng.random_range(0..1_000);
        if rng.random_bool(0.5) {
            let trouble = [Trouble::Hold, Trouble::Forget, Trouble::Refuse, Trouble::Break];
            let trouble = trouble[rng.random_range(0..4)];
            let span = begin..begin + rng.random_range(10..4_000);
            world.service().troubles.push((span, trouble));
        }
        for job_number in 0..rng.random_range(1..30) {
            let queue = format!("q{}", rng.random_range(0..3));
            let priority = rng.random_range(0..3);
            let policy = Policy { queue, priority, ..policy.clone() };
            let wide = rng.random_range(1..4);
            steps += wide;
            let mut parts = vec![StepSpec { count: rng.random_range(1..8), ..short() }; wide];
            if wide > 1 && rng.random_bool(0.5) {
                parts[1].after = vec![0];
            }
            parts[0].gang = rng.random_bool(0.2);
            let id = world.submit_as(job(parts), policy);
            if job_number % 7 == 6 {
                world.run(50);
                world.cancel(id);
            }
        }
        world.run(rng.random_range(10..3_000));
        if rng.random_bool(0.3) {
            let before = world.owners.len() - 1;
            world.succeed();
            if rng.random_bool(0.5) {
                world.join_lanes(before, before + 1);
            }
        }
    }
    let calls = u64::from(world.service().calls);
    let work = one_answer_each(&mut world, steps) + calls * 20;
    let over = world.finish(2 * work + 15_000);
    let unfinished = |world: &mut World| {
        let now = world.now;
        let cell = &world.owner().cell;
        let ids = cell.jobs.iter().filter(|(_, j)| !j.logged_state.over()).map(|(id, _)| *id);
        ids.flat_map(|id| cell.explain(id, now)).collect::<Vec<_>>()
    };
    assert!(over, "seed {seed}: {:?}", unfinished(&mut world));
    assert_eq!(world.judge.broken, Vec::<String>::new(), "seed {seed}");
    let service = world.service();
    assert_eq!(service.refused, 0, "seed {seed}");
    let answered = service.answered() as usize;
    assert!(answered <= 2 * steps + 20, "seed {seed}: {answered} answers about {steps} steps");
}

// Guards against steps that wait for ever after any mix of bursts, troubles of the service, and owners in a row.
#[test]
fn every_job_starts_in_drawn_courses() {
    (0..40).for_each(draw);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test ticket_courses -- --ignored"]
fn every_job_starts_in_a_thousand_drawn_courses() {
    (1_000..2_000).for_each(draw);
}
