//! An in-memory log for tests of the fold.

#![allow(dead_code)]

use myrtle_base::{GUARD, LEASE, Millis, Room, Stamp};
use myrtle_cell::{
    Batch, Cell, Deny, End, LeaseHolder, Op, Record, Snapshot, Spec, TaskId, Verdicts,
};
use myrtle_config::OnUnreachable;

/// A cell and the end of its stream.
#[derive(Debug, Default)]
pub struct Log {
    pub cell: Cell,
    pub offset: u64,
    pub time: Millis,
    seq: u64,
}

impl Log {
    /// A log with three hosts and `count` workers of 32 cores.
    pub fn with_workers(count: u64) -> Self {
        let mut log = Self::default();
        let hosts = ["s1", "s2", "s3"].map(String::from).to_vec();
        log.ok(Op::Genesis { hosts });
        for n in 0..count {
            log.ok(worker(n, 1));
        }
        log
    }

    /// A new batch, not appended yet.
    pub fn batch(&mut self, ops: Vec<Op>) -> Batch {
        self.seq += 1;
        let expires = self.time + Millis(20_000);
        Batch { writer: 1, seq: self.seq, expires, stamp: Stamp(0), ops }
    }

    /// Encodes, decodes and appends a batch.
    pub fn append(&mut self, batch: &Batch) -> Verdicts {
        let bytes = Record::Batch(batch.clone()).encode();
        let Some(Record::Batch(batch)) = Record::decode(&bytes) else { panic!("not a batch") };
        self.offset += 1;
        self.time += Millis(1);
        self.cell.fold(self.offset - 1, self.time, &batch)
    }

    /// Appends one command and returns its verdict.
    pub fn one(&mut self, op: Op) -> Result<(), Deny> {
        let batch = self.batch(vec![op]);
        self.append(&batch)[0]
    }

    /// Appends a command and asserts that it is accepted.
    pub fn ok(&mut self, op: Op) {
        let text = format!("{op:?}");
        assert_eq!(self.one(op), Ok(()), "{text}");
    }

    /// Advances the log time.
    pub fn pass(&mut self, time: Millis) {
        self.time += time;
        self.offset += 1;
        self.cell.skip(self.offset - 1, self.time);
    }

    /// A snapshot after encoding and decoding.
    pub fn snapshot(&self) -> Snapshot {
        let record = Record::Snapshot(Box::new(Snapshot { cell: self.cell.clone() }));
        match Record::decode(&record.encode()) {
            Some(Record::Snapshot(snapshot)) => *snapshot,
            _ => panic!("not a snapshot"),
        }
    }
}

pub fn room(cores: f64) -> Room {
    Room::new(cores, 1000, 0)
}

pub fn worker(n: u64, incarnation: u64) -> Op {
    let room = Room::new(32.0, 125_000, 1);
    Op::Worker { name: format!("w{n}"), rack: format!("r{}", n / 8), room, incarnation }
}

pub fn job(name: &str, tasks: u32, cores: f64) -> Op {
    job_with(name, tasks, cores, OnUnreachable::Yield)
}

pub fn job_with(name: &str, tasks: u32, cores: f64, on_unreachable: OnUnreachable) -> Op {
    let spec = Spec {
        customer: "helios".into(),
        class: "reports".into(),
        price: 1,
        kind: "report".into(),
        tasks,
        room: room(cores),
        run_time: Some(Millis(1000)),
        on_unreachable,
        failures: 5,
    };
    Op::Job { name: name.into(), version: 1, spec }
}

pub fn end(task: TaskId, attempt: u16, end: End) -> Op {
    Op::End { task, attempt, end }
}

/// Suspects a worker and returns the offset of the suspicion.
pub fn suspect_worker(log: &mut Log, no: u32) -> u64 {
    log.ok(Op::Suspect { holder: LeaseHolder::Worker(no) });
    log.offset - 1
}

/// Suspects a worker and declares it lapsed.
pub fn lapse_worker(log: &mut Log, no: u32) {
    let suspected = suspect_worker(log, no);
    log.pass(LEASE + GUARD);
    let consents = vec!["s1".into(), "s2".into()];
    log.ok(Op::Lapse { holder: LeaseHolder::Worker(no), suspected, consents });
}
