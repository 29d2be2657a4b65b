//! The fold rejects commands that would run a task twice, overcommit a worker or share a resource.

mod common;

use common::{Log, end, job, room, suspect_worker, worker};
use rstest::rstest;

use myrtle_base::{GUARD, LEASE, Millis};
use myrtle_cell::{
    Deny, End, Health, JobState, LeaseHolder, Op, Record, Resource, Snapshot, State, StopReason,
    TaskId, TaskResult,
};
use myrtle_config::OnUnreachable;

/// Defines a test on a log with two workers and three hosts.
macro_rules! case {
    ($name:ident, $log:ident => $body:block) => {
        #[test]
        fn $name() {
            let mut $log = Log::with_workers(2);
            $body
        }
    };
}

const T: TaskId = TaskId { job: 0, index: 0 };

fn claim(task: TaskId, attempt: u16, worker: u32) -> Op {
    Op::Claim { task, attempt, worker }
}

case!(concurrent_claims_never_overcommit_a_worker, log => {
    log.ok(job("big", 2, 20.0));
    log.ok(claim(T, 1, 0));
    assert_eq!(log.one(claim(TaskId::new(0, 1), 1, 0)), Err(Deny::Room));
    log.ok(claim(TaskId::new(0, 1), 1, 1));
});

case!(a_task_is_claimed_once, log => {
    log.ok(job("a", 1, 1.0));
    log.ok(claim(T, 1, 0));
    assert_eq!(log.one(claim(T, 1, 1)), Err(Deny::State));
    assert_eq!(log.one(claim(T, 2, 1)), Err(Deny::State));
});

case!(attempt_numbers_have_no_gaps, log => {
    log.ok(job("a", 1, 1.0));
    assert_eq!(log.one(claim(T, 2, 0)), Err(Deny::Outdated));
});

case!(a_repeated_batch_has_no_effect, log => {
    log.ok(job("a", 1, 1.0));
    let batch = log.batch(vec![claim(T, 1, 0)]);
    assert_eq!(log.append(&batch), vec![Ok(())]);
    assert_eq!(log.append(&batch), vec![Err(Deny::Repeated)]);
    assert_eq!(log.cell.workers[0].used, room(1.0));
});

case!(an_expired_batch_has_no_effect, log => {
    log.ok(job("a", 1, 1.0));
    let batch = log.batch(vec![claim(T, 1, 0)]);
    log.pass(Millis(60_000));
    assert_eq!(log.append(&batch), vec![Err(Deny::Expired)]);
});

case!(an_evicted_task_resumes_once_from_its_newest_checkpoint, log => {
    log.ok(job("a", 1, 1.0));
    log.ok(claim(T, 1, 0));
    log.ok(Op::Started { task: T, attempt: 1 });
    log.ok(Op::Checkpoint { task: T, attempt: 1, checkpoint: 4 });
    log.ok(Op::Stop { task: T, attempt: 1, reason: StopReason::Operator });
    assert_eq!(log.one(claim(T, 2, 1)), Err(Deny::State));
    log.ok(end(T, 1, End::Stopped(7)));
    assert_eq!(log.one(end(T, 1, End::Stopped(7))), Err(Deny::State));
    log.ok(claim(T, 2, 1));
    assert_eq!(log.one(claim(T, 2, 0)), Err(Deny::State));
    let task = &log.cell.tasks[&T];
    assert_eq!((task.checkpoint, task.evictions), (7, 1));
});

case!(a_job_too_large_for_every_worker_is_rejected_with_the_reason, log => {
    log.ok(job("huge", 3, 64.0));
    let state = &log.cell.jobs[&0].state;
    assert!(matches!(state, JobState::Rejected(..)));
    assert!(state.to_string().contains("largest worker has 32 cores"), "{state}");
    assert!(log.cell.pending.is_empty());
});

case!(cancelled_tasks_do_not_start, log => {
    log.ok(job("a", 3, 1.0));
    log.ok(claim(T, 1, 0));
    log.ok(Op::Cancel { jobs: vec![0] });
    assert_eq!(log.one(claim(TaskId::new(0, 1), 1, 0)), Err(Deny::State));
    assert_eq!(log.cell.tasks[&T].state, State::Stopping(0, StopReason::Cancel));
    log.ok(end(T, 1, End::Stopped(2)));
    assert_eq!(log.cell.tasks[&T].state, State::Over(TaskResult::Cancelled));
    assert_eq!(log.cell.jobs[&0].open, 0);
});

