//! The periodic work of an owner.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep_until};

use myrtle_owner::Order;

use crate::busy::Work;
use crate::clock::{now, wall};
use crate::owned::Owned;

/// The time between two checks of leases, unanswered orders and job times.
const EVERY: Duration = Duration::from_millis(100);

/// The number of ticks between two log lines on the cell's state.
const LOG_EVERY: u32 = 20;

/// The number of ticks between two that forget old jobs.
const FORGET_EVERY: u32 = 50;

/// Runs until the owner is closed.
pub async fn run(owned: Arc<Owned>) {
    let mut ticks = 0u32;
    while !owned.closed() {
        let due = Instant::now() + EVERY;
        sleep_until(due).await;
        owned.busy.late(due.elapsed());
        ticks = ticks.wrapping_add(1);
        let orders = owned.busy.measure(Work::Tick, || tick(&owned, ticks));
        owned.dispatch(orders);
        if owned.state().has_work() {
            owned.wake.notify_one();
        }
    }
}

/// Runs one tick; returns the orders to send.
fn tick(owned: &Owned, ticks: u32) -> Vec<Order> {
    let mut cell = owned.state();
    cell.expire(now());
    cell.drain_leaving(now());
    cell.throttle_all(now());
    cell.find_late_runs(now());
    cell.give_up(now(), wall());
    cell.begin_rounds(now(), wall());
    if ticks.is_multiple_of(FORGET_EVERY) {
        cell.remove_expired(now(), wall());
    }
    if ticks.is_multiple_of(LOG_EVERY) {
        let uncertain = cell.uncertain(now());
        info!(
            "event=cell cell={} {} {uncertain} {}",
            owned.cell,
            cell.summary(),
            owned.busy.take()
        );
    }
    let mut orders = cell.resend(now());
    // The flush task sends them too, but not during an append: while the store is unreachable, stops and speed limits
    // would wait for it.
    orders.append(&mut cell.orders());
    orders
}
