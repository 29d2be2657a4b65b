//! Tasks of which equal neighbours are stored once behave as a list of tasks does, also in records.

use myrtle_job::{
    Fault, Incarnation, JobSpec, MAX_JOB_TASKS, Progress, Round, Run, Step, StepSpec, Task, Tasks,
    decode, encode, encode_compressed,
};
use rstest::rstest;

/// The largest record of the platform's store, in bytes.
const RECORD_BYTES: usize = 262_144;

/// A task that has run so often.
fn ran(times: u32) -> Task {
    Task { last_run: times, ..Task::default() }
}

/// A step of ten tasks with these runs by index.
fn tasks(changes: &[(usize, u32)]) -> (Tasks, Vec<Task>) {
    let (mut tasks, mut list) = (Tasks::fresh(10), vec![Task::default(); 10]);
    for &(index, times) in changes {
        *tasks.get_mut(index).unwrap() = ran(times);
        list[index] = ran(times);
    }
    (tasks, list)
}

#[rstest]
#[case::none(&[])]
#[case::first(&[(0, 1)])]
#[case::last(&[(9, 1)])]
#[case::middle(&[(4, 1)])]
#[case::neighbours(&[(4, 1), (5, 1), (3, 2)])]
#[case::again(&[(4, 1), (4, 2), (0, 1), (4, 0)])]
#[case::all_in_turn(&[(0, 1), (1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1), (7, 1), (8, 1), (9, 1)])]
#[case::all_backwards(&[(9, 1), (8, 1), (7, 1), (6, 1), (5, 1), (4, 1), (3, 1), (2, 1), (1, 1), (0, 1)])]
fn they_are_as_a_list(#[case] changes: &[(usize, u32)]) {
    let (mut tasks, mut list) = tasks(changes);
    assert_eq!((tasks.len(), tasks.is_empty()), (10, false));
    assert_eq!(tasks.iter().cloned().collect::<Vec<_>>(), list);
    assert!((0..10).all(|index| tasks[index] == list[index]) && tasks.get(10).is_none());
    let groups = tasks.groups().flat_map(|(indices, task)| indices.map(move |at| (at, task)));
    assert!(groups.eq(list.iter().enumerate()), "groups cover each task once");
    // Earlier builds read and write a list.
    assert_eq!(encode(&tasks), encode(&list));
    assert_eq!(decode::<Tasks>(&encode(&list)).unwrap(), tasks);
    tasks.iter_mut().for_each(|task| task.last_run += 1);
    list.iter_mut().for_each(|task| task.last_run += 1);
    assert_eq!(tasks.iter().cloned().collect::<Vec<_>>(), list);
}

#[test]
fn a_record_of_very_many_equal_tasks_is_stored_once() {
    let read: Tasks = decode(&encode(&vec![Task::default(); 60_000])).unwrap();
    assert_eq!((read.len(), read.groups().count()), (60_000, 1));
}

#[test]
fn tasks_that_have_become_equal_are_joined() {
    let mut tasks = Tasks::fresh(10_000);
    (0..10_000).for_each(|index| tasks[index] = Task { done: true, ..ran(1) });
    assert_eq!(tasks.groups().count(), 10_000);
    tasks.compact();
    assert_eq!((tasks.len(), tasks.groups().count()), (10_000, 1));
    assert!(tasks.iter().all(|task| task.done && task.last_run == 1));
}

/// A job of so many tasks in one step.
fn job(steps: usize, count: u16) -> JobSpec {
    let step = StepSpec { count, ..StepSpec::default() };
    JobSpec { steps: vec![step; steps], ..JobSpec::default() }
}

#[rstest]
#[case::one_step(job(1, 10_000), Ok(()))]
#[case::many_steps(job(1_000, 10), Ok(()))]
#[case::too_many(job(2, 5_001), Err(Fault::ManyTasks))]
#[case::far_too_many(job(1_000, 10_000), Err(Fault::ManyTasks))]
fn a_job_of_too_many_tasks_is_refused(#[case] spec: JobSpec, #[case] checked: Result<(), Fault>) {
    assert_eq!(spec.check_new(), checked);
    assert_eq!(spec.check(), Ok(()), "one that an earlier build accepted is known");
}

#[test]
fn the_record_of_the_largest_job_fits_in_the_store() {
    let spec = job(1, MAX_JOB_TASKS as u16);
    let mut round = Round::fresh(&spec);
    let Step { tasks, .. } = &mut round.steps[0];
    for (n, task) in tasks.iter_mut().enumerate() {
        let spread = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let worker = Incarnation::new(format!("i-{:010x}", n % 500), 1_786_508_800_000);
        task.last_run = 1;
        task.active.push(Run { number: 1, worker });
        task.checkpoint = format!("{spread:016x}");
    }
    let mut progress = Progress::default();
    progress.rounds.insert(0, round);
    let size = encode_compressed(&progress).len();
    assert!(size < RECORD_BYTES, "{size} bytes");
}
