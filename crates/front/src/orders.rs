//! Sends orders to workers and applies their replies to the cell.

use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};

use myrtle_adapter::{StartOrder, WorkerError};
use myrtle_job::OrderReply;
use myrtle_owner::{Order, Outcome};

use crate::clock::now;
use crate::owned::{Owned, WorkerLink};

/// The time limit for an order: many times the longest round trip, and short compared with a task.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// Sends one order unless it is no longer valid.
pub async fn send(owned: Arc<Owned>, mut order: Order) {
    let Some(link) = owned.link(order.worker()) else {
        return answer(&owned, &order, Outcome::Unsent);
    };
    let Ok(_permit) = link.permits.acquire().await else {
        return;
    };
    if owned.closed() || !owned.state().still_wanted(&mut order, now()) {
        return;
    }
    let outcome = call(&owned, &link, &order).await;
    answer(&owned, &order, outcome);
}

async fn call(owned: &Owned, link: &WorkerLink, order: &Order) -> Outcome {
    let fence = owned.fence;
    let result = match order {
        Order::Start { worker, task, run, body, saved, ticket } => {
            let until = owned.state().until(worker, now()).filter(|_| owned.may_lease());
            let Some(until) = until else {
                return Outcome::Unsent;
            };
            let (task, ticket) = (task.to_string(), ticket.as_deref());
            let start = StartOrder {
                task: &task,
                run: *run,
                body,
                lease_until: until,
                fence,
                checkpoint: saved,
                ticket,
            };
            link.client.start(&start, ORDER_LIMIT).await
        }
        Order::Stop { task, run, .. } => {
            link.client.stop(&task.to_string(), *run, fence, ORDER_LIMIT).await
        }
        Order::Throttle { task, run, percent, .. } => {
            link.client.throttle(&task.to_string(), *run, *percent, fence, ORDER_LIMIT).await
        }
    };
    match result {
        Ok((reply, _)) => Outcome::Replied(reply),
        Err(WorkerError::Replaced(by)) => Outcome::Replaced(by),
        Err(WorkerError::Unavailable { .. }) => Outcome::Unhealthy,
        Err(WorkerError::Failure(f)) if !f.sent => Outcome::Unsent,
        Err(e) => {
            debug!("event=order-unanswered worker={} reason=\"{e}\"", order.worker());
            Outcome::Unknown
        }
    }
}

fn answer(owned: &Owned, order: &Order, outcome: Outcome) {
    let mut cell = owned.state();
    let fenced = match order {
        Order::Start { worker, task, run, .. } => {
            cell.start_replied(worker, *task, *run, outcome, now())
        }
        Order::Stop { worker, task, run } => cell.stop_replied(worker, *task, *run, outcome, now()),
        Order::Throttle { worker, task, run, percent } => {
            if !matches!(outcome, Outcome::Replied(OrderReply::Done)) {
                warn!(
                    "event=pace-told task={task} run={run} worker={worker} percent={percent} \
                     outcome={outcome:?}"
                );
                cell.limit_unconfirmed(worker, *task, *run, *percent);
            }
            outcome == Outcome::Replied(OrderReply::Fenced)
        }
    };
    drop(cell);
    if fenced {
        owned.depose("a worker that has seen a higher fencing token");
    }
    if outcome != Outcome::Replied(OrderReply::Done) {
        owned.wake.notify_one();
    }
}
