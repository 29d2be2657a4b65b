//! Ids, validation, critical paths and records of jobs.

use std::collections::BTreeMap;

use rstest::rstest;

use myrtle_base::Room;
use myrtle_job::{
    Crashes, Fault, Incarnation, IncomingTransfer, JobId, JobSpec, JobTransfer, Key, Listing, Loss,
    OutgoingTransfer, Progress, Round, Run, State, Step, StepBudget, StepSpec, Submission, Task,
    TaskId, Transfer, TransferId, TransferredTask, decode, encode, encode_compressed,
};

fn step(count: u16, estimate_ms: u64, after: &[u16]) -> StepSpec {
    StepSpec { count, estimate_ms, after: after.to_vec(), ..StepSpec::default() }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { body: "b".into(), steps, repeat: None }
}

#[rstest]
#[case::plain("5c0e7a21d94b36f8.0.1.17")]
#[case::zeros("0000000000000000.4294967295.65535.0")]
fn a_task_id_survives_a_round_trip(#[case] name: &str) {
    let id: TaskId = name.parse().unwrap();
    assert_eq!(id.to_string(), name);
}

#[rstest]
#[case::short("5c0e7a21d94b36f.0.1.17")]
#[case::capitals("5C0E7A21D94B36F8.0.1.17")]
#[case::few("5c0e7a21d94b36f8.0.1")]
#[case::many("5c0e7a21d94b36f8.0.1.17.2")]
#[case::letters("5c0e7a21d94b36f8.0.x.17")]
#[case::empty("")]
fn an_invalid_task_id_is_refused(#[case] name: &str) {
    assert!(name.parse::<TaskId>().is_err());
}

#[rstest]
#[case::job("5c0e7a21d94b36f8", "5c0e7a21d94b36f8")]
#[case::transfer("5c0e7a21d94b36f8_3.17", "5c0e7a21d94b36f8")]
#[case::recall("5c0e7a21d94b36f8~0.0", "5c0e7a21d94b36f8")]
fn a_record_key_survives_a_round_trip(#[case] name: &str, #[case] job: &str) {
    let key: Key = name.parse().unwrap();
    assert_eq!((key.to_string(), key.job().to_string()), (name.to_string(), job.to_string()));
}

#[rstest]
#[case::no_number("5c0e7a21d94b36f8_3")]
#[case::no_cell("5c0e7a21d94b36f8_.3")]
#[case::short("5c0e7a21d94b36_1.3")]
#[case::letters("5c0e7a21d94b36f8~x.3")]
fn an_invalid_key_is_refused(#[case] name: &str) {
    assert!(name.parse::<Key>().is_err());
}

#[rstest]
#[case::no_steps(job(vec![]), Fault::NoSteps)]
#[case::no_tasks(job(vec![step(0, 1, &[])]), Fault::Tasks { step: 0 })]
#[case::itself(job(vec![step(1, 1, &[0])]), Fault::Order { step: 0 })]
#[case::later(job(vec![step(1, 1, &[]), step(1, 1, &[2]), step(1, 1, &[])]), Fault::Order { step: 1 })]
#[case::long(JobSpec { body: "x".repeat(4001).into(), ..job(vec![step(1, 1, &[])]) }, Fault::LongBody)]
fn an_invalid_job_is_refused(#[case] spec: JobSpec, #[case] fault: Fault) {
    assert_eq!(spec.check(), Err(fault));
}

#[test]
fn the_critical_path_counts_steps_that_are_not_done() {
    let spec = job(vec![step(1, 100, &[]), step(1, 500, &[]), step(1, 50, &[0, 1])]);
    assert_eq!(spec.critical_path(|_| false), 550);
    assert_eq!(spec.critical_path(|s| s == 1), 150);
    assert_eq!(spec.critical_path(|_| true), 0);
}

#[test]
fn a_step_is_ready_once_its_dependencies_are_done() {
    let spec = job(vec![step(2, 1, &[]), step(1, 1, &[0])]);
    let mut round = Round::fresh(&spec);
    assert!(round.ready(&spec, 0) && !round.ready(&spec, 1));
    round.steps[0].tasks.iter_mut().for_each(|t| t.done = true);
    assert!(round.ready(&spec, 1) && !round.done());
}

