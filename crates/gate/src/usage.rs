//! Reports what was served, for billing.

use std::sync::Arc;
use std::time::Duration;

use myrtle_cell::{Op, Usage};
use myrtle_peer::Proposal;

use crate::tables::{Served, Tables};

/// The time between two reports; a gate that crashes loses at most the usage of this time.
const INTERVAL: Duration = Duration::from_secs(3);

/// Reports usage until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        tables.report_usage().await;
    }
}

impl Tables {
    /// Reports what was served in this incarnation and has grown since the last report.
    pub async fn report_usage(&self) {
        let served = self.served(|s| s.clone());
        let reported = self.reported(|r| r.clone());
        let grown = served.iter().filter(|(key, used)| reported.get(*key) != Some(used));
        let incarnation = self.incarnation();
        let ops: Vec<Op> = grown
            .map(|((customer, class), used)| Op::Used {
                gate: self.name().to_string(),
                incarnation,
                customer: customer.clone(),
                class: class.clone(),
                requests: used.requests,
                busy: used.busy,
            })
            .collect();
        if ops.is_empty() || !self.is_listed() {
            return;
        }
        if let Proposal::Folded(verdicts) = self.propose(ops).await
            && verdicts.iter().all(Result::is_ok)
        {
            self.reported(|r| *r = served);
        }
    }

    /// Restarts the counts; what is not reported yet counts for the new incarnation.
    pub fn reset_reported(&self) {
        let reported = self.reported(std::mem::take);
        self.served(|served| subtract(served, &reported));
    }
}

fn subtract(served: &mut Served, reported: &Served) {
    for (key, used) in served.iter_mut() {
        let reported_usage = reported.get(key).copied().unwrap_or_default();
        *used = Usage {
            requests: used.requests.saturating_sub(reported_usage.requests),
            busy: used.busy.since(reported_usage.busy),
        };
    }
}
