//! Renews the lease of one worker and receives the reports of its runs.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::time::{sleep, timeout};

use myrtle_adapter::WorkerError;
use myrtle_job::Incarnation;
use myrtle_owner::RenewalArgs;

use crate::backoff::Backoff;
use crate::busy::Work;
use crate::clock::{now, wall};
use crate::host::Host;
use crate::owned::Owned;

/// How long a renewal waits at the worker for the end of a run; reports of latency and progress come at least as often.
const RENEWAL_WAIT: Duration = Duration::from_millis(800);

/// The time allowed for the reply to a renewal beyond its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(350);

/// The first pause after a failed renewal, doubled up to the maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause after a failed renewal.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// How long a renewal waits until the log holds the ends that the last one reported.
const COMMIT_WAIT: Duration = Duration::from_millis(200);

/// Renews the lease of one incarnation of a worker until it is gone or the owner is closed.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>, worker: Incarnation) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    while !owned.closed() {
        let Some((args, wait)) = next(&owned, &worker).await else {
            break;
        };
        let Some(link) = owned.link(&worker) else {
            break;
        };
        let until = args.until.filter(|_| owned.may_lease());
        let sent = now();
        let result =
            link.client.renew(args.fence, args.logged_ends, until, wait, wait + REPLY_MARGIN).await;
        if owned.closed() {
            break;
        }
        match result {
            Ok(Ok(held)) => {
                backoff.reset();
                let mut cell = owned.state();
                owned
                    .busy
                    .measure(Work::Report, || cell.renewed(&worker, held, sent, now(), wall()));
                drop(cell);
                owned.wake.notify_one();
            }
            Ok(Err(reply)) => {
                if owned.state().renewal_refused(&worker, reply) {
                    owned.depose("a worker that has seen a higher fencing token");
                }
                sleep(backoff.pause()).await;
            }
            Err(e) => {
                debug!("event=hold-failed worker={worker} reason=\"{e}\"");
                match e {
                    WorkerError::Replaced(by) => {
                        owned.state().replaced(&worker, by, now());
                        // The list may show the next incarnation only a second later.
                        crate::roster::renew_all(&host, &owned);
                    }
                    _ => owned.state().renewal_failed(&worker, now()),
                }
                owned.wake.notify_one();
                sleep(backoff.pause()).await;
            }
        }
    }
    owned.forget_worker(&worker);
}

/// Returns the arguments of the next renewal and how long it waits for the end of a run.
async fn next(owned: &Owned, worker: &Incarnation) -> Option<(RenewalArgs, Duration)> {
    let args = owned.state().renewal_args(worker, now())?;
    let wait = if args.until.is_some() { RENEWAL_WAIT } else { Duration::ZERO };
    if !args.log_first {
        return Some((args, wait));
    }
    // The worker would report ends that are not logged again at once.
    let mut commits = owned.committed.subscribe();
    let _ = timeout(COMMIT_WAIT, commits.changed()).await;
    let args = owned.state().renewal_args(worker, now())?;
    Some((args, if args.log_first { Duration::ZERO } else { wait }))
}

/// The time to live of a group membership, in milliseconds.
pub fn ttl(host: &Host) -> u64 {
    host.settings.member_ttl.max(crate::ownership::member::MIN_TTL)
}
