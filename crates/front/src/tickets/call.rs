//! One call to the ticket service.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use myrtle_adapter::TicketError;
use myrtle_job::Incarnation;
use myrtle_owner::{Answer, Question};
use myrtle_tickets::{CallEnd, CallId};

use crate::clock::now;
use crate::host::Host;

/// The time after which a connection that says nothing is closed. A late answer is as good as any,
/// so calls that are lost are found by the answers to later ones.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// Asks a question and records the outcome.
pub(super) async fn run(host: &Host, id: CallId, question: &Question) {
    let Some(tickets) = &host.tickets else {
        return;
    };
    let (name, began) = (question.step.to_string(), now());
    let ids: Vec<_> = question.workers.iter().map(|incarnation| incarnation.id().clone()).collect();
    let reply = tickets.ask(&name, &ids, CALL_LIMIT).await;
    let (key, end, answer) = match reply {
        Ok(good) => {
            let good = incarnations(&question.workers, good);
            ("answered", CallEnd::Answered, Answer::Granted(good))
        }
        Err(e) => outcome(&name, &e),
    };
    host.meter.count("myrtle_ticket_calls", key);
    host.meter.span("myrtle_ticket_call_millis", key, now().saturating_sub(began));
    host.questions.end(id, end, answer);
}

/// What an error means for the service and for the question, with its name in metrics.
fn outcome(step: &str, error: &TicketError) -> (&'static str, CallEnd, Answer) {
    match error {
        TicketError::Busy { .. } => {
            info!("event=tickets-failed step={step} reason=\"{error}\"");
            ("busy", CallEnd::Busy, Answer::Missing)
        }
        TicketError::Failure(_) => {
            info!("event=tickets-failed step={step} reason=\"{error}\"");
            ("failed", CallEnd::Failed, Answer::Missing)
        }
        // The question may be at fault, and the others go on.
        TicketError::Rejected { .. } | TicketError::Strange(_) => {
            warn!("event=tickets-failed step={step} reason=\"{error}\"");
            ("rejected", CallEnd::Rejected, Answer::Rejected)
        }
    }
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
