//! The pace of orders to the machine service, which the platform limits for all hosts together.

/// The time between two orders of all waves, in milliseconds.
const ORDER_GAP: u64 = 25;

/// The time whose unused orders may be made up for, in milliseconds.
const ORDER_BURST: u64 = 200;

/// The pace of the orders of all waves.
#[derive(Debug, Default)]
pub(crate) struct OrderPace {
    next_at: u64,
}

impl OrderPace {
    /// Counts an order; false if it has to wait.
    pub(crate) fn take(&mut self, now: u64) -> bool {
        let due = self.next_at <= now;
        if due {
            self.next_at = self.next_at.max(now.saturating_sub(ORDER_BURST)) + ORDER_GAP;
        }
        due
    }
}
