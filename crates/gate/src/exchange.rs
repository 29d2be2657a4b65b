//! The attempts at one request: safe ones again elsewhere, unsafe ones at most once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use hyper::http::request::Parts;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use myrtle_base::Kind;

use crate::attempt::{self, Outcome, Payload};
use crate::call::Call;
use crate::core::Core;
use crate::serve::{Refusal, note_served, slot};
use crate::tables::Tables;

/// A safe request is tried elsewhere too after this many usual latencies.
const PATIENCE: f64 = 2.5;

/// The usual latency in seconds of a service that is not configured any more.
const USUAL: f64 = 0.1;

/// The least time before that.
const LEAST: Duration = Duration::from_millis(40);

/// The most attempts at one request.
const ATTEMPTS: u32 = 3;

/// When to come back after all upstreams refused.
const LATER: Duration = Duration::from_millis(500);

/// One request on its way.
struct Exchange<'a> {
    tables: &'a Arc<Tables>,
    call: &'a Call,
    head: &'a Arc<Parts>,
    body: &'a Bytes,
    deadline: Duration,
    running: FuturesUnordered<JoinHandle<Outcome>>,
    began: Duration,
    attempts: u32,
    /// Whether an upstream may have run it.
    given: bool,
    newest: Option<u32>,
}

/// Runs a request until it is answered, given up or late.
///
/// Attempts that nobody waits for any more run on and hold their slots until the upstream is
/// through with them.
pub async fn exchange(
    tables: &Arc<Tables>,
    call: &Call,
    head: &Arc<Parts>,
    body: &Bytes,
    deadline: Duration,
) -> Result<Response<Bytes>, Refusal> {
    tables.with_core(&call.service, |core| core.budget.earn());
    let mut exchange = Exchange {
        tables,
        call,
        head,
        body,
        deadline,
        running: FuturesUnordered::new(),
        began: tables.now(),
        attempts: 0,
        given: false,
        newest: None,
    };
    exchange.attempt().await?;
    // Time in slots is paid for, not the wait for one.
    exchange.began = tables.now();
    loop {
        if let Some(answer) = exchange.step().await? {
            note_served(tables, call, tables.now().saturating_sub(exchange.began));
            return Ok(answer);
        }
    }
}

impl Exchange<'_> {
    /// Waits for the next outcome and acts on it; returns the answer when there is one.
    async fn step(&mut self) -> Result<Option<Response<Bytes>>, Refusal> {
        let left = self.deadline.saturating_sub(self.tables.now());
        let again = self.call.safe && self.attempts < ATTEMPTS;
        let wait = if again { self.patience().min(left) } else { left };
        let Ok(outcome) = timeout(wait, self.running.next()).await else {
            return self.late().await.map(|()| None);
        };
        match outcome {
            Some(Ok(Outcome::Answer(answer))) => {
                let failed = answer.status().is_server_error();
                self.given = true;
                if failed && self.call.safe && self.try_again().await {
                    return Ok(None);
                }
                return Ok(Some(answer));
            }
            Some(Ok(Outcome::NotRun)) => {
                if self.try_again().await || !self.running.is_empty() {
                    return Ok(None);
                }
            }
            _ => {
                self.given = true;
                if self.call.safe && self.try_again().await || !self.running.is_empty() {
                    return Ok(None);
                }
            }
        }
        Err(self.refusal())
    }

    /// An attempt takes too long: the deadline has come, or another upstream is tried as well.
    async fn late(&mut self) -> Result<(), Refusal> {
        self.note_late();
        if self.tables.now() >= self.deadline {
            return Err(Kind::Late.into());
        }
        let crowded = self.core(|core| core.waiting() > 0);
        if crowded.unwrap_or(false) || !self.try_again().await {
            // No more attempts: wait for those that run.
            self.attempts = ATTEMPTS;
        }
        Ok(())
    }

    /// Begins a further attempt if the budget allows; false if it does not.
    async fn try_again(&mut self) -> bool {
        if self.attempts >= ATTEMPTS {
            return false;
        }
        let spent = self.core(|core| core.budget.spend());
        spent.unwrap_or(false) && self.attempt().await.is_ok()
    }

    async fn attempt(&mut self) -> Result<(), Refusal> {
        let slot = slot(self.tables, self.call, self.deadline, self.newest).await?;
        self.attempts += 1;
        self.newest = slot.upstream();
        let payload = Payload::Whole(self.body.clone());
        let left = self.deadline.saturating_sub(self.tables.now());
        let run = attempt::run(slot, self.head.clone(), payload, left, false);
        self.running.push(tokio::spawn(run));
        Ok(())
    }

    /// The time after which another upstream is tried; it grows with each attempt.
    fn patience(&self) -> Duration {
        let usual = self.core(|core| core.upstreams.common()).unwrap_or(USUAL);
        Duration::from_secs_f64(usual * PATIENCE * f64::from(self.attempts)).max(LEAST)
    }

    fn note_late(&self) {
        let now = self.tables.now();
        let Some(upstream) = self.newest else { return };
        self.core(|core| core.upstreams.late(upstream, now));
    }

    fn core<R>(&self, look: impl FnOnce(&mut Core) -> R) -> Option<R> {
        self.tables.with_core(&self.call.service, look)
    }

    fn refusal(&self) -> Refusal {
        match self.given {
            true => Kind::Unknown.into(),
            false => Refusal::after(Kind::NoUpstream, LATER),
        }
    }
}
