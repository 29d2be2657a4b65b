//! The order of questions.

use myrtle_job::JobId;
use myrtle_tickets::{Backlog, Need, StepId};

/// A step of a job.
fn step(job: u64, step: u16) -> StepId {
    StepId { job: JobId(job), round: 0, step }
}

/// A step of a queue that waits since a time.
fn need(queue: &str, priority: u32, place: usize, since: u64) -> Need {
    Need { since, queue: queue.into(), priority, place }
}

/// Takes and sends questions of 100 ms until none is left.
fn drain(backlog: &mut Backlog) -> Vec<StepId> {
    let mut order = Vec::new();
    while let Some((step, need)) = backlog.take() {
        backlog.sent(step, &need, 100);
        order.push(step);
    }
    order
}

#[test]
fn a_step_waits_once() {
    let mut backlog = Backlog::default();
    backlog.add(step(1, 0), need("q", 0, 0, 5));
    backlog.add(step(1, 0), need("q", 0, 0, 9));
    assert!(backlog.update_place(step(1, 0), 3));
    assert!(!backlog.update_place(step(2, 0), 3));
    assert_eq!((backlog.len(), backlog.oldest()), (1, Some(5)));
    assert_eq!(backlog.take().map(|(_, need)| need.place), Some(3));
}

#[test]
fn jobs_of_a_queue_follow_the_order_in_which_they_are_placed() {
    let mut backlog = Backlog::default();
    backlog.add(step(1, 0), need("q", 0, 2, 0));
    backlog.add(step(2, 0), need("q", 0, 0, 0));
    backlog.add(step(3, 0), need("q", 0, 1, 0));
    assert_eq!(drain(&mut backlog), [step(2, 0), step(3, 0), step(1, 0)]);
}

#[test]
fn queues_take_turns() {
    let mut backlog = Backlog::default();
    for job in 0..40 {
        backlog.add(step(job, 0), need("many", 0, job as usize, 0));
    }
    for job in 50..55 {
        backlog.add(step(job, 0), need("few", 0, 100, 10));
    }
    let order = drain(&mut backlog);
    let last = order.iter().rposition(|step| step.job.0 >= 50).unwrap();
    assert!(last < 16, "the last one of the small queue is question {last}");
}

// Guards against a queue that was idle and then takes all turns that it did not use.
#[test]
fn a_queue_that_comes_back_takes_no_more_than_its_turns() {
    let mut backlog = Backlog::default();
    (0..100).for_each(|job| backlog.add(step(job, 0), need("old", 0, 0, job)));
    for _ in 0..50 {
        let (step, need) = backlog.take().unwrap();
        backlog.sent(step, &need, 100);
    }
    (200..240).for_each(|job| backlog.add(step(job, 0), need("new", 0, 0, job)));
    let order = drain(&mut backlog);
    let of_old = order[..20].iter().filter(|step| step.job.0 < 200).count();
    assert!((8..=14).contains(&of_old), "{of_old} of 20 questions");
}

// The same where others were asked about meanwhile, so that it has used far less than they have.
#[test]
fn a_queue_that_was_idle_for_long_takes_no_more_than_its_turns() {
    let mut backlog = Backlog::default();
    backlog.add(step(1, 0), need("idle", 0, 0, 0));
    (100..400).for_each(|job| backlog.add(step(job, 0), need("busy", 0, 0, job)));
    for _ in 0..200 {
        let (step, need) = backlog.take().unwrap();
        backlog.sent(step, &need, 100);
    }
    (2..60).for_each(|job| backlog.add(step(job, 0), need("idle", 0, 0, 1_000)));
    let order = drain(&mut backlog);
    let of_busy = order[..40].iter().filter(|step| step.job.0 >= 100).count();
    assert!((16..=28).contains(&of_busy), "{of_busy} of 40 questions");
}

#[test]
fn jobs_take_turns_with_one_of_many_steps() {
    let mut backlog = Backlog::default();
    (0..50).for_each(|at| backlog.add(step(1, at), need("q", 0, 0, 0)));
    (2..6).for_each(|job| backlog.add(step(job, 0), need("q", 0, job as usize, 0)));
    let order = drain(&mut backlog);
    let last = order.iter().rposition(|step| step.job.0 > 1).unwrap();
    assert!(last < 10, "the last other job is question {last}");
}

#[test]
fn priority_goes_first_and_starves_nobody() {
    let mut backlog = Backlog::default();
    backlog.add(step(9, 0), need("low", 2, 0, 0));
    (10..50).for_each(|job| backlog.add(step(job, 0), need("high", 0, 0, job)));
    let order = drain(&mut backlog);
    assert!(order[..3].iter().all(|step| step.job.0 >= 10));
    assert_eq!(order[3], step(9, 0));
}

#[test]
fn steps_that_no_longer_need_tickets_are_dropped() {
    let mut backlog = Backlog::default();
    (0..4).for_each(|job| backlog.add(step(job, 0), need("q", 0, 0, 0)));
    backlog.retain(|step| step.job.0 == 2);
    assert_eq!(drain(&mut backlog), [step(2, 0)]);
    assert!(backlog.is_empty());
}