case!(a_removal_does_not_end_a_newer_job, log => {
    log.ok(job("a", 1, 1.0));
    assert_eq!(log.one(Op::Remove { name: "a".into(), version: 1 }), Err(Deny::Outdated));
    log.ok(Op::Remove { name: "a".into(), version: 2 });
    assert_eq!(log.cell.jobs[&0].state, JobState::Removed);
});

case!(a_failing_task_is_retried_with_backoff_until_it_fails, log => {
    log.ok(job("bad", 1, 1.0));
    for attempt in 1..=5 {
        let worker = u32::from(attempt % 2);
        log.ok(claim(T, attempt, worker));
        log.ok(end(T, attempt, End::Failed));
        if attempt < 5 {
            assert_eq!(log.one(claim(T, attempt + 1, 0)), Err(Deny::Backoff));
            assert_eq!(log.cell.tasks[&T].failed_worker, Some(worker));
        }
        log.pass(Millis(60_000));
    }
    assert_eq!(log.cell.tasks[&T].state, State::Over(TaskResult::Failed));
});

case!(a_failing_worker_goes_into_backoff_and_gets_one_probe, log => {
    for n in 0..4 {
        log.ok(job(&format!("j{n}"), 1, 1.0));
    }
    for n in 0..3 {
        log.ok(claim(TaskId::new(n, 0), 1, 0));
        log.ok(end(TaskId::new(n, 0), 1, End::Failed));
    }
    assert_eq!(log.one(claim(TaskId::new(3, 0), 1, 0)), Err(Deny::Unavailable));
    log.pass(Millis(31_000));
    log.ok(claim(TaskId::new(3, 0), 1, 0));
    assert_eq!(log.one(claim(T, 2, 0)), Err(Deny::Unavailable));
    log.ok(end(TaskId::new(3, 0), 1, End::Done));
    log.ok(claim(T, 2, 0));
});

case!(a_failing_job_puts_no_worker_into_backoff, log => {
    log.ok(job("bad", 3, 1.0));
    for n in 0..3 {
        log.ok(claim(TaskId::new(0, n), 1, 0));
        log.ok(end(TaskId::new(0, n), 1, End::Failed));
    }
    assert_eq!(log.cell.workers[0].backoff_until, None);
});

case!(a_silent_worker_keeps_its_tasks_until_its_leases_lapse, log => {
    log.ok(job("a", 1, 1.0));
    log.ok(claim(T, 1, 0));
    let suspected = suspect_worker(&mut log, 0);
    let lapse = |consents: &[&str]| Op::Lapse {
        holder: LeaseHolder::Worker(0),
        suspected,
        consents: consents.iter().map(|c| c.to_string()).collect(),
    };
    assert_eq!(log.one(lapse(&["s1", "s2"])), Err(Deny::Early));
    log.pass(LEASE + GUARD);
    assert_eq!(log.one(lapse(&["s1"])), Err(Deny::Minority));
    assert_eq!(log.one(lapse(&["s1", "s1", "x"])), Err(Deny::Minority));
    assert_eq!(log.cell.tasks[&T].state, State::Claimed(0));
    log.ok(lapse(&["s1", "s3"]));
    log.ok(claim(T, 2, 1));
    assert_eq!(log.one(end(T, 1, End::Done)), Err(Deny::Outdated));
});

case!(a_cleared_suspicion_allows_no_lapse, log => {
    log.ok(job("a", 1, 1.0));
    log.ok(claim(T, 1, 0));
    let suspected = suspect_worker(&mut log, 0);
    log.ok(Op::Clear { holder: LeaseHolder::Worker(0) });
    let second = suspect_worker(&mut log, 0);
    log.pass(LEASE + GUARD);
    let consents = vec!["s1".into(), "s2".into()];
    let lapse = Op::Lapse { holder: LeaseHolder::Worker(0), suspected, consents };
    assert_eq!(log.one(lapse), Err(Deny::Outdated));
    assert_ne!(suspected, second);
});

case!(a_restarted_worker_has_no_tasks_of_its_earlier_incarnation, log => {
    log.ok(job("a", 1, 1.0));
    log.ok(claim(T, 1, 0));
    log.ok(common::worker(0, 2));
    assert_eq!(log.cell.tasks[&T].state, State::Pending);
    assert_eq!(log.one(common::worker(0, 1)), Err(Deny::Outdated));
});

