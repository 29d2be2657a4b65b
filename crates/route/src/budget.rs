//! How many retries recent requests allow.

/// Retries earned by each request: one in ten.
const EARNED: f64 = 0.1;

/// Retries that a quiet gate may always do at once.
const RESERVE: f64 = 20.0;

/// The most retries that can be saved up.
const MOST: f64 = 50.0;

/// A balance of retries; requests earn, retries spend.
#[derive(Debug, Clone)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: RESERVE }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
