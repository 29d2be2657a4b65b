//! Shows operators what waits for the ticket service and why.

use std::sync::Arc;

use log::{info, warn};

use myrtle_owner::TicketQueue;
use myrtle_tickets::Condition;

use crate::clock::now;
use crate::host::Host;
use crate::owned::Owned;

/// The time between two log lines while steps wait, in milliseconds.
const LOG_EVERY: u64 = 2_000;

/// The time between two updates of the metrics, in milliseconds.
const UPDATE_EVERY: u64 = 200;

/// What was shown last.
#[derive(Debug, Default)]
pub(super) struct Report {
    condition: Condition,
    updated_at: u64,
    logged_at: u64,
}

impl Report {
    /// Updates the metrics; logs changes of the service's condition, and from time to time what
    /// waits. True if nothing waits and nothing is under way.
    pub(super) fn update(&mut self, host: &Host) -> bool {
        let at = now();
        let (condition, under_way) = {
            let state = host.questions.state();
            (state.window.condition(at), state.window.len())
        };
        let changed = std::mem::replace(&mut self.condition, condition) != condition;
        let idle = under_way == 0 && !cells(host).any(|owned| owned.state().needs_tickets());
        // Counting visits every step that waits.
        if !changed && !idle && at < self.updated_at + UPDATE_EVERY {
            return false;
        }
        self.updated_at = at;
        let TicketQueue { waiting, oldest } = queue(host, at);
        show(host, waiting, oldest, under_way);
        if changed && condition == Condition::Answering {
            info!("event=ticket-service condition=answering waiting={waiting}");
        } else if changed {
            warn!("event=ticket-service condition={condition} waiting={waiting}");
        }
        if waiting > 0 && at >= self.logged_at + LOG_EVERY {
            self.logged_at = at;
            log_waiting(host, waiting, oldest, under_way, condition);
        }
        idle
    }
}

/// Updates the metrics.
fn show(host: &Host, waiting: usize, oldest: u64, under_way: usize) {
    host.meter.level("myrtle_ticket_questions", "waiting", waiting as i64);
    host.meter.level("myrtle_ticket_questions", "under_way", under_way as i64);
    host.meter.level("myrtle_ticket_oldest_millis", "", oldest as i64);
}

/// Logs what waits.
fn log_waiting(host: &Host, waiting: usize, oldest: u64, under_way: usize, condition: Condition) {
    if host.tickets.is_none() {
        return warn!(
            "event=no-ticket-service waiting={waiting} oldest_ms={oldest} hint=\"set 'tickets' in \
             the settings\""
        );
    }
    info!(
        "event=tickets-waiting waiting={waiting} oldest_ms={oldest} under_way={under_way} \
         condition={condition}"
    );
}

/// The cells that this host acts for.
fn cells(host: &Host) -> impl Iterator<Item = Arc<Owned>> {
    host.all_owned().into_iter().filter(|owned| !owned.closed())
}

/// The steps of all cells that wait.
fn queue(host: &Host, at: u64) -> TicketQueue {
    let mut sum = TicketQueue::default();
    for owned in cells(host) {
        let TicketQueue { waiting, oldest } = owned.state().ticket_queue(at);
        sum.waiting += waiting;
        sum.oldest = sum.oldest.max(oldest);
    }
    sum
}
