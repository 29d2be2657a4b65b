//! The attempts at one request: safe ones are tried again at other upstreams, unsafe ones run at
//! most once.

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
use crate::queue::ServiceQueue;
use crate::serve::{Refusal, record_usage, slot};
use crate::tables::Tables;

/// A safe request is also sent to another upstream after this many mean latencies.
const HEDGE_AFTER: f64 = 2.5;

/// The latency in seconds that is assumed for a service that is not configured any more.
const DEFAULT_LATENCY: f64 = 0.1;

/// The least time before a further attempt.
const MIN_HEDGE: Duration = Duration::from_millis(40);

/// The most attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// How long a caller should wait after all upstreams refused.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// One request and its attempts.
struct Exchange<'a> {
    tables: &'a Arc<Tables>,
    call: &'a Call,
    head: &'a Arc<Parts>,
    body: &'a Bytes,
    deadline: Duration,
    running: FuturesUnordered<JoinHandle<Outcome>>,
    started_at: Duration,
    attempts: u32,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    last_upstream: Option<u32>,
}

/// Runs a request until it is answered or refused, or its deadline passes.
///
/// Attempts that no caller waits for any more continue and hold their slots until the upstream has
/// finished.
pub async fn exchange(
    tables: &Arc<Tables>,
    call: &Call,
    head: &Arc<Parts>,
    body: &Bytes,
    deadline: Duration,
) -> Result<Response<Bytes>, Refusal> {
    tables.with_queue(&call.service, |queue| queue.budget.earn());
    let mut exchange = Exchange {
        tables,
        call,
        head,
        body,
        deadline,
        running: FuturesUnordered::new(),
        started_at: tables.now(),
        attempts: 0,
        may_have_run: false,
        last_upstream: None,
    };
    exchange.attempt().await?;
    // Only the time in slots is charged, not the wait for one.
    exchange.started_at = tables.now();
    loop {
        if let Some(answer) = exchange.step().await? {
            record_usage(tables, call, tables.now().saturating_sub(exchange.started_at));
            return Ok(answer);
        }
    }
}

impl Exchange<'_> {
    /// Waits for the next outcome and handles it; returns the answer when there is one.
    async fn step(&mut self) -> Result<Option<Response<Bytes>>, Refusal> {
        let remaining = self.deadline.saturating_sub(self.tables.now());
        let hedging = self.call.safe && self.attempts < MAX_ATTEMPTS;
        let wait = if hedging { self.hedge_delay().min(remaining) } else { remaining };
        let Ok(outcome) = timeout(wait, self.running.next()).await else {
            return self.handle_late().await.map(|()| None);
        };
        match outcome {
            Some(Ok(Outcome::Answer(answer))) => {
                let failed = answer.status().is_server_error();
                self.may_have_run = true;
                if failed && self.call.safe && self.retry().await {
                    return Ok(None);
                }
                return Ok(Some(answer));
            }
            Some(Ok(Outcome::NotRun)) => {
                if self.retry().await || !self.running.is_empty() {
                    return Ok(None);
                }
            }
            _ => {
                self.may_have_run = true;
                if self.call.safe && self.retry().await || !self.running.is_empty() {
                    return Ok(None);
                }
            }
        }
        Err(self.refusal())
    }

    /// Handles an attempt that takes too long: the deadline has passed, or another upstream is
    /// tried as well.
    async fn handle_late(&mut self) -> Result<(), Refusal> {
        self.record_late();
        if self.tables.now() >= self.deadline {
            return Err(Kind::Late.into());
        }
        let queued = self.queue(|queue| queue.waiting() > 0);
        if queued.unwrap_or(false) || !self.retry().await {
            // No more attempts: wait for the running ones.
            self.attempts = MAX_ATTEMPTS;
        }
        Ok(())
    }

    /// Starts another attempt if the budget allows it; returns whether it did.
    async fn retry(&mut self) -> bool {
        if self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        let spent = self.queue(|queue| queue.budget.spend());
        spent.unwrap_or(false) && self.attempt().await.is_ok()
    }

    async fn attempt(&mut self) -> Result<(), Refusal> {
        let slot = slot(self.tables, self.call, self.deadline, self.last_upstream).await?;
        self.attempts += 1;
        self.last_upstream = slot.upstream();
        let payload = Payload::Whole(self.body.clone());
        let remaining = self.deadline.saturating_sub(self.tables.now());
        let run = attempt::run(slot, self.head.clone(), payload, remaining, false);
        self.running.push(tokio::spawn(run));
        Ok(())
    }

    /// The time after which another upstream is tried; it grows with each attempt.
    fn hedge_delay(&self) -> Duration {
        let latency = self.queue(|queue| queue.upstreams.mean_latency()).unwrap_or(DEFAULT_LATENCY);
        Duration::from_secs_f64(latency * HEDGE_AFTER * f64::from(self.attempts)).max(MIN_HEDGE)
    }

    fn record_late(&self) {
        let now = self.tables.now();
        let Some(upstream) = self.last_upstream else { return };
        self.queue(|queue| queue.upstreams.record_late(upstream, now));
    }

    fn queue<R>(&self, look: impl FnOnce(&mut ServiceQueue) -> R) -> Option<R> {
        self.tables.with_queue(&self.call.service, look)
    }

    fn refusal(&self) -> Refusal {
        match self.may_have_run {
            true => Kind::Unknown.into(),
            false => Refusal::after(Kind::NoUpstream, RETRY_AFTER),
        }
    }
}
