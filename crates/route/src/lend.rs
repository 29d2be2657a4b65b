//! The keeper's book of one limit: what each gate may use of it, until when.
//!
//! The sum of what is lent is never above the limit. A gate that wants less says so and has
//! stopped using the rest before it says so. A gate that falls silent keeps its loan until the
//! loan and a guard have passed, by the keeper's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::rank;

/// How long a loan lasts unless it is asked for again.
pub const LOAN: Duration = Duration::from_secs(4);

/// The wait beyond a loan that covers clock drift between two gates.
const DRIFT: Duration = Duration::from_secs(1);

/// What a gate asks of a keeper for one unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// What it goes on using of its loan; it has stopped using anything above.
    pub have: u32,
    /// What it would like.
    pub want: u32,
}

/// What the keeper answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// What the gate may use from now on.
    pub lent: u32,
    /// What it should shrink to, since others need the rest.
    pub fair: u32,
}

/// One gate's loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The borrower's life; a later one has a larger number.
    pub boot: u64,
    /// The number of the last ask that was counted.
    pub seq: u64,
    /// What it may use.
    pub lent: u32,
    /// What it last wanted.
    pub want: u32,
    /// How long it holds, as the keeper counts it.
    pub until: Duration,
}

/// The book of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    unit: String,
    limit: u32,
    loans: BTreeMap<String, Loan>,
}

impl Ledger {
    /// An empty book for the unit named `unit`.
    pub fn new(unit: &str, limit: u32) -> Self {
        Self { unit: unit.into(), limit, loans: BTreeMap::new() }
    }

    /// Changes the limit; what is lent above it comes back as gates shrink.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Moves the ends of loans from one process's clock to another's.
    pub fn rebase(&mut self, from: Duration, to: Duration) {
        for loan in self.loans.values_mut() {
            loan.until = to + loan.until.saturating_sub(from);
        }
    }

    /// What is lent in all.
    pub fn lent(&self) -> u32 {
        self.loans.values().map(|l| l.lent).sum()
    }

    /// Answers an ask; one that is older than the last counted one gets nothing.
    pub fn ask(
        &mut self,
        gate: &str,
        boot: u64,
        seq: u64,
        ask: Ask,
        now: Duration,
    ) -> Option<Offer> {
        self.lapse(now);
        let known = self.loans.get(gate);
        if known.is_some_and(|l| boot < l.boot || (boot == l.boot && seq <= l.seq)) {
            return None;
        }
        // An earlier life of the gate may still be running on its loan.
        if known.is_some_and(|l| boot > l.boot && l.lent > 0) {
            return None;
        }
        let lent = known.map_or(0, |l| l.lent).min(ask.have);
        let until = now + LOAN + DRIFT;
        let loan = Loan { boot, seq, lent, want: ask.want, until };
        self.loans.insert(gate.into(), loan);
        let fair = self.fair(gate);
        let spare = self.limit.saturating_sub(self.lent());
        let more = fair.saturating_sub(lent).min(spare);
        let loan = self.loans.get_mut(gate).expect("it was just entered");
        loan.lent += more;
        Some(Offer { lent: loan.lent, fair })
    }

    /// Drops loans that ran out.
    fn lapse(&mut self, now: Duration) {
        self.loans.retain(|_, l| l.until > now);
    }

    /// A gate's share when nobody gets more than wanted and the rest is split evenly.
    fn fair(&self, gate: &str) -> u32 {
        let mut wants: Vec<_> = self.loans.iter().map(|(g, l)| (l.want, g.as_str())).collect();
        // Equal wants are ordered by hash, so that the odd units go to different gates.
        wants.sort_by_key(|(want, g)| (*want, rank(g, &self.unit)));
        let mut left = self.limit;
        let mut count = wants.len() as u32;
        for (want, name) in wants {
            let share = want.min(left / count);
            // The last ones in order get the odd units.
            if name == gate {
                return share;
            }
            left -= share;
            count -= 1;
        }
        0
    }
}
