//! Asks the ticket service which workers may run a step.

use std::sync::Arc;
use std::time::Duration;

use log::warn;

use myrtle_job::Incarnation;
use myrtle_owner::Question;

use crate::clock::now;
use crate::host::Host;
use crate::owned::Owned;

/// The time allowed for a reply beyond the service's own time; it serves a host's calls one after another.
const REPLY_MARGIN: Duration = Duration::from_millis(1_500);

/// Asks each question in its own task.
pub fn ask_all(host: &Arc<Host>, owned: &Arc<Owned>, questions: Vec<Question>) {
    for question in questions {
        let (host, owned) = (host.clone(), owned.clone());
        tokio::spawn(async move { ask(&host, &owned, &question).await });
    }
}

async fn ask(host: &Host, owned: &Owned, question: &Question) {
    let asked_at = now();
    let name = question.name();
    let allowed = match &host.tickets {
        None => {
            warn!("event=no-ticket-service step={name}");
            None
        }
        Some(tickets) => {
            let limit = Duration::from_millis(question.limit) + REPLY_MARGIN;
            let ids: Vec<_> =
                question.workers.iter().map(|incarnation| incarnation.id().clone()).collect();
            let answer = tickets.ask(&name, &ids, limit).await;
            let allowed = answer.map(|allowed| incarnations(&question.workers, allowed));
            allowed.inspect_err(|e| warn!("event=tickets-failed step={name} reason=\"{e}\"")).ok()
        }
    };
    owned.state().record_answer(question, allowed, asked_at, now());
    owned.wake.notify_one();
}

/// The incarnations of the allowed workers, with their tickets.
fn incarnations(
    asked: &[Incarnation],
    allowed: Vec<(Arc<str>, String)>,
) -> Vec<(Incarnation, String)> {
    let incarnation =
        |id: &Arc<str>| asked.iter().find(|incarnation| incarnation.id() == id).cloned();
    allowed.into_iter().filter_map(|(id, ticket)| Some((incarnation(&id)?, ticket))).collect()
}
