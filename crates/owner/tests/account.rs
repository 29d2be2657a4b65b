//! Checks that accounts of jobs explain all of the time that the jobs took.

mod common;

use std::sync::Arc;

use rand::RngExt;

use common::{Faults, World, case, job, policy, step};
use myrtle_base::Room;
use myrtle_job::{JobSpec, Policy, Repeat, StepSpec};
use myrtle_owner::{EndedJob, Phase, Verdict};

/// How long the owners have to finish the jobs of a test, in milliseconds.
const LIMIT: u64 = 60_000;

/// The reports of the newest owner.
fn reports(world: &mut World) -> Vec<EndedJob> {
    world.owner().cell.take_reports()
}

/// The only report.
fn report(world: &mut World) -> EndedJob {
    let mut reports = reports(world);
    assert_eq!(reports.len(), 1, "{reports:?}");
    reports.remove(0)
}

/// Asserts that the phases sum up to the time that the job took.
fn assert_explained(report: &EndedJob) {
    assert_eq!(report.spans.total(), report.took, "{report:?}");
}

/// A task that takes all of a worker's processors.
fn whole_worker() -> StepSpec {
    StepSpec { room: Room { cpu: 32_000, mem: 1_000, accel: 0 }, ..step(1) }
}

case! {
    /// Guards against time that no phase covers in the simplest case.
    a_job_that_starts_at_once_ran_for_nearly_all_its_time, world, {
        world.submit(job(vec![step(3)]));
        assert!(world.finish(LIMIT));
        let report = report(&mut world);
        assert_explained(&report);
        assert_eq!(report.verdict, Verdict::InTime);
        assert!(report.spans.of(Phase::Run) * 10 > report.took * 8, "{report:?}");
        assert_eq!(u64::from(report.spans.estimate), step(3).estimate_ms);
    }
}

case! {
    /// Guards against accounts that show the first step's tasks or the average of all tasks instead of those that
    /// delayed the job.
    the_chain_follows_the_step_that_ended_last, world, {
        let long = StepSpec { estimate_ms: 3_000, ..step(1) };
        let last = StepSpec { after: vec![0, 1], ..step(2) };
        world.submit(job(vec![step(1), long, last]));
        assert!(world.finish(LIMIT));
        let report = report(&mut world);
        assert_explained(&report);
        assert_eq!(u64::from(report.spans.estimate), 3_000 + step(1).estimate_ms);
    }
}

case! {
    /// Guards against waits for room that show as something else.
    a_wait_for_room_shows_as_one, world, {
        for _ in 0..4 {
            world.submit(job(vec![StepSpec { estimate_ms: 2_000, ..whole_worker() }]));
        }
        world.run(100);
        world.submit(job(vec![whole_worker()]));
        assert!(world.finish(LIMIT));
        let reports = reports(&mut world);
        let waited = reports.iter().filter(|r| r.spans.of(Phase::NoRoom) > 1_000);
        assert_eq!(waited.count(), 1, "{reports:?}");
        reports.iter().for_each(assert_explained);
    }
}

case! {
    /// Guards against the time before a takeover being counted as a wait under the new owner.
    the_time_of_an_earlier_owner_is_a_span_of_its_own, world, {
        world.submit(job(vec![StepSpec { estimate_ms: 2_000, ..step(4) }]));
        world.run(1_000);
        world.succeed();
        assert!(world.finish(LIMIT));
        let report = report(&mut world);
        assert_explained(&report);
        assert!(report.spans.of(Phase::Earlier) >= 1_000, "{report:?}");
    }
}

case! {
    /// Guards against accounts that end before clients are shown the end.
    a_wait_for_the_log_at_the_end_counts, world, {
        world.submit(job(vec![step(1)]));
        world.run(100);
        world.owner().logged = false;
        world.run(step(1).estimate_ms + 2_000);
        world.owner().logged = true;
        assert!(world.finish(LIMIT));
        let report = report(&mut world);
        assert_explained(&report);
        assert!(report.spans.of(Phase::Log) > 1_500, "{report:?}");
    }
}

case! {
    /// Guards against repeated jobs whose chains mix repetitions.
    a_repeated_job_tells_of_its_last_repetition, world, {
        let first_at = world.now + 500;
        let repeat = Some(Repeat { first_at, interval_ms: 5_000, count: 2 });
        world.submit(JobSpec { repeat, ..job(vec![step(2)]) });
        assert!(world.finish(LIMIT));
        let report = report(&mut world);
        assert!(report.spans.total() < 5_000, "{report:?}");
        assert!(report.spans.of(Phase::Run) > 0, "{report:?}");
    }
}

/// Runs jobs beside lost replies, late orders, crashes and takeovers.
fn drawn(seed: u64) -> Vec<EndedJob> {
    let mut world = World::new(seed, 6);
    world.faults = Faults { unanswered: 0.05, late: 0.03, queued: 0.03, outlive: false };
    let mut found = Vec::new();
    for at in 0..20 {
        let steps = vec![
            StepSpec { speculative: at % 3 == 0, has_checkpoints: at % 2 == 0, ..step(4) },
            StepSpec { after: vec![0], gang: at % 4 == 0, ..step(3) },
        ];
        let max_failures = world.rng.random_range(2..5);
        world.submit_as(job(steps), Policy { max_failures, ..policy() });
        world.run(300);
        if at == 8 {
            found.extend(world.owner().cell.take_reports());
            world.succeed();
        }
        if at % 7 == 3 {
            let victim: Arc<str> = world.workers.keys().next().unwrap().clone();
            world.crash(&victim);
            let failing = world.workers.values_mut().next_back().unwrap();
            failing.failing = at == 3;
        }
    }
    world.finish(LIMIT);
    found.extend(world.owner().cell.take_reports());
    assert_eq!(world.judge.broken, Vec::<String>::new());
    found
}

/// Guards against events that change a run without its account: whatever fails, all time is explained.
#[test]
fn all_time_is_explained_whatever_fails() {
    let reports: Vec<_> = (0..10).flat_map(drawn).collect();
    assert!(reports.len() > 150, "{} jobs ended", reports.len());
    reports.iter().for_each(assert_explained);
    for cause in [Phase::Failed, Phase::Lost] {
        assert!(reports.iter().any(|r| r.spans.of(cause) > 0), "no report shows {cause:?}");
    }
}
