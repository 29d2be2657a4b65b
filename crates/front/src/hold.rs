//! Keeps the leases of one worker and hears of its runs.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::time::{sleep, timeout};

use myrtle_adapter::WorkerError;
use myrtle_job::Incarnation;
use myrtle_owner::HoldArgs;

use crate::backoff::Backoff;
use crate::busy::Work;
use crate::clock::{now, wall};
use crate::host::Host;
use crate::owned::Owned;

/// How long a hold waits for an end; tails and progress come at least as often.
const WAIT: Duration = Duration::from_millis(800);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(350);

/// The first pause after a failed hold, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between two holds that fail.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// How long a hold waits for the log to take the ends of the last one.
const BEHIND: Duration = Duration::from_millis(200);

/// Holds one incarnation of a worker until it is gone or the cell is another host's.
pub async fn keep(host: Arc<Host>, owned: Arc<Owned>, life: Incarnation) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    while !owned.closed() {
        let Some((args, wait)) = next(&owned, &life).await else {
            break;
        };
        let Some(line) = owned.line(&life) else {
            break;
        };
        let until = args.until.filter(|_| owned.may_lease());
        let sent = now();
        let result = line.client.hold(args.fence, args.seen, until, wait, wait + BEYOND).await;
        if owned.closed() {
            break;
        }
        match result {
            Ok(Ok(held)) => {
                backoff.reset();
                let mut cell = owned.state();
                owned.busy.spend(Work::Held, || cell.held(&life, held, sent, now(), wall()));
                drop(cell);
                owned.work.notify_one();
            }
            Ok(Err(told)) => {
                if owned.state().hold_refused(&life, told) {
                    owned.depose("a worker that has seen a higher fencing token");
                }
                sleep(backoff.pause()).await;
            }
            Err(e) => {
                debug!("event=hold-failed worker={life} reason=\"{e}\"");
                match e {
                    WorkerError::Replaced(by) => {
                        owned.state().replaced(&life, by, now());
                        // The list may show the next incarnation only a second later.
                        crate::roster::hold_all(&host, &owned);
                    }
                    _ => owned.state().hold_failed(&life, now()),
                }
                owned.work.notify_one();
                sleep(backoff.pause()).await;
            }
        }
    }
    owned.hang_up(&life);
}

/// What the next hold has to say and how long it waits for an end.
async fn next(owned: &Owned, life: &Incarnation) -> Option<(HoldArgs, Duration)> {
    let args = owned.state().hold_args(life, now())?;
    let wait = if args.until.is_some() { WAIT } else { Duration::ZERO };
    if !args.behind {
        return Some((args, wait));
    }
    // Ends that are not noted would be told again at once.
    let mut commits = owned.committed.subscribe();
    let _ = timeout(BEHIND, commits.changed()).await;
    let args = owned.state().hold_args(life, now())?;
    Some((args, if args.behind { Duration::ZERO } else { wait }))
}

/// How long the store keeps a silent member, in milliseconds.
pub fn ttl(host: &Host) -> u64 {
    host.settings.member_ttl.max(crate::ownership::member::TTL)
}
