//! Workers that fail, stall or slow down what they run.

use log::warn;

use myrtle_job::{How, Incarnation, TaskId};

use crate::{Cell, Stage};

/// Failed ends in a row that set a worker aside: tasks fail by their own fault too, but rarely
/// three in a row.
const FAILS: u32 = 3;

/// How long a failing worker is left alone the first time, in milliseconds; doubled each time.
const FIRST_PAUSE: u64 = 1_500;

/// The longest such time, in milliseconds.
const LONGEST_PAUSE: u64 = 12_000;

/// How long a task may show no progress before it is taken to stand still, in milliseconds; a
/// worker tells of progress several times a second.
const STILL: u64 = 1_500;

/// The share of its estimate for which a task may show none: progress comes in whole percents.
const STILL_SHARE: u64 = 25;

/// Runs told to keep less than this share of their speed, in percent, are not judged by progress.
const SLOWED: u32 = 50;

impl Cell {
    /// Counts how a run ended for or against its worker.
    pub(crate) fn judge(&mut self, incarnation: &Incarnation, how: How, task: TaskId, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        match how {
            How::Done => {
                worker.fails = 0;
                worker.backoffs = 0;
            }
            How::Failed => {
                worker.fails += 1;
                if worker.fails >= FAILS {
                    worker.fails = FAILS - 1;
                    let pause = (FIRST_PAUSE << worker.backoffs.min(4)).min(LONGEST_PAUSE);
                    worker.backoffs += 1;
                    warn!("event=worker-failing worker={incarnation} task={task} pause_ms={pause}");
                    self.back_off(incarnation, now + pause);
                }
            }
            _ => {}
        }
    }

    /// Stops what stands still on a worker, so that it goes on elsewhere.
    pub(crate) fn notice(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let still: Vec<_> = worker
            .flights
            .iter()
            .filter(|(_, f)| f.stage == Stage::Up && f.pace >= SLOWED)
            .filter(|(_, f)| !f.lasting || f.percent < 100.0)
            .filter(|(_, f)| {
                let patience = STILL.max(f.estimate / STILL_SHARE);
                now.saturating_sub(f.changed_at.max(f.since)) > patience
            })
            .map(|(&task, f)| (task, f.run, f.percent, f.figure, f.filler))
            .collect();
        for (task, run, percent, figure, filler) in still {
            warn!(
                "event=run-still task={task} run={run} worker={incarnation} percent={percent} figure={figure}"
            );
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.shunned.entry(task).or_default().push(incarnation.clone());
            }
            if !filler {
                self.back_off(incarnation, now + FIRST_PAUSE);
            }
            self.counts.moved += 1;
            self.halt(incarnation, task, run, now);
        }
    }
}