case!(a_resource_has_one_coordinator, log => {
    log.ok(Op::Gate { name: "g1".into(), incarnation: 1 });
    log.ok(Op::Gate { name: "g2".into(), incarnation: 1 });
    let assign = |gate: &str| Op::Assign { resource: Resource::Keys(3), gate: gate.into() };
    log.ok(assign("g1"));
    assert_eq!(log.one(assign("g2")), Err(Deny::Assigned));
    let reassign = |from: &str, to: &str| Op::Reassign {
        resource: Resource::Keys(3),
        from: from.into(),
        to: to.into(),
    };
    assert_eq!(log.one(reassign("g2", "g1")), Err(Deny::Assigned));
    log.ok(reassign("g1", "g2"));
    assert_eq!(log.one(reassign("g1", "g2")), Err(Deny::Assigned));
});

case!(a_gates_next_incarnation_waits_for_the_leases_of_the_earlier_one, log => {
    log.ok(Op::Gate { name: "g1".into(), incarnation: 1 });
    log.ok(Op::Assign { resource: Resource::Keys(3), gate: "g1".into() });
    let next = Op::Gate { name: "g1".into(), incarnation: 2 };
    assert_eq!(log.one(next.clone()), Err(Deny::Early));
    log.ok(Op::Leave { gate: "g1".into(), incarnation: 1 });
    log.ok(next);
});

case!(usage_is_counted_once, log => {
    log.ok(Op::Gate { name: "g1".into(), incarnation: 1 });
    let used = |requests, busy| Op::Used {
        gate: "g1".into(),
        incarnation: 1,
        customer: "helios".into(),
        class: "check".into(),
        requests,
        busy: Millis(busy),
    };
    log.ok(used(10, 100));
    assert_eq!(log.one(used(10, 100)), Err(Deny::Outdated));
    log.ok(used(15, 160));
    let total = log.cell.usage[&("helios".to_string(), "check".to_string())];
    assert_eq!((total.requests, total.busy), (15, Millis(160)));
});

#[rstest]
#[case::yields(OnUnreachable::Yield, State::Pending)]
#[case::continues(OnUnreachable::Continue, State::Running(0))]
fn a_lapse_frees_only_tasks_that_yield(#[case] on_unreachable: OnUnreachable, #[case] then: State) {
    let mut log = Log::with_workers(2);
    log.ok(common::job_with("a", 1, 1.0, on_unreachable));
    log.ok(claim(T, 1, 0));
    log.ok(Op::Started { task: T, attempt: 1 });
    common::lapse_worker(&mut log, 0);
    assert_eq!(log.cell.tasks[&T].state, then);
    assert_eq!(log.cell.workers[0].health, Health::Lapsed);
    if on_unreachable == OnUnreachable::Continue {
        log.ok(Op::Release { task: T });
        assert_eq!(log.cell.tasks[&T].state, State::Pending);
    }
}

case!(a_snapshot_restores_the_state_unless_it_is_older, log => {
    log.ok(job("a", 2, 1.0));
    let early = log.snapshot();
    log.ok(claim(T, 1, 0));
    let late = log.snapshot();
    let mut fresh = myrtle_cell::Cell::default();
    assert!(fresh.catch_up(late.clone()));
    assert_eq!(fresh, log.cell);
    assert!(!fresh.catch_up(early));
    assert!(!fresh.catch_up(late));
    assert_eq!(fresh, log.cell);
});

case!(a_task_that_crashes_its_workers_is_given_up, log => {
    log.ok(job("a", 1, 1.0));
    for attempt in 1..=5 {
        log.ok(claim(T, attempt, 0));
        log.ok(Op::Started { task: T, attempt });
        log.ok(worker(0, u64::from(attempt) + 1));
    }
    assert_eq!(log.cell.tasks[&T].state, State::Over(TaskResult::Failed));
    assert_eq!(log.one(claim(T, 6, 1)), Err(Deny::State));
});

case!(restarts_long_after_the_start_never_fail_a_task, log => {
    log.ok(job("a", 1, 1.0));
    for attempt in 1..=9 {
        log.ok(claim(T, attempt, 0));
        log.ok(Op::Started { task: T, attempt });
        log.pass(Millis(20_000));
        log.ok(worker(0, u64::from(attempt) + 1));
    }
    assert_eq!(log.cell.tasks[&T].state, State::Pending);
});

case!(a_snapshot_without_crash_counts_is_read, log => {
    log.ok(job("a", 1, 1.0));
    let snapshot = Record::Snapshot(Box::new(Snapshot { cell: log.cell.clone() })).encode();
    let old = &snapshot[..snapshot.len() - 1];
    let Some(Record::Snapshot(read)) = Record::decode(old) else { panic!("the snapshot can't be decoded") };
    assert_eq!(read.cell, log.cell);
    assert!(Record::decode(&old[..old.len() - 3]).is_none());
});
