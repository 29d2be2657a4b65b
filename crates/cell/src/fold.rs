//! Applies records to the state in log order.

use myrtle_base::{GUARD, LEASE, Millis};

use crate::{Batch, Cell, Deny, Health, Op, Snapshot, Subject};

/// How long a writer's last sequence number is remembered, in log time: longer than until any batch expires, so that
/// a repeated batch is always recognised.
const WRITER_RETENTION: Millis = Millis(10 * 60 * 1000);

/// The verdict on each command of a batch.
pub type Verdicts = Vec<Result<(), Deny>>;

impl Cell {
    /// Applies the batch at `offset`, which the log received at `time`.
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

    /// Skips a record without commands; `time` is when the log received it.
    pub fn pass(&mut self, offset: u64, time: Millis) {
        self.next = self.next.max(offset + 1);
        self.now = self.now.max(time);
        let now = self.now;
        self.writers.retain(|_, w| now.since(w.1) < WRITER_RETENTION);
        self.forget_jobs();
    }

    /// Replaces the state by a newer snapshot; false if `snapshot` is not newer.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let newer = snapshot.cell.next > self.next;
        if newer {
            *self = snapshot.cell;
        }
        newer
    }

    /// Whether a batch of this writer was applied, by which a writer recovers from a lost answer.
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
            Op::Genesis { hosts } => self.set_voters(hosts),
            Op::Worker { name, rack, room, boot } => self.add_worker(name, rack, room, *boot),
            Op::Drain { worker, on } => self.set_draining(*worker, *on),
            Op::Job { name, version, spec } => self.add_job(name, *version, spec),
            Op::Remove { name, version } => self.remove_job(name, *version),
            Op::Cancel { jobs } => self.cancel_all(jobs),
            Op::Claim { task, attempt, worker } => self.claim(*task, *attempt, *worker),
            Op::Started { task, attempt } => self.started(*task, *attempt),
            Op::Mark { task, attempt, checkpoint } => self.mark(*task, *attempt, *checkpoint),
            Op::Stop { task, attempt, why } => self.stop(*task, *attempt, *why),
            Op::End { task, attempt, end } => self.end(*task, *attempt, *end),
            Op::Resize { job, room } => self.resize_job(*job, room),
            Op::Release { task } => self.release(*task),
            Op::Gate { name, boot } => self.add_gate(name, *boot),
            Op::Leave { gate, boot } => self.leave_gate(gate, *boot),
            Op::Keep { unit, gate } => self.assign_unit(unit, gate),
            Op::Hand { unit, from, to } => self.reassign_unit(unit, from, to),
            Op::Suspect { subject } => self.suspect(offset, subject),
            Op::Clear { subject } => self.clear(subject),
            Op::Lapse { subject, suspected, consents } => self.lapse(subject, *suspected, consents),
            Op::Used { gate, boot, party, class, requests, busy } => {
                self.count_usage(gate, *boot, (party, class), *requests, *busy)
            }
        }
    }

    fn set_voters(&mut self, hosts: &[String]) -> Result<(), Deny> {
        if !self.voters.is_empty() {
            return Err(Deny::VotersSet);
        }
        self.voters = hosts.iter().cloned().collect();
        Ok(())
    }

    fn cancel_all(&mut self, jobs: &[u32]) -> Result<(), Deny> {
        let mut verdict = Err(Deny::Missing);
        for no in jobs {
            if self.cancel_job(*no).is_ok() {
                verdict = Ok(());
            }
        }
        verdict
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

    fn lapse(
        &mut self,
        subject: &Subject,
        suspected: u64,
        consents: &[String],
    ) -> Result<(), Deny> {
        let now = self.now;
        let has_majority = self.majority(consents);
        let health = self.health_mut(subject).ok_or(Deny::Missing)?;
        let Health::Suspect { offset, since } = *health else { return Err(Deny::State) };
        if offset != suspected {
            return Err(Deny::Old);
        }
        if now.since(since) < LEASE + GUARD {
            return Err(Deny::Early);
        }
        if !has_majority {
            return Err(Deny::Minority);
        }
        *health = Health::Lapsed;
        match subject {
            Subject::Worker(no) => self.free_worker(*no, false),
            // Its last lease ended at least one guard time ago.
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
