//! Asks the ticket service which workers may run the steps of this host's cells.
//!
//! The service answers the questions of a host one after the other, so all cells of the host share
//! one limit on the questions under way.

mod call;
mod report;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use log::warn;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use myrtle_owner::{Answer, Question};
use myrtle_tickets::{CallEnd, CallId, Window};

use crate::clock::now;
use crate::host::Host;
use crate::owned::Owned;

use report::Report;

/// The longest time between two looks at what waits.
const MAX_IDLE: Duration = Duration::from_millis(1_000);

/// The time between two looks while a question could be sent and there is none.
const NOTHING_TO_ASK: Duration = Duration::from_millis(200);

/// The questions of a host to the ticket service.
#[derive(Debug, Default)]
pub struct Questions {
    /// Wakes the task that sends questions.
    pub wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    window: Window,
    sent: HashMap<CallId, Sent>,
    /// The cell whose question was sent last.
    last_cell: u32,
}

/// A question under way.
#[derive(Debug)]
struct Sent {
    owned: Arc<Owned>,
    question: Question,
    at: u64,
    task: Option<AbortHandle>,
}

impl Questions {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// How long nothing changes unless something happens.
    fn idle(&self) -> Duration {
        let change = self.state().window.next_change(now());
        match change.map(|at| Duration::from_millis(at.saturating_sub(now()))) {
            // It is time to ask a silent service, and there is nothing to ask.
            Some(Duration::ZERO) => NOTHING_TO_ASK,
            Some(wait) => wait.min(MAX_IDLE),
            None => MAX_IDLE,
        }
    }

    /// Records the end of a call, and the outcome of its question at the cell.
    fn end(&self, id: CallId, end: CallEnd, answer: Answer) {
        let sent = {
            let mut state = self.state();
            state.window.end(id, end, now());
            state.sent.remove(&id)
        };
        if let Some(Sent { owned, question, at, .. }) = sent {
            owned.state().record_answer(&question, answer, at, now());
            owned.wake.notify_one();
        }
        self.wake.notify_one();
    }

    /// Gives up the calls that are lost.
    fn give_up(&self) {
        let lost: Vec<(CallId, Option<Sent>)> = {
            let mut state = self.state();
            let ids = state.window.lost(now());
            ids.into_iter().map(|id| (id, state.sent.remove(&id))).collect()
        };
        for (id, sent) in lost {
            let Some(Sent { owned, question, at, task }) = sent else {
                continue;
            };
            let waited = now().saturating_sub(at);
            warn!("event=tickets-lost call={id} step={} waited_ms={waited}", question.step);
            task.inspect(AbortHandle::abort);
            owned.state().record_answer(&question, Answer::Missing, at, now());
            owned.wake.notify_one();
        }
    }
}

/// Sends the questions of the host's cells until the process ends.
pub async fn run(host: Arc<Host>) {
    let mut report = Report::default();
    loop {
        host.questions.give_up();
        if host.tickets.is_some() {
            while let Some((owned, question)) = next(&host) {
                send(&host, owned, question);
            }
        }
        match report.update(&host) {
            true => host.questions.wake.notified().await,
            // A wait that ends early only looks again.
            false => drop(timeout(host.questions.idle(), host.questions.wake.notified()).await),
        }
    }
}

/// The next question to send, if one may be sent now; the cells take turns.
fn next(host: &Host) -> Option<(Arc<Owned>, Question)> {
    let (last, repeat) = {
        let state = host.questions.state();
        if !state.window.may_send(now()) {
            return None;
        }
        let sent = state.window.repeatable(now()).and_then(|id| state.sent.get(&id));
        (state.last_cell, sent.map(|sent| (sent.owned.clone(), sent.question.clone())))
    };
    let mut cells = host.all_owned();
    cells.retain(|owned| !owned.closed());
    cells.sort_unstable_by_key(|owned| (owned.cell <= last, owned.cell));
    for owned in cells {
        let question = owned.state().next_question(now());
        if let Some(question) = question {
            return Some((owned, question));
        }
    }
    // A silent service has to be asked something to show that it is back.
    let (owned, question) = repeat.filter(|(owned, _)| !owned.closed())?;
    let again = owned.state().repeat_question(&question, now())?;
    Some((owned, again))
}

/// Sends a question in its own task.
fn send(host: &Arc<Host>, owned: Arc<Owned>, question: Question) {
    let at = now();
    let mut state = host.questions.state();
    state.last_cell = owned.cell;
    let id = state.window.send(question.work, at);
    // The call ends only after the lock is free, so it finds its entry.
    state.sent.insert(id, Sent { owned, question: question.clone(), at, task: None });
    let host_of_call = host.clone();
    let task = tokio::spawn(async move { call::run(&host_of_call, id, &question).await });
    if let Some(sent) = state.sent.get_mut(&id) {
        sent.task = Some(task.abort_handle());
    }
}