#[test]
fn records_survive_a_round_trip() {
    let spec = job(vec![step(3, 10, &[])]);
    let submission = Submission { spec: spec.clone(), accepted_at: 7, ..Submission::default() };
    assert_eq!(decode::<Submission>(&encode(&submission)).unwrap(), submission);
    let mut progress = Progress::default();
    let mut round = Round::fresh(&spec);
    let active = vec![Run { number: 2, worker: Incarnation::new("w", 1_700_000_000_123) }];
    round.steps[0].tasks[1] = Task { last_run: 2, failed_runs: vec![1], active, ..Task::default() };
    progress.rounds.insert(0, round);
    assert_eq!(decode::<Progress>(&encode(&progress)).unwrap(), progress);
}

/// Records of earlier versions hold an id without a start time.
#[rstest]
#[case::with_start("i-8da5200773@1786508893645", "i-8da5200773", 1_786_508_893_645)]
#[case::without_start("i-8da5200773", "i-8da5200773", 0)]
#[case::an_id_with_the_separator("a@b", "a@b", 0)]
#[case::an_id_with_the_separator_and_a_start("a@b@7", "a@b", 7)]
#[case::empty("", "", 0)]
fn an_incarnation_survives_a_round_trip(#[case] text: &str, #[case] id: &str, #[case] start: u64) {
    let incarnation: Incarnation = text.parse().unwrap();
    assert_eq!((&**incarnation.id(), incarnation.start()), (id, start));
    assert_eq!(incarnation.to_string(), text);
    assert_eq!(decode::<Incarnation>(&encode(&incarnation)).unwrap(), incarnation);
    assert_eq!(decode::<Incarnation>(&encode(&text)).unwrap(), incarnation);
}

#[test]
fn a_worker_description_survives_a_round_trip() {
    let listing = Listing {
        service: "s12".into(),
        address: ([10, 0, 3, 21], 7001).into(),
        data_centre: "eu-1a".into(),
        draining: false,
        remaining_ms: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec!["kind-2".into(), "r1-3".into()],
        machine: Some("m-17".into()),
        version: String::new(),
        offset: 300_000,
        warmup_ms: 0,
        started_at: 0,
    };
    let record = encode(&listing);
    assert_eq!(decode::<Listing>(&record).unwrap(), listing);
    assert!(
        record.len() < 100,
        "one is written for each incarnation of a worker: {} bytes",
        record.len()
    );
}

#[rstest]
#[case::empty(&[])]
#[case::version(&[9, 1, 2])]
#[case::truncated(&[1])]
fn an_invalid_record_is_an_error(#[case] bytes: &[u8]) {
    assert!(decode::<Submission>(bytes).is_err());
}

#[test]
fn a_run_counts_as_failed_once() {
    let mut task = Task::default();
    assert!(task.add_failure(3));
    assert!(!task.add_failure(3));
    assert_eq!(Step::fresh(2).tasks.len(), 2);
}

#[test]
fn jobs_with_consecutive_ids_spread_over_cells() {
    let mut cells = [0; 4];
    (0..4000).for_each(|n| cells[(JobId(n).spread() % 4) as usize] += 1);
    assert!(cells.iter().all(|&n| n > 800), "{cells:?}");
}

#[test]
fn records_without_disruption_budgets_are_read() {
    let task = TaskId { job: JobId(7), round: 0, step: 0, index: 3 };
    let outgoing = vec![(4u32, vec![task], 0u32, true, false)];
    let rounds: BTreeMap<u32, Round> = BTreeMap::new();
    let incoming: Vec<(TransferId, Vec<TaskId>, u32)> = Vec::new();
    let job_transfer: Option<JobTransfer> = None;
    let old =
        encode(&(State::Running, rounds, 1u32, 0u64, job_transfer, outgoing, incoming, false));
    let read = Progress::read(&old).unwrap();
    assert!(read.is_transferred(task));
    assert_eq!((read.outgoing[0].to, read.budget(0, 2)), (4, 2));

    let old = encode(&(Submission::default(), vec![(task, 2u32, "saved")]));
    let transfer = Transfer::read(&old).unwrap();
    assert_eq!((transfer.tasks[0].last_run, transfer.budgets.len()), (2, 0));
}

