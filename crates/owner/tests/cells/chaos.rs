//! Random faults, followed by a time without any.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_owner::Delivery;

use super::fixtures::name;
use super::{Cells, JOB, WORKERS};

impl Cells {
    /// Lets workers leave, owners end and deliveries be lost or repeated; then runs without faults.
    pub fn chaos(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..60 {
            match rng.random_range(0..12) {
                0 if self.leaving.len() < 4 => {
                    let cell = rng.random_range(0..2);
                    let worker = rng.random_range(0..WORKERS);
                    if !self.leaving.contains(&name(cell, worker)) {
                        self.leave(cell, worker);
                    }
                }
                1 => self.take_over(rng.random_range(0..self.owners.len())),
                2 => self.lossy = rng.random(),
                3 => self.repeat_delivery(&mut rng),
                _ => {}
            }
            self.step();
        }
        self.lossy = false;
        (0..self.owners.len()).for_each(|cell| self.take_over(cell));
        self.run(6_000);
    }

    /// As `chaos`, with workers that also restart under their ids at any moment.
    pub fn restless_chaos(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..60 {
            let (cell, worker) =
                (rng.random_range(0..self.owners.len()), rng.random_range(0..WORKERS));
            match rng.random_range(0..12) {
                0 if self.leaving.len() < 4 && !self.leaving.contains(&name(cell, worker)) => {
                    self.leave(cell, worker);
                }
                1 => self.take_over(cell),
                2 => self.lossy = rng.random(),
                3 => self.repeat_delivery(&mut rng),
                4 | 5 => self.restart(cell, worker),
                6 => (0..WORKERS).for_each(|worker| self.restart(cell, worker)),
                _ => self.read_entry(cell, worker),
            }
            self.step();
        }
        self.lossy = false;
        (0..self.owners.len()).for_each(|cell| self.take_over(cell));
        self.run(8_000);
    }

    /// As `chaos`, but deliveries are delayed and reordered, also those of owners that have ended, owners end
    /// between writing and acting, and the job is cancelled at step `cancel`.
    pub fn delayed_chaos(&mut self, seed: u64, cancel: Option<u64>) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.delays = Some(ChaCha8Rng::seed_from_u64(seed + 1));
        for at in 0..80 {
            let cell = rng.random_range(0..self.owners.len());
            match rng.random_range(0..10) {
                0 if self.leaving.len() < 4 => {
                    let worker = rng.random_range(0..WORKERS);
                    if !self.leaving.contains(&name(cell, worker)) {
                        self.leave(cell, worker);
                    }
                }
                1 => self.take_over(cell),
                2 => self.ending.push(cell),
                3 => self.repeat_delivery(&mut rng),
                _ => {}
            }
            if cancel == Some(at) {
                self.owners[0].cancel(JOB, self.now, self.now);
                // A client gets its answer only once the cancellation is written, and retries until then.
                self.ending.clear();
            }
            self.step();
        }
        self.ending.clear();
        // No new owner begins that would read the logs again.
        self.run(12_000);
    }

    /// Delivers the last record of a cell once more, later.
    fn repeat_delivery(&mut self, rng: &mut impl Rng) {
        let cell = rng.random_range(0..self.jobs.len());
        if let Some((key, record)) = self.jobs[cell].last().cloned() {
            let delivery = Delivery { key, to: cell as u32, record };
            self.late.push((self.now + rng.random_range(100..3_000), delivery));
        }
    }
}
