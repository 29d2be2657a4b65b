//! Sends orders to workers and tells the cell what came of them.

use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};

use myrtle_adapter::{StartOrder, WorkerError};
use myrtle_job::Told;
use myrtle_owner::{Order, Outcome};

use crate::clock::now;
use crate::owned::{Line, Owned};

/// How long an order's answer may take: many times the longest way, and short against a task.
const LIMIT: Duration = Duration::from_millis(400);

/// Sends one order.
pub async fn send(owned: Arc<Owned>, order: Order) {
    let Some(line) = owned.line(order.worker()) else {
        return answer(&owned, &order, Outcome::Unsent);
    };
    let Ok(_permit) = line.permits.acquire().await else {
        return;
    };
    if owned.closed() || !owned.state().stands(&order, now()) {
        return;
    }
    let outcome = call(&owned, &line, &order).await;
    answer(&owned, &order, outcome);
}

async fn call(owned: &Owned, line: &Line, order: &Order) -> Outcome {
    let fence = owned.fence;
    let result = match order {
        Order::Start { worker, task, run, body, saved, ticket } => {
            let until = owned.state().until(worker, now()).filter(|_| owned.may_lease());
            let Some(until) = until else {
                return Outcome::Unsent;
            };
            let (task, ticket) = (task.to_string(), ticket.as_deref());
            let start = StartOrder { task: &task, run: *run, body, until, fence, saved, ticket };
            line.client.start(&start, LIMIT).await
        }
        Order::Stop { task, run, .. } => {
            line.client.stop(&task.to_string(), *run, fence, LIMIT).await
        }
        Order::Pace { task, run, percent, .. } => {
            line.client.pace(&task.to_string(), *run, *percent, fence, LIMIT).await
        }
    };
    match result {
        Ok((told, _)) => Outcome::Told(told),
        Err(WorkerError::Replaced(by)) => Outcome::Replaced(by),
        Err(WorkerError::Unwell { .. }) => Outcome::Unwell,
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
            cell.start_told(worker, *task, *run, outcome, now())
        }
        Order::Stop { worker, task, run } => cell.stop_told(worker, *task, *run, outcome, now()),
        Order::Pace { worker, task, run, percent } => {
            if !matches!(outcome, Outcome::Told(Told::Done)) {
                warn!(
                    "event=pace-told task={task} run={run} worker={worker} percent={percent} \
                     outcome={outcome:?}"
                );
                cell.pace_unsure(worker, *task, *run, *percent);
            }
            outcome == Outcome::Told(Told::Fenced)
        }
    };
    drop(cell);
    if fenced {
        owned.depose("a worker that has seen a higher fencing token");
    }
    if outcome != Outcome::Told(Told::Done) {
        owned.work.notify_one();
    }
}
