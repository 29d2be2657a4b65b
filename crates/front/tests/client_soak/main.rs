//! Random sequences of faults with real processes and clients that keep their connections: hosts in three data centres
//! are stopped, told to reload, killed or paused, workers restart, crash or go silent, the store is away, silent or
//! slow, while clients submit, ask, count and cancel. What clients and workers see decides, not the product's logic.
//!
//! Further seeds by hand: `MYRTLE_SOAK_SEEDS=3..9 cargo test -p myrtle-front --test client_soak -- --nocapture`.

mod client;
#[path = "../common/mod.rs"]
mod common;
mod faults;
mod fleet;
mod jobs;
mod ledger;
mod settings;
mod settle;
mod stall;
mod traffic;
mod verdict;
mod world;

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use client::Client;
use faults::Theme;
use fleet::CENTRES;
use ledger::Ledger;
use world::World;

/// The time in which clients send requests and faults are injected.
const LENGTH: Duration = Duration::from_secs(25);

/// The number of clients.
const CLIENTS: usize = 40;

/// The number of serving jobs that are there from the beginning.
const SERVING: usize = 5;

/// The range of further seeds, as `FIRST..END`.
const SEEDS_VAR: &str = "MYRTLE_SOAK_SEEDS";

/// Held during a play, so that plays don't share the machine.
static PLAYING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A client of its own draws in one of the data centres.
fn client(world: &World, rng: &mut ChaCha8Rng) -> Client {
    let centre = CENTRES[rng.random_range(0..CENTRES.len())].0;
    Client::new(world.fleet.clone(), centre, ChaCha8Rng::seed_from_u64(rng.random()))
}

/// Plays a sequence; returns what broke.
async fn play(seed: u64) -> Vec<String> {
    let _lock = PLAYING.lock().await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let world = Arc::new(World::start(seed).await);
    let ledger = Arc::new(Ledger::new(world.book.clone(), world.plans.clone()));
    println!("seed {seed}: logs in {}", world.folder.display());
    let mut first = client(&world, &mut rng);
    for _ in 0..SERVING {
        let job = Arc::new(jobs::draw_serving(&mut rng));
        assert!(traffic::submit(&mut first, &ledger, &job).await, "a first job was not accepted");
    }
    let theme = Theme::of(seed);
    println!("seed {seed}: {theme:?}");
    let faults = faults::draw(&mut rng, theme, LENGTH);
    let begin = Instant::now();
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        let client = client(&world, &mut rng);
        clients.spawn(traffic::run(client, ledger.clone(), begin + LENGTH));
    }
    faults::inject(&world, faults).await;
    clients.join_all().await;
    world.fleet.wait_ready().await;
    let mut broken = settle::settle(&world, &ledger, &mut first).await;
    let overlapping = world.book.overlapping();
    broken.extend(overlapping.iter().map(|(a, b)| format!("overlapping runs: {a:?}, {b:?}")));
    let lost = verdict::judge_cuts(&world, &ledger, begin);
    if lost > 0 {
        broken.push(format!("{lost} requests ended without an answer"));
    }
    println!("seed {seed}: ends of runs {:?}", world.ends());
    let given_up = ledger.given_up.lock().unwrap();
    println!("seed {seed}: given up for lost runs, with the most of one task: {given_up:?}");
    drop(given_up);
    println!(
        "seed {seed}: answers by status {:?}, without an answer in time {}, jobs accepted {}, stalls {}",
        ledger.answers.lock().unwrap(),
        ledger.silent.lock().unwrap().len(),
        ledger.accepted().len(),
        world.stalls.all().len()
    );
    broken.extend(ledger.wrong.lock().unwrap().drain(..));
    broken.extend(world.fleet.own_ends().iter().map(|end| format!("ended by itself: {end:?}")));
    if broken.is_empty() {
        let _ = std::fs::remove_dir_all(&world.folder);
    } else {
        println!("seed {seed}: broken, logs in {}", world.folder.display());
    }
    broken
}

/// Names a test for a seed.
macro_rules! seeds {
    ($($name:ident: $seed:expr,)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_eq!(play($seed).await, Vec::<String>::new());
        }
    )*};
}

seeds! {
    seed_1_loses_nothing: 1,
    seed_2_loses_nothing: 2,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seeds_of_the_environment_lose_nothing() {
    let Ok(range) = std::env::var(SEEDS_VAR) else {
        return;
    };
    let (first, end) = range.split_once("..").expect("a range as FIRST..END");
    let mut broken = Vec::new();
    for seed in first.parse::<u64>().unwrap()..end.parse().unwrap() {
        broken.extend(play(seed).await.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert_eq!(broken, Vec::<String>::new());
}
