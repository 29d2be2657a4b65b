//! A party's rate at this gate: a token of its share, or of what its keeper lends it more.

use std::time::Duration;

use tokio::time::timeout;

use myrtle_base::Kind;
use myrtle_cell::Unit;

use crate::borrow::want_of;
use crate::call::Call;
use crate::core::Core;
use crate::serve::Refusal;
use crate::tables::Tables;

/// When to come back to a gate that no keeper lends to.
const SHARELESS: Duration = Duration::from_secs(1);

/// How long a request may wait for a token while its party's share grows.
const PATIENCE: Duration = Duration::from_secs(1);

/// Takes one request out of the party's share, which is nothing while no keeper lends.
///
/// Without a token it waits for one if the keeper may lend more, at most half of its time.
pub async fn take_rate(tables: &Tables, call: &Call, deadline: Duration) -> Result<(), Refusal> {
    let now = tables.now();
    let Err(refusal) = token(tables, call, true) else { return Ok(()) };
    // A quiet party's share is small: it grows only when the keeper is asked, so ask first.
    if !wait(tables, call, now) {
        return Err(refusal);
    }
    let end = now + PATIENCE.min(deadline.saturating_sub(now) / 2);
    let taken = grown(tables, call, end).await;
    with_rate(tables, call, |core| core.rates.entry(call.party.clone()).or_default().waited());
    taken
}

/// Takes a token as soon as there is one, until `end`.
async fn grown(tables: &Tables, call: &Call, end: Duration) -> Result<(), Refusal> {
    loop {
        let lent = tables.lent.notified();
        let Err(refusal) = token(tables, call, false) else { return Ok(()) };
        let left = end.saturating_sub(tables.now());
        if left.is_zero() {
            return Err(refusal);
        }
        let _ = timeout(refusal.after.unwrap_or(left).min(left), lent).await;
    }
}

/// Whether a request without a token may wait; asks the keeper for more if so.
fn wait(tables: &Tables, call: &Call, now: Duration) -> bool {
    let view = tables.view.load();
    let Some(party) = view.parties.values().find(|p| p.name == call.party) else { return false };
    let waits = with_rate(tables, call, |core| {
        let want = want_of(core, party, now);
        let unit = unit(call);
        let growing =
            core.shares.usable(&unit, now) > 0 && core.shares.growing(&unit, want, party.rate, now);
        // No more wait than the whole rate could serve meanwhile.
        growing && core.rates.entry(call.party.clone()).or_default().wait(party.rate)
    });
    if waits == Some(true) {
        tables.needy.notify_one();
    }
    waits.unwrap_or(false)
}

/// Takes a token if there is one; `first` counts the request as demand.
fn token(tables: &Tables, call: &Call, first: bool) -> Result<(), Refusal> {
    let now = tables.now();
    let taken = with_rate(tables, call, |core| {
        let share = core.shares.usable(&unit(call), now);
        let rate = core.rates.entry(call.party.clone()).or_default();
        let taken = if first { rate.take(share, now) } else { rate.again(share, now) };
        taken.map_err(|after| match share {
            0 => Refusal::after(Kind::NotReady, SHARELESS),
            _ => Refusal::after(Kind::OverLimit, after),
        })
    });
    taken.unwrap_or(Ok(()))
}

fn with_rate<R>(tables: &Tables, call: &Call, look: impl FnOnce(&mut Core) -> R) -> Option<R> {
    tables.with_core(&call.service, look)
}

fn unit(call: &Call) -> String {
    Unit::Party(call.party.clone()).to_string()
}
