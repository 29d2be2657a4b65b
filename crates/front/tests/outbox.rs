//! Records for other cells: how many go with an append, and what becomes of those that the store rejects.

use myrtle_front::Outbox;
use myrtle_job::{JobId, Key};
use myrtle_owner::Delivery;

/// A record of a job for cell 1.
fn record(job: u64, bytes: usize) -> Delivery {
    Delivery { key: Key::Job(JobId(job)), to: 1, record: vec![0; bytes] }
}

/// The jobs of a batch.
fn jobs(batch: &[Delivery]) -> Vec<u64> {
    batch.iter().map(|d| d.key.job().0).collect()
}

#[test]
fn what_waits_goes_with_one_append() {
    let mut outbox = Outbox::default();
    assert!(outbox.add(record(1, 10)));
    assert!(!outbox.add(record(2, 10)));
    assert_eq!(jobs(&outbox.next(1)), [1, 2]);
    // While it goes on, no second one is begun.
    assert!(!outbox.add(record(3, 10)));
    outbox.succeeded(1);
    assert_eq!(jobs(&outbox.next(1)), [3]);
    assert!(outbox.next(1).is_empty());
    assert!(outbox.add(record(4, 10)));
}

#[test]
fn an_append_stays_below_the_limit_of_a_call() {
    let mut outbox = Outbox::default();
    for job in 0..20 {
        outbox.add(record(job, 200_000));
    }
    let mut seen = Vec::new();
    loop {
        let batch = outbox.next(1);
        if batch.is_empty() {
            break;
        }
        assert!(batch.iter().map(|d| d.record.len()).sum::<usize>() <= 1 << 20);
        seen.extend(jobs(&batch));
    }
    assert_eq!(seen, (0..20).collect::<Vec<_>>());
}

#[test]
fn records_of_a_failed_append_come_first_after_a_growing_pause() {
    let mut outbox = Outbox::default();
    for job in 0..3 {
        outbox.add(record(job, 10));
    }
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let batch = outbox.next(1);
        assert_eq!(jobs(&batch), [0, 1, 2]);
        pauses.push(outbox.failed(1, batch, false).as_millis());
    }
    assert_eq!(pauses, [100, 200, 400, 800, 800]);
    outbox.next(1);
    outbox.succeeded(1);
    outbox.add(record(9, 10));
    let batch = outbox.next(1);
    assert_eq!(outbox.failed(1, batch, false).as_millis(), 100);
}

// Guards against one record that the store rejects for good and that holds up all others.
#[test]
fn a_record_that_is_rejected_holds_up_no_other() {
    let mut outbox = Outbox::default();
    for job in 0..40 {
        outbox.add(record(job, 10));
    }
    let mut seen = Vec::new();
    let mut appends = 0;
    while seen.len() < 39 {
        let batch = outbox.next(1);
        appends += 1;
        assert!(appends < 40, "{seen:?}");
        if jobs(&batch).contains(&17) {
            outbox.failed(1, batch, true);
        } else {
            seen.extend(jobs(&batch));
            outbox.succeeded(1);
        }
    }
    seen.sort_unstable();
    assert!(!seen.contains(&17));
    assert_eq!(jobs(&outbox.next(1)), [17]);
}
