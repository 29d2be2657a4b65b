//! Records that an owner puts into other cells' logs, each after its own log holds the transfer.

use myrtle_job::{JobId, Key, OutgoingTransfer, Transfer, TransferId, TransferredTask, encode};

use crate::{Cell, Job};

/// A record to be put into another cell's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Delivery {
    /// Its key in that log.
    pub key: Key,
    /// The number of the cell.
    pub to: u32,
    /// The encoded record.
    pub record: Vec<u8>,
}

impl Cell {
    /// Takes the records to be put into other cells' logs; each is returned once while it is being
    /// sent.
    pub fn deliveries(&mut self) -> Vec<Delivery> {
        let due = std::mem::take(&mut self.to_deliver);
        let unsent: Vec<_> = due.into_iter().filter(|key| self.sending.insert(*key)).collect();
        unsent.into_iter().filter_map(|key| self.delivery(key)).collect()
    }

    /// Marks a record as held by the other cell's log.
    pub fn delivered(&mut self, key: Key) {
        self.sending.remove(&key);
        let Some(job) = self.jobs.get_mut(&key.job()) else {
            return;
        };
        let progress = &mut job.progress;
        let flag = match key {
            Key::Job(_) => progress.job_transfer.as_mut().map(|m| &mut m.delivered),
            Key::Transfer(transfer) => progress.outgoing_mut(transfer).map(|h| &mut h.delivered),
            Key::Recall(transfer) => progress.outgoing_mut(transfer).map(|h| &mut h.recalled),
        };
        if let Some(flag) = flag.filter(|flag| !**flag) {
            *flag = true;
            self.dirty.insert(key.job());
        }
    }

    /// The keys of a job's records that other cells may not have yet.
    pub(crate) fn undelivered(&self, id: JobId, job: &Job) -> Vec<Key> {
        let Job { progress, .. } = job;
        let moved = progress.job_transfer.filter(|m| !m.delivered).map(|_| Key::Job(id));
        let over = progress.state.over();
        let outgoing = progress.outgoing.iter().zip(0..).filter_map(|(outgoing, number)| {
            let transfer = TransferId { job: id, from: self.number, number };
            match over {
                true => (!outgoing.recalled).then_some(Key::Recall(transfer)),
                false => (!outgoing.delivered).then_some(Key::Transfer(transfer)),
            }
        });
        moved.into_iter().chain(outgoing).collect()
    }

    fn delivery(&self, key: Key) -> Option<Delivery> {
        let job = self.jobs.get(&key.job())?;
        let (to, record) = match key {
            Key::Job(_) => (job.progress.job_transfer?.to, encode(&job.submission)),
            Key::Transfer(transfer) => {
                let outgoing = job.progress.outgoing(transfer)?;
                (outgoing.to, encode(&transfer_record(job, outgoing)))
            }
            Key::Recall(transfer) => (job.progress.outgoing(transfer)?.to, encode(&())),
        };
        Some(Delivery { key, to, record })
    }
}

/// The transfer record for some tasks of a job.
fn transfer_record(job: &Job, outgoing: &OutgoingTransfer) -> Transfer {
    let tasks = outgoing.tasks.iter().filter_map(|&task| {
        let record = job.progress.task(task)?;
        Some(TransferredTask {
            task,
            last_run: record.last_run,
            checkpoint: record.checkpoint.clone(),
        })
    });
    let counted = outgoing.tasks.iter().filter_map(|task| job.progress.crashes.get_key_value(task));
    let unbegun = &job.progress.unbegun_losses;
    let unbegun = outgoing.tasks.iter().filter_map(|task| unbegun.get_key_value(task));
    Transfer {
        submission: job.submission.clone(),
        tasks: tasks.collect(),
        budgets: outgoing.budgets.clone(),
        crashes: counted.map(|(&task, &crashes)| (task, crashes)).collect(),
        unbegun_losses: unbegun.map(|(&task, &losses)| (task, losses)).collect(),
    }
}
