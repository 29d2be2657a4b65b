//! Grants leases on a recent log read, or on a majority's promises while the log is unreachable.

use std::time::Duration;

use futures::future::join_all;

use myrtle_base::{LEASE, Millis};
use myrtle_cell::{Health, Lease, LeaseHolder, LogRead};
use myrtle_peer::SchedPeerClient;

use crate::tables::{MAX_AGE, Tables};

/// Timeout of asking a peer for a promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(600);

impl Tables {
    /// Grants a lease to a holder whose clock showed `stamp` in a message received at `arrived`.
    pub async fn grant(
        &self,
        holder: &LeaseHolder,
        stamp: Millis,
        arrived: Millis,
    ) -> Option<Lease> {
        let now = self.now();
        let (health, read) = self.cell(|c| (c.cell.health(holder), c.read));
        if health != Some(Health::Up) {
            return None;
        }
        let fresh = |r: &LogRead| now.since(r.sent_at) < MAX_AGE;
        match read.filter(fresh) {
            Some(read) => read.grant(stamp, arrived),
            None => self.grant_offline(holder, stamp).await,
        }
    }

    /// Returns the hosts that promise not to renew the lease of a suspected holder.
    pub async fn consents(&self, holder: &LeaseHolder, suspected: u64) -> Vec<String> {
        let mut hosts = self
            .ask_all(|c, x| {
                let holder = holder.clone();
                async move { c.promise_no_renewal(x, holder, suspected).await }
            })
            .await;
        if self.consent(holder, suspected) {
            hosts.push(self.name().into());
        }
        hosts
    }

    /// Promises on behalf of this host not to renew the lease of a suspected holder, if it may.
    pub fn consent(&self, holder: &LeaseHolder, suspected: u64) -> bool {
        let now = self.now();
        self.cell(|c| self.promise(|p| p.consent_lapse(&c.cell, holder, suspected, now)))
    }

    /// Promises on behalf of this host that a lease may be renewed without the log, if it may.
    pub fn allow(&self, holder: &LeaseHolder) -> bool {
        let now = self.now();
        self.cell(|c| self.promise(|p| p.allow_renewal(&c.cell, holder, now)))
    }

    async fn grant_offline(&self, holder: &LeaseHolder, stamp: Millis) -> Option<Lease> {
        if !self.allow(holder) {
            return None;
        }
        let mut hosts = self
            .ask_all(|c, x| {
                let holder = holder.clone();
                async move { c.promise_renewal(x, holder).await }
            })
            .await;
        hosts.push(self.name().into());
        let enough = self.cell(|c| c.cell.majority(&hosts));
        enough.then(|| Lease { until: stamp + LEASE })
    }

    /// Returns the peers that answer with true.
    async fn ask_all<F, R>(&self, ask: F) -> Vec<String>
    where
        F: Fn(SchedPeerClient, tarpc::context::Context) -> R,
        R: Future<Output = Result<bool, tarpc::client::RpcError>>,
    {
        let ask = &ask;
        let answers = self.peer_links().into_iter().map(|(name, link)| async move {
            let yes = link.call(PROMISE_TIMEOUT, ask).await;
            yes.unwrap_or(false).then_some(name)
        });
        join_all(answers).await.into_iter().flatten().collect()
    }
}
