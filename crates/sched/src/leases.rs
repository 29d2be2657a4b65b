//! Grants leases on a recent log read, or on a majority's promises while the log is unreachable.

use std::time::Duration;

use futures::future::join_all;

use myrtle_base::{LEASE, Millis};
use myrtle_cell::{Grant, Health, Read, Subject};
use myrtle_peer::SchedPeerClient;

use crate::tables::{MAX_AGE, Tables};

/// Timeout of asking a peer for a promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(600);

impl Tables {
    /// Grants a lease to a subject whose clock showed `stamp` in a message received at `arrived`.
    pub async fn grant(&self, subject: &Subject, stamp: Millis, arrived: Millis) -> Option<Grant> {
        let now = self.now();
        let (health, read) = self.cell(|c| (c.cell.health(subject), c.read));
        if health != Some(Health::Up) {
            return None;
        }
        let fresh = |r: &Read| now.since(r.sent) < MAX_AGE;
        match read.filter(fresh) {
            Some(read) => read.grant(stamp, arrived),
            None => self.grant_offline(subject, stamp).await,
        }
    }

    /// Returns the hosts that promise not to renew the lease of a suspected subject.
    pub async fn consents(&self, subject: &Subject, suspected: u64) -> Vec<String> {
        let mut hosts = self
            .ask_all(|c, x| {
                let subject = subject.clone();
                async move { c.consent(x, subject, suspected).await }
            })
            .await;
        if self.consent(subject, suspected) {
            hosts.push(self.name().into());
        }
        hosts
    }

    /// Promises on behalf of this host not to renew the lease of a suspected subject, if it may.
    pub fn consent(&self, subject: &Subject, suspected: u64) -> bool {
        let now = self.now();
        self.cell(|c| self.promise(|p| p.consent(&c.cell, subject, suspected, now)))
    }

    /// Promises on behalf of this host that a lease may be renewed without the log, if it may.
    pub fn allow(&self, subject: &Subject) -> bool {
        let now = self.now();
        self.cell(|c| self.promise(|p| p.allow(&c.cell, subject, now)))
    }

    async fn grant_offline(&self, subject: &Subject, stamp: Millis) -> Option<Grant> {
        if !self.allow(subject) {
            return None;
        }
        let mut hosts = self
            .ask_all(|c, x| {
                let subject = subject.clone();
                async move { c.allow(x, subject).await }
            })
            .await;
        hosts.push(self.name().into());
        let enough = self.cell(|c| c.cell.majority(&hosts));
        enough.then(|| Grant { until: stamp + LEASE })
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
