//! Limits a customer's rate at this gate to what the coordinator has allocated, and waits while
//! that grows.

use std::time::Duration;

use tokio::time::timeout;

use myrtle_base::Kind;
use myrtle_cell::Resource;

use crate::acquire::wanted_rate;
use crate::call::Call;
use crate::queue::ServiceQueue;
use crate::serve::Refusal;
use crate::tables::Tables;

/// How long a caller should wait if the gate has no allocation of its rate.
const NO_ALLOCATION: Duration = Duration::from_secs(1);

/// How long a request may wait for a token while its customer's allocation grows.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Takes a token of the customer's rate, of which nothing is allocated while no coordinator
/// replies.
///
/// Without a token, waits for one if the coordinator may allocate more, at most half of the
/// remaining time.
pub async fn take_rate(tables: &Tables, call: &Call, deadline: Duration) -> Result<(), Refusal> {
    let now = tables.now();
    let Err(refusal) = token(tables, call, true) else { return Ok(()) };
    // The allocation of a customer without recent requests is small and grows only when the
    // coordinator is asked, so ask before refusing.
    if !may_wait(tables, call, now) {
        return Err(refusal);
    }
    let end = now + MAX_WAIT.min(deadline.saturating_sub(now) / 2);
    let taken = wait_for_token(tables, call, end).await;
    with_rate(tables, call, |q| q.rates.entry(call.customer.clone()).or_default().end_wait());
    taken
}

/// Takes a token as soon as there is one, until `end`.
async fn wait_for_token(tables: &Tables, call: &Call, end: Duration) -> Result<(), Refusal> {
    loop {
        let changed = tables.allocated.notified();
        let Err(refusal) = token(tables, call, false) else { return Ok(()) };
        let remaining = end.saturating_sub(tables.now());
        if remaining.is_zero() {
            return Err(refusal);
        }
        let _ = timeout(refusal.after.unwrap_or(remaining).min(remaining), changed).await;
    }
}

/// Whether a request without a token may wait; if so, asks the coordinator for more.
fn may_wait(tables: &Tables, call: &Call, now: Duration) -> bool {
    let view = tables.view.load();
    let Some(c) = view.customers.values().find(|c| c.name == call.customer) else { return false };
    let waits = with_rate(tables, call, |queue| {
        let want = wanted_rate(queue, c, now);
        let resource = resource(call);
        let growing = queue.allocations.usable(&resource, now) > 0
            && queue.allocations.growing(&resource, want, c.rate, now);
        // No more requests wait than the whole rate could serve in that time.
        growing && queue.rates.entry(call.customer.clone()).or_default().start_wait(c.rate)
    });
    if waits == Some(true) {
        tables.more_needed.notify_one();
    }
    waits.unwrap_or(false)
}

/// Takes a token if there is one; `first` counts the request as demand.
fn token(tables: &Tables, call: &Call, first: bool) -> Result<(), Refusal> {
    let now = tables.now();
    let taken = with_rate(tables, call, |queue| {
        let allocated = queue.allocations.usable(&resource(call), now);
        let rate = queue.rates.entry(call.customer.clone()).or_default();
        let taken = if first { rate.take(allocated, now) } else { rate.retry(allocated, now) };
        taken.map_err(|after| match allocated {
            0 => Refusal::after(Kind::NotReady, NO_ALLOCATION),
            _ => Refusal::after(Kind::OverLimit, after),
        })
    });
    taken.unwrap_or(Ok(()))
}

fn with_rate<R>(
    tables: &Tables,
    call: &Call,
    look: impl FnOnce(&mut ServiceQueue) -> R,
) -> Option<R> {
    tables.with_queue(&call.service, look)
}

fn resource(call: &Call) -> String {
    Resource::Customer(call.customer.clone()).to_string()
}