/// Guards against records of earlier versions that are not read, and of this version that earlier ones can't read:
/// the layout only grows at its end.
#[test]
fn records_without_unbegun_losses_are_read() {
    type OldProgress = (
        State,
        BTreeMap<u32, Round>,
        u32,
        u64,
        Option<JobTransfer>,
        Vec<OutgoingTransfer>,
        Vec<IncomingTransfer>,
        bool,
        BTreeMap<TaskId, Crashes>,
    );
    let task = TaskId { job: JobId(7), round: 0, step: 0, index: 3 };
    let mut progress = Progress { state: State::Running, ..Progress::default() };
    let loss = Some(Loss { age_ms: 10, early: true, isolated: true });
    for _ in 0..3 {
        progress.count_loss(task, loss, false);
    }
    progress.settled_runs.insert(task, 4);
    let (losses, unbegun) = (progress.crashes[&task], progress.unbegun_losses[&task]);
    assert_eq!((losses.suspect_losses, unbegun, progress.begun_losses(task)), (3, 3, 0));
    assert!(!progress.given_up(task), "no run is known to have begun");
    assert_eq!(Progress::read(&encode(&progress)).unwrap(), progress);

    let old: OldProgress = decode(&encode(&progress)).expect("an earlier version reads its part");
    assert_eq!(old.8[&task], losses);
    let read = Progress::read(&encode(&old)).unwrap();
    assert_eq!((read.begun_losses(task), read.given_up(task)), (3, true));

    assert_eq!(read.settled_runs, BTreeMap::new());
    progress.forget_settled_runs();
    assert_eq!(progress.settled_runs, BTreeMap::new(), "run 4 has ended");

    let transfer = Transfer {
        submission: Submission::default(),
        tasks: Vec::new(),
        budgets: Vec::new(),
        crashes: vec![(task, losses)],
        unbegun_losses: vec![(task, unbegun)],
    };
    assert_eq!(Transfer::read(&encode(&transfer)).unwrap(), transfer);
    type OldTransfer = (Submission, Vec<TransferredTask>, Vec<StepBudget>, Vec<(TaskId, Crashes)>);
    let old: OldTransfer = decode(&encode(&transfer)).expect("an earlier version reads its part");
    let read = Transfer::read(&encode(&old)).unwrap();
    assert_eq!((read.crashes, read.unbegun_losses), (transfer.crashes, Vec::new()));
}

/// The progress of a job of two steps of 40 tasks; those of the second run on 40 workers.
fn wide_job() -> Progress {
    let spec = job(vec![step(40, 10, &[]), step(40, 10, &[0])]);
    let mut round = Round::fresh(&spec);
    round.steps[0].tasks.iter_mut().for_each(|t| (t.done, t.last_run) = (true, 1));
    for (n, task) in round.steps[1].tasks.iter_mut().enumerate() {
        let spread = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = format!("i-{:010x}", spread >> 24);
        let worker = Incarnation::new(id, 1_786_508_800_000 + (spread >> 48));
        *task = Task { last_run: 1, active: vec![Run { number: 1, worker }], ..Task::default() };
    }
    Progress { rounds: BTreeMap::from([(0, round)]), state: State::Running, ..Progress::default() }
}

#[test]
fn compression_halves_a_record_of_many_tasks() {
    let progress = wide_job();
    let (plain, compressed) = (encode(&progress), encode_compressed(&progress));
    assert!(2 * compressed.len() <= plain.len(), "{} of {} bytes", compressed.len(), plain.len());
    assert_eq!(Progress::read(&compressed).unwrap(), progress);
    assert_eq!(Progress::read(&plain).unwrap(), progress, "uncompressed records are read");
}

#[test]
fn compression_never_makes_a_record_longer() {
    let short = JobTransfer { to: 3, delivered: true };
    assert_eq!(encode_compressed(&short), encode(&short));
    let progress = Progress::default();
    assert!(encode_compressed(&progress).len() <= encode(&progress).len());
}

#[test]
fn a_truncated_or_changed_record_is_refused() {
    let compressed = encode_compressed(&wide_job());
    for cut in [1, 2, compressed.len() / 2, compressed.len() - 1] {
        assert!(Progress::read(&compressed[..cut]).is_err(), "{cut} bytes");
    }
    let mut changed = compressed.clone();
    changed[1] = 0xff;
    assert!(Progress::read(&changed).is_err());
}
