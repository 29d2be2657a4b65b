//! What an owner does as time passes.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep_until};

use myrtle_owner::Order;

use crate::busy::Work;
use crate::clock::{now, wall};
use crate::owned::Owned;

/// The time between two looks at leases, unanswered orders and times of jobs.
const EVERY: Duration = Duration::from_millis(100);

/// Looks between two lines on where the cell stands.
const TELL_EVERY: u32 = 20;

/// Looks between two that forget old jobs.
const FORGET_EVERY: u32 = 50;

/// Runs until the cell is another host's.
pub async fn run(owned: Arc<Owned>) {
    let mut looks = 0u32;
    while !owned.closed() {
        let due = Instant::now() + EVERY;
        sleep_until(due).await;
        owned.busy.late(due.elapsed());
        looks = looks.wrapping_add(1);
        let orders = owned.busy.spend(Work::Look, || look(&owned, looks));
        owned.dispatch(orders);
        if owned.state().restless() {
            owned.work.notify_one();
        }
    }
}

/// One look; returns what is to be told.
fn look(owned: &Owned, looks: u32) -> Vec<Order> {
    let mut cell = owned.state();
    cell.lapse(now());
    cell.evacuate(now());
    cell.guard_all(now());
    cell.look_for_copies(now());
    cell.give_up(now(), wall());
    cell.begin_rounds(wall());
    if looks.is_multiple_of(FORGET_EVERY) {
        cell.forget(now(), wall());
    }
    if looks.is_multiple_of(TELL_EVERY) {
        let limbo = cell.limbo(now());
        info!("event=cell cell={} {} {limbo} {}", owned.cell, cell.gist(), owned.busy.take());
    }
    let mut orders = cell.repeat(now());
    // The part that writes sends them too, but not while an append is under way: with the store away
    // stops and paces would wait for its return.
    orders.append(&mut cell.orders());
    orders
}
