//! Mutated records of the owners' topics: a new owner reads those that decode and goes on with the other jobs.
//!
//! By hand: `PROPTEST_CASES=100000 cargo test --release -p myrtle-owner --test mutated`.

mod common;

use proptest::prelude::*;

use common::{World, job, listing, policy, step};
use myrtle_job::{
    Incarnation, JobId, Progress, StepSpec, Submission, Transfer, TransferId, WorkerRuns, decode,
    encode,
};
use myrtle_owner::{Cell, TimeLimits};

/// Mutations: positions and the bytes to store there.
type Mutations = Vec<(usize, u8)>;

/// Stores changed bytes in a record, and truncates it where a length is given.
fn mutate(record: &[u8], changes: &Mutations, cut: Option<usize>) -> Vec<u8> {
    let mut bytes = record.to_vec();
    for (at, byte) in changes {
        let at = at % bytes.len();
        bytes[at] = *byte;
    }
    if let Some(cut) = cut {
        bytes.truncate(cut % bytes.len());
    }
    bytes
}

/// A job of two steps, the second of them long-running.
fn submission() -> Submission {
    let second = StepSpec { long_running: true, after: vec![0], ..step(2) };
    Submission { policy: policy(), spec: job(vec![step(3), second]), accepted_at: 1 }
}

/// The encoded progress of a running job.
fn stored_progress() -> Vec<u8> {
    let mut world = World::new(3, 2);
    world.run(2_000);
    let id = world.submit(submission().spec);
    world.run(1_500);
    let all: Vec<_> = world.workers.keys().cloned().collect();
    world.crash(&all[0]);
    world.run(4_000);
    encode(&world.owner().cell.jobs[&id].progress)
}

/// Lets a new owner with two workers recover a job from these records beside an intact one, and act for a while;
/// returns the number of runs of the intact job.
fn recover(progress: Option<Progress>, part: Option<Transfer>) -> usize {
    let mut cell = Cell::new(TimeLimits::default(), 2, 1_000);
    let (mutated, intact) = (JobId(1), JobId(2));
    cell.admit(mutated, submission(), 1_000, 1_000);
    cell.admit(intact, submission(), 1_000, 1_000);
    if let Some(progress) = progress {
        cell.restore_progress(mutated, progress, 1_000);
    }
    if let Some(part) = part {
        cell.receive_transfer(TransferId { job: JobId(3), from: 1, number: 0 }, part, 1_000, 1_000);
    }
    cell.loaded = true;
    let workers = ["a", "b"].map(|id| Incarnation::new(id, 0));
    for now in (1_100..9_000).step_by(100) {
        for (n, incarnation) in workers.iter().enumerate() {
            cell.apply_listing(incarnation.id(), listing(n as u16), now);
            let held = WorkerRuns { clock_ms: now, ..WorkerRuns::default() };
            cell.renewed(incarnation, held, now, now, now);
        }
        cell.expire(now);
        cell.drain_leaving(now);
        cell.give_up(now, now);
        cell.begin_rounds(now, now);
        while cell.plan(now) {}
        let batch = cell.batch();
        cell.committed(batch, now);
        cell.deliveries();
    }
    cell.explain(mutated, 9_000);
    cell.jobs[&intact].runs(intact).len()
}

#[test]
fn losses_of_a_task_that_its_job_has_not_stop_neither_the_owner_nor_other_jobs() {
    let mut progress = Progress::read(&stored_progress()).unwrap();
    let task = myrtle_job::TaskId { job: JobId(1), round: 0, step: 117, index: 0 };
    for _ in 0..u8::MAX {
        progress.count_loss(task, None, true);
    }
    assert!(recover(Some(progress), None) > 0);
}

proptest! {
    #[test]
    fn a_mutated_progress_stops_neither_the_owner_nor_other_jobs(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        cut in prop::option::of(any::<usize>()),
    ) {
        thread_local!(static PROGRESS: Vec<u8> = stored_progress());
        let bytes = PROGRESS.with(|progress| mutate(progress, &changes, cut));
        prop_assert!(recover(Progress::read(&bytes).ok(), None) > 0);
    }

    #[test]
    fn a_mutated_transfer_stops_neither_the_owner_nor_other_jobs(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
    ) {
        let task = |index| myrtle_job::TaskId { job: JobId(3), round: 0, step: 1, index };
        let tasks = [0, 1].map(|i| myrtle_job::TransferredTask { task: task(i), last_run: 1, checkpoint: "c".into() });
        let (budgets, crashes, unbegun_losses) = (vec![], vec![], vec![]);
        let part = Transfer { submission: submission(), tasks: tasks.into(), budgets, crashes, unbegun_losses };
        let bytes = mutate(&encode(&part), &changes, None);
        prop_assert!(recover(None, Transfer::read(&bytes).ok()) > 0);
    }

    #[test]
    fn a_mutated_submission_stops_neither_the_owner_nor_other_jobs(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
    ) {
        let bytes = mutate(&encode(&submission()), &changes, None);
        let Ok(submission) = decode::<Submission>(&bytes) else {
            return Ok(());
        };
        let mut cell = Cell::new(TimeLimits::default(), 2, 1_000);
        cell.admit(JobId(1), submission, 1_000, 1_000);
        cell.loaded = true;
        while cell.plan(1_100) {}
        cell.batch();
    }
}
