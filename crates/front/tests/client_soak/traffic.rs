//! Clients that submit jobs, ask for states and counts and cancel, each with its own connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::client::{Client, Outcome};
use crate::jobs::{Ending, Job, draw, draw_serving};
use crate::ledger::{Ledger, is_final};
use crate::settings::{FILLERS, LONG, SHORT};

/// The range of pauses of a client, in milliseconds.
const THINK_MS: [u64; 2] = [100, 3_000];

/// The number of times that a request without an answer is sent.
const MAX_SENDS: u32 = 4;

/// The number of newest jobs that clients ask about.
const RECENT: usize = 60;

/// Submits and asks until a time.
pub async fn run(mut client: Client, ledger: Arc<Ledger>, end: Instant) {
    while Instant::now() < end {
        let [least, most] = THINK_MS;
        // Short pauses are more frequent than long ones, so that most clients are busy.
        let draw: f64 = client.rng.random();
        let think = least + ((most - least) as f64 * draw * draw) as u64;
        sleep(Duration::from_millis(think)).await;
        match client.rng.random::<f64>() {
            x if x < 0.25 => {
                let job = Arc::new(draw_job(&mut client.rng));
                submit(&mut client, &ledger, &job).await;
            }
            x if x < 0.75 => ask(&mut client, &ledger).await,
            x if x < 0.85 => {
                let prefix = [SHORT, FILLERS, LONG][client.rng.random_range(0..3)];
                let outcome = client.request("GET", prefix, "").await;
                ledger.note(&outcome);
            }
            x if x < 0.95 => submit_again(&mut client, &ledger).await,
            _ => cancel(&mut client, &ledger).await,
        }
    }
}

fn draw_job(rng: &mut ChaCha8Rng) -> Job {
    if rng.random_bool(0.02) { draw_serving(rng) } else { draw(rng) }
}

/// Submits a job until there is an answer.
pub async fn submit(client: &mut Client, ledger: &Ledger, job: &Arc<Job>) -> bool {
    ledger.add(job);
    send(client, ledger, job).await
}

async fn send(client: &mut Client, ledger: &Ledger, job: &Job) -> bool {
    for _ in 0..MAX_SENDS {
        let outcome = client.request("POST", &job.path(), &job.body).await;
        match ledger.note(&outcome) {
            Some(200) => {
                ledger.accept(&job.id);
                return true;
            }
            // Without an answer, and after these, the job may have been accepted.
            None | Some(502 | 504) => {}
            Some(_) => return false,
        }
    }
    false
}

/// The job of an accepted one of the newest, which was not cancelled.
fn recent(rng: &mut impl Rng, ledger: &Ledger) -> Option<Arc<Job>> {
    let accepted = ledger.accepted();
    let from = accepted.len().saturating_sub(RECENT);
    let open: Vec<_> = accepted[from..].iter().filter(|e| e.cancelled.is_none()).collect();
    (!open.is_empty()).then(|| open[rng.random_range(0..open.len())].job.clone())
}

async fn ask(client: &mut Client, ledger: &Ledger) {
    if let Some(job) = recent(&mut client.rng, ledger) {
        ask_for(client, ledger, &job).await;
    }
}

/// Asks for the state of a job; returns whether it is final.
pub async fn ask_for(client: &mut Client, ledger: &Ledger, job: &Job) -> bool {
    let outcome = client.request("GET", &job.path(), "").await;
    ledger.note(&outcome);
    let Outcome::Answer(status, body) = outcome else {
        return false;
    };
    ledger.check(&job.id, &client.last_host(), status, &body);
    let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    value["state"].as_str().is_some_and(is_final)
}

/// Submits an accepted job once more, as clients do that missed its answer.
async fn submit_again(client: &mut Client, ledger: &Ledger) {
    if let Some(job) = recent(&mut client.rng, ledger).filter(|job| job.prefix == SHORT) {
        send(client, ledger, &job).await;
    }
}

/// Cancels an accepted job, or one that doesn't exist.
async fn cancel(client: &mut Client, ledger: &Ledger) {
    let known = recent(&mut client.rng, ledger).filter(|job| job.ending == Ending::Done);
    let Some(job) = known.filter(|_| client.rng.random_bool(0.5)) else {
        let id: u64 = client.rng.random();
        let outcome = client.request("DELETE", &format!("{SHORT}{id:016x}"), "").await;
        ledger.note(&outcome);
        return;
    };
    ledger.cancel(&job.id);
    let outcome = client.request("DELETE", &job.path(), "").await;
    ledger.note(&outcome);
    if let Outcome::Answer(status @ 410, body) = outcome {
        ledger.check(&job.id, &client.last_host(), status, &body);
    }
}
