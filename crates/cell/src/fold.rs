//! Folds records in the order of the log.

use myrtle_base::{GUARD, LEASE, Millis};

use crate::{Batch, Cell, Deny, Health, Op, Snapshot, Subject};

/// How long a writer's last number is remembered, in log time.
///
/// Longer than any batch's deadline lies ahead, so a repeated batch is always recognised.
const WRITER_KEPT: Millis = Millis(10 * 60 * 1000);

/// What the fold said to each command of a batch.
pub type Verdicts = Vec<Result<(), Deny>>;

impl Cell {
    /// Folds the batch at `offset`, which the log took in at `time`.
    pub fn fold(&mut self, offset: u64, time: Millis, batch: &Batch) -> Verdicts {
        if offset < self.next {
            return vec![Err(Deny::Repeated); batch.ops.len()];
        }
        self.pass(offset, time);
        if let Some(deny) = self.repeated(batch) {
            return vec![Err(deny); batch.ops.len()];
        }
        self.writers.insert(batch.writer, (batch.seq, self.now));
        batch.ops.iter().map(|op| self.apply(offset, op)).collect()
    }

    /// Passes over a record that holds no commands.
    pub fn pass(&mut self, offset: u64, time: Millis) {
        self.next = self.next.max(offset + 1);
        self.now = self.now.max(time);
        let now = self.now;
        self.writers.retain(|_, w| now.since(w.1) < WRITER_KEPT);
        self.forget_jobs();
    }

    /// Takes in a snapshot, unless it is older than this state.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let newer = snapshot.cell.next > self.next;
        if newer {
            *self = snapshot.cell;
        }
        newer
    }

    /// Whether a batch of this writer was folded, so that a lost answer can be found again.
    pub fn folded(&self, writer: u64, seq: u64) -> bool {
        self.writers.get(&writer).is_some_and(|w| w.0 >= seq)
    }

    fn repeated(&self, batch: &Batch) -> Option<Deny> {
        if self.folded(batch.writer, batch.seq) {
            return Some(Deny::Repeated);
        }
        (self.now > batch.expires).then_some(Deny::Expired)
    }

    fn apply(&mut self, offset: u64, op: &Op) -> Result<(), Deny> {
        match op {
            Op::Genesis { hosts } => self.name_hosts(hosts),
            Op::Worker { name, rack, room, boot } => self.enter_worker(name, rack, room, *boot),
            Op::Drain { worker, on } => self.drain(*worker, *on),
            Op::Job { name, version, spec } => self.enter_job(name, *version, spec),
            Op::Remove { name, version } => self.remove_job(name, *version),
            Op::Cancel { jobs } => self.cancel_all(jobs),
            Op::Claim { task, attempt, worker } => self.claim(*task, *attempt, *worker),
            Op::Started { task, attempt } => self.started(*task, *attempt),
            Op::Mark { task, attempt, checkpoint } => self.mark(*task, *attempt, *checkpoint),
            Op::Stop { task, attempt, why } => self.stop(*task, *attempt, *why),
            Op::End { task, attempt, end } => self.end(*task, *attempt, *end),
            Op::Resize { job, room } => self.resize_job(*job, room),
            Op::Release { task } => self.release(*task),
            Op::Gate { name, boot } => self.enter_gate(name, *boot),
            Op::Leave { gate, boot } => self.leave(gate, *boot),
            Op::Keep { unit, gate } => self.keep(unit, gate),
            Op::Hand { unit, from, to } => self.hand(unit, from, to),
            Op::Suspect { subject } => self.suspect(offset, subject),
            Op::Clear { subject } => self.clear(subject),
            Op::Lapse { subject, suspected, consents } => self.lapse(subject, *suspected, consents),
            Op::Used { gate, boot, party, class, requests, busy } => {
                self.count(gate, *boot, (party, class), *requests, *busy)
            }
        }
    }

    fn name_hosts(&mut self, hosts: &[String]) -> Result<(), Deny> {
        if !self.voters.is_empty() {
            return Err(Deny::Named);
        }
        self.voters = hosts.iter().cloned().collect();
        Ok(())
    }

    fn cancel_all(&mut self, jobs: &[u32]) -> Result<(), Deny> {
        let mut found = Err(Deny::Missing);
        for no in jobs {
            if self.cancel_job(*no).is_ok() {
                found = Ok(());
            }
        }
        found
    }

    fn suspect(&mut self, offset: u64, subject: &Subject) -> Result<(), Deny> {
        let since = self.now;
        let health = self.health_mut(subject).ok_or(Deny::Missing)?;
        if *health != Health::Up {
            return Err(Deny::State);
        }
        *health = Health::Suspect { offset, since };
        Ok(())
    }

    fn clear(&mut self, subject: &Subject) -> Result<(), Deny> {
        let health = self.health_mut(subject).ok_or(Deny::Missing)?;
        if !matches!(health, Health::Suspect { .. }) {
            return Err(Deny::State);
        }
        *health = Health::Up;
        Ok(())
    }

    fn lapse(&mut self, subject: &Subject, at: u64, consents: &[String]) -> Result<(), Deny> {
        let now = self.now;
        let enough = self.majority(consents);
        let health = self.health_mut(subject).ok_or(Deny::Missing)?;
        let Health::Suspect { offset, since } = *health else { return Err(Deny::State) };
        if offset != at {
            return Err(Deny::Old);
        }
        if now.since(since) < LEASE + GUARD {
            return Err(Deny::Early);
        }
        if !enough {
            return Err(Deny::Minority);
        }
        *health = Health::Lapsed;
        match subject {
            Subject::Worker(no) => self.free_worker(*no, false),
            // Its last lease ended a guard ago at the latest.
            Subject::Gate(name) => self.free_units(name, now - GUARD),
        }
        Ok(())
    }

    fn health_mut(&mut self, subject: &Subject) -> Option<&mut Health> {
        match subject {
            Subject::Worker(no) => self.workers.get_mut(*no as usize).map(|w| &mut w.health),
            Subject::Gate(name) => self.gates.get_mut(name).map(|g| &mut g.health),
        }
    }
}
