//! A retry budget, so that retries can't multiply the load when many upstreams fail.

/// Retries that each request adds to the budget: one in ten.
const PER_REQUEST: f64 = 0.1;

/// The budget at the start, so that a gate with few requests can retry at once.
const INITIAL: f64 = 20.0;

/// The largest budget.
const LIMIT: f64 = 50.0;

/// A balance of retries: each request adds to it, and each retry takes one from it.
#[derive(Debug, Clone)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: INITIAL }
    }
}

impl Budget {
    /// Adds what one first attempt earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + PER_REQUEST).min(LIMIT);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}
