//! Random sequences of faults with real processes on a queue that needs tickets: the ticket service is slow, silent,
//! forgetful or refuses, owners are killed, stopped or paused, workers restart and the store is away, in series and
//! overlapping, while clients submit and cancel jobs.

mod common;

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use myrtle_standin::{StoreMode, TicketMode, TicketSpans};

use common::{Site, call, owner, until};

/// The number of events of a sequence.
const EVENTS: u32 = 10;

/// The run time of a task.
const WORK: Duration = Duration::from_millis(150);

/// The number of lost runs of a task at which its job fails, whatever the cause.
const MAX_LOSSES: usize = 5;

/// A random duration of less than so many milliseconds.
fn up_to(rng: &mut ChaCha8Rng, millis: u64) -> Duration {
    Duration::from_millis(rng.random_range(5..millis))
}

/// Draws the times of the ticket service.
fn draw_spans(rng: &mut ChaCha8Rng) -> TicketSpans {
    TicketSpans {
        call: up_to(rng, 60),
        worker: up_to(rng, 8),
        valid: Duration::from_millis([400, 1_000, 3_000][rng.random_range(0..3)]),
    }
}

/// Injects a random fault; those of the service and the store go on while the next ones come.
async fn inject(site: &mut Site, hosts: &mut u32, rng: &mut ChaCha8Rng) {
    match rng.random_range(0..8) {
        0..=2 => {
            let modes = [
                TicketMode::Slow(5.0),
                TicketMode::Skipping,
                TicketMode::Holding,
                TicketMode::Forgetting,
                TicketMode::Refusing(503),
                TicketMode::Ok,
            ];
            site.tickets().set(modes[rng.random_range(0..modes.len())]);
        }
        3 | 4 => {
            let ended = owner(site).await;
            let signal = [Signal::SIGKILL, Signal::SIGTERM][rng.random_range(0..2)];
            let host = site.hosts.remove(&ended);
            host.iter().for_each(|host| host.signal(signal));
            *hosts += 1;
            site.ticketed_host(&format!("h{hosts}")).await;
        }
        5 => {
            let paused = owner(site).await;
            let Some(host) = site.hosts.get(&paused) else {
                return;
            };
            host.signal(Signal::SIGSTOP);
            sleep(up_to(rng, 2_500)).await;
            host.signal(Signal::SIGCONT);
        }
        6 => {
            let worker = site.runners[rng.random_range(0..site.runners.len())].clone();
            worker.restart(up_to(rng, 800)).await;
            site.store.put("keyed.servers", &worker.name, worker.listing().as_bytes());
        }
        _ => {
            site.store.set([StoreMode::Away, StoreMode::Slow(WORK)][rng.random_range(0..2)]);
            sleep(up_to(rng, 900)).await;
            site.store.set(StoreMode::Ok);
        }
    }
}

/// Plays a sequence and checks what clients, workers and the service have seen.
async fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::with_tickets(WORK, draw_spans(&mut rng)).await;
    let (mut hosts, mut accepted) = (2, Vec::new());
    for event in 0..EVENTS {
        for job in 0..rng.random_range(1..8u32) {
            let names: Vec<_> = site.hosts.keys().cloned().collect();
            let host = &names[rng.random_range(0..names.len())];
            let id = format!("{:016x}", 0x71c0_0000 + u64::from(event * 16 + job));
            if site.submit(host, &id, rng.random_range(1..6)).await != 200 {
                continue;
            }
            let cancel = rng.random_bool(0.1);
            if cancel {
                call(site.clients(host), "DELETE", &format!("/p/{id}"), "").await;
            }
            accepted.push((id, cancel));
        }
        inject(&mut site, &mut hosts, &mut rng).await;
        sleep(up_to(&mut rng, 600)).await;
    }
    site.tickets().set(TicketMode::Ok);
    let host = site.hosts.keys().next().unwrap().clone();
    for (id, cancelled) in &accepted {
        until(|| async {
            let state = site.state(&host, id).await.unwrap_or_default();
            state == "completed"
                || *cancelled && state == "cancelled"
                || state == "failed" && site.lost(id) >= MAX_LOSSES
        })
        .await;
    }
    assert_eq!(site.book.overlapping(), vec![], "seed {seed}");
    let service = site.tickets();
    assert_eq!(service.refused(), 0, "seed {seed}: calls beyond what the service lets wait");
    let invalid = service.invalid() as usize;
    let starts = site.book.runs().len();
    assert!(invalid <= starts / 10 + 6, "seed {seed}: {invalid} bad tickets for {starts} starts");
}

#[tokio::test]
async fn troubles_of_the_ticket_service_and_others_lose_no_job() {
    play(1).await;
}

#[tokio::test]
#[ignore = "by hand: cargo test -p myrtle-front --test ticket_soak -- --ignored --nocapture"]
async fn fifty_sequences_of_troubles_lose_no_job() {
    for seed in 2..52 {
        println!("seed {seed}");
        play(seed).await;
    }
}
