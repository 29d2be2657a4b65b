//! Reports what was served, so that it can be paid for.

use std::sync::Arc;
use std::time::Duration;

use myrtle_cell::{Op, Usage};
use myrtle_peer::Proposal;

use crate::tables::{Served, Tables};

/// The time between two reports; a gate that dies loses at most what it served in one.
const REPORT: Duration = Duration::from_secs(3);

/// Reports again and again until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        tokio::time::sleep(REPORT).await;
        tables.report_usage().await;
    }
}

impl Tables {
    /// Reports what was served in this life and has grown since the last report.
    pub async fn report_usage(&self) {
        let served = self.served(|s| s.clone());
        let reported = self.reported(|r| r.clone());
        let grown = served.iter().filter(|(key, used)| reported.get(*key) != Some(used));
        let boot = self.boot();
        let ops: Vec<Op> = grown
            .map(|((party, class), used)| Op::Used {
                gate: self.name().to_string(),
                boot,
                party: party.clone(),
                class: class.clone(),
                requests: used.requests,
                busy: used.busy,
            })
            .collect();
        if ops.is_empty() || !self.entered() {
            return;
        }
        if let Proposal::Folded(verdicts) = self.propose(ops).await
            && verdicts.iter().all(Result::is_ok)
        {
            self.reported(|r| *r = served);
        }
    }

    /// Begins to count anew; what is not reported yet is counted for the new life.
    pub fn forget_reported(&self) {
        let reported = self.reported(std::mem::take);
        self.served(|served| subtract(served, &reported));
    }
}

fn subtract(served: &mut Served, reported: &Served) {
    for (key, used) in served.iter_mut() {
        let gone = reported.get(key).copied().unwrap_or_default();
        *used = Usage {
            requests: used.requests.saturating_sub(gone.requests),
            busy: used.busy.since(gone.busy),
        };
    }
}
