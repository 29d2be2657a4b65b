//! Everything goes wrong at random, and then is quiet.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_owner::Delivery;

use super::given::name;
use super::{Cells, JOB, WORKERS};

impl Cells {
    /// Workers leave, owners die, deliveries are late or repeated; then all is quiet.
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
                3 => self.repeat_a_delivery(&mut rng),
                _ => {}
            }
            self.step();
        }
        self.lossy = false;
        (0..self.owners.len()).for_each(|cell| self.take_over(cell));
        self.run(6_000);
    }

    /// As `chaos`, with workers that start anew under their ids at any moment.
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
                3 => self.repeat_a_delivery(&mut rng),
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

    /// As `chaos`, but every delivery takes its time, in any order, also those of owners that have
    /// died; owners die between writing and acting; the job is taken back at step `cancel`.
    pub fn slow_chaos(&mut self, seed: u64, cancel: Option<u64>) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.slow = Some(ChaCha8Rng::seed_from_u64(seed + 1));
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
                2 => self.dying.push(cell),
                3 => self.repeat_a_delivery(&mut rng),
                _ => {}
            }
            if cancel == Some(at) {
                self.owners[0].cancel(JOB, self.now, self.now);
                // A client is told only once that is written; it asks again until then.
                self.dying.clear();
            }
            self.step();
        }
        self.dying.clear();
        // No more owners come that would read the logs anew.
        self.run(12_000);
    }

    fn repeat_a_delivery(&mut self, rng: &mut impl Rng) {
        let cell = rng.random_range(0..self.jobs.len());
        if let Some((key, record)) = self.jobs[cell].last().cloned() {
            let delivery = Delivery { key, to: cell as u32, record };
            self.late.push((self.now + rng.random_range(100..3_000), delivery));
        }
    }
}
