//! Asks the policy service which workers may run a step.

use std::sync::Arc;
use std::time::Duration;

use log::warn;

use myrtle_job::Incarnation;
use myrtle_owner::Question;

use crate::clock::now;
use crate::host::Host;
use crate::owned::Owned;

/// What an answer may take beyond the service's own time; it serves a host's calls in turn.
const BEYOND: Duration = Duration::from_millis(1_500);

/// Asks each question by itself.
pub fn ask_all(host: &Arc<Host>, owned: &Arc<Owned>, questions: Vec<Question>) {
    for question in questions {
        let (host, owned) = (host.clone(), owned.clone());
        tokio::spawn(async move { ask(&host, &owned, &question).await });
    }
}

async fn ask(host: &Host, owned: &Owned, question: &Question) {
    let asked_at = now();
    let name = question.name();
    let good = match &host.tickets {
        None => {
            warn!("event=no-ticket-service step={name}");
            None
        }
        Some(tickets) => {
            let limit = Duration::from_millis(question.limit) + BEYOND;
            let ids: Vec<_> = question.workers.iter().map(|life| life.id().clone()).collect();
            let answer = tickets.ask(&name, &ids, limit).await;
            let good = answer.map(|good| named(&question.workers, good));
            good.inspect_err(|e| warn!("event=tickets-failed step={name} reason=\"{e}\"")).ok()
        }
    };
    owned.state().answered(question, good, asked_at, now());
    owned.work.notify_one();
}

/// The incarnations that were asked about, of the workers that an answer names.
fn named(asked: &[Incarnation], good: Vec<(Arc<str>, String)>) -> Vec<(Incarnation, String)> {
    let life = |id: &Arc<str>| asked.iter().find(|life| life.id() == id).cloned();
    good.into_iter().filter_map(|(id, ticket)| Some((life(&id)?, ticket))).collect()
}
