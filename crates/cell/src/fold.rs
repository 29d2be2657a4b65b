//! Applies records to the state in log order.

use myrtle_base::{GUARD, LEASE, Millis};

use crate::{Batch, Cell, Deny, Health, LeaseHolder, Op, Snapshot};

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
        self.skip(offset, time);
        if let Some(deny) = self.repeated(batch) {
            return vec![Err(deny); batch.ops.len()];
        }
        self.writers.insert(batch.writer, (batch.seq, self.now));
        batch.ops.iter().map(|op| self.apply(offset, op)).collect()
    }

    /// Skips a record without commands; `time` is when the log received it.
    pub fn skip(&mut self, offset: u64, time: Millis) {
        self.next = self.next.max(offset + 1);
        self.now = self.now.max(time);
        let now = self.now;
        self.writers.retain(|_, w| now.since(w.1) < WRITER_RETENTION);
        self.forget_jobs();
    }

    /// Replaces the state by a newer snapshot; false if `snapshot` is not newer.
    pub fn catch_up(&mut self, snapshot: Snapshot) -> bool {
        let newer = snapshot.cell.next > self.next;
        if newer {
            *self = snapshot.cell;
        }
        newer
    }

    /// Whether a batch of this writer was applied, by which a writer recovers from a lost answer.
    pub fn is_applied(&self, writer: u64, seq: u64) -> bool {
        self.writers.get(&writer).is_some_and(|w| w.0 >= seq)
    }

    fn repeated(&self, batch: &Batch) -> Option<Deny> {
        if self.is_applied(batch.writer, batch.seq) {
            return Some(Deny::Repeated);
        }
        (self.now > batch.expires).then_some(Deny::Expired)
    }

    fn apply(&mut self, offset: u64, op: &Op) -> Result<(), Deny> {
        match op {
            Op::Genesis { hosts } => self.set_voters(hosts),
            Op::Worker { name, rack, room, incarnation } => {
                self.add_worker(name, rack, room, *incarnation)
            }
            Op::Drain { worker, on } => self.set_draining(*worker, *on),
            Op::Job { name, version, spec } => self.add_job(name, *version, spec),
            Op::Remove { name, version } => self.remove_job(name, *version),
            Op::Cancel { jobs } => self.cancel_all(jobs),
            Op::Claim { task, attempt, worker } => self.claim(*task, *attempt, *worker),
            Op::Started { task, attempt } => self.started(*task, *attempt),
            Op::Checkpoint { task, attempt, checkpoint } => {
                self.checkpoint(*task, *attempt, *checkpoint)
            }
            Op::Stop { task, attempt, reason } => self.stop(*task, *attempt, *reason),
            Op::End { task, attempt, end } => self.end(*task, *attempt, *end),
            Op::Resize { job, room } => self.resize_job(*job, room),
            Op::Release { task } => self.release(*task),
            Op::Gate { name, incarnation } => self.add_gate(name, *incarnation),
            Op::Leave { gate, incarnation } => self.leave_gate(gate, *incarnation),
            Op::Assign { resource, gate } => self.assign_resource(resource, gate),
            Op::Reassign { resource, from, to } => self.reassign_resource(resource, from, to),
            Op::Suspect { holder } => self.suspect(offset, holder),
            Op::Clear { holder } => self.clear(holder),
            Op::Lapse { holder, suspected, consents } => self.lapse(holder, *suspected, consents),
            Op::Used { gate, incarnation, customer, class, requests, busy } => {
                self.count_usage(gate, *incarnation, (customer, class), *requests, *busy)
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

    fn suspect(&mut self, offset: u64, holder: &LeaseHolder) -> Result<(), Deny> {
        let since = self.now;
        let health = self.health_mut(holder).ok_or(Deny::Missing)?;
        if *health != Health::Up {
            return Err(Deny::State);
        }
        *health = Health::Suspect { offset, since };
        Ok(())
    }

    fn clear(&mut self, holder: &LeaseHolder) -> Result<(), Deny> {
        let health = self.health_mut(holder).ok_or(Deny::Missing)?;
        if !matches!(health, Health::Suspect { .. }) {
            return Err(Deny::State);
        }
        *health = Health::Up;
        Ok(())
    }

    fn lapse(
        &mut self,
        holder: &LeaseHolder,
        suspected: u64,
        consents: &[String],
    ) -> Result<(), Deny> {
        let now = self.now;
        let has_majority = self.majority(consents);
        let health = self.health_mut(holder).ok_or(Deny::Missing)?;
        let Health::Suspect { offset, since } = *health else { return Err(Deny::State) };
        if offset != suspected {
            return Err(Deny::Outdated);
        }
        if now.since(since) < LEASE + GUARD {
            return Err(Deny::Early);
        }
        if !has_majority {
            return Err(Deny::Minority);
        }
        *health = Health::Lapsed;
        match holder {
            LeaseHolder::Worker(no) => self.free_worker(*no, false),
            // Its last lease ended at least one guard time ago.
            LeaseHolder::Gate(name) => self.free_resources(name, now - GUARD),
        }
        Ok(())
    }

    fn health_mut(&mut self, holder: &LeaseHolder) -> Option<&mut Health> {
        match holder {
            LeaseHolder::Worker(no) => self.workers.get_mut(*no as usize).map(|w| &mut w.health),
            LeaseHolder::Gate(name) => self.gates.get_mut(name).map(|g| &mut g.health),
        }
    }
}
