//! Crowds drawn from a seed: mixed, in series and overlapping, at both addresses.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::RUNNING;
use crate::crowd::{Crowd, Sends};
use crate::place::{At, MANY, Place};
use crate::requests::{
    CHECK, JOB, MAX_BODY, NOWHERE, chunks, empty_steps, long_head, long_text, many_tasks,
    many_times, pipelined, short_of_end, unknown_fields, with_body, without_body,
};

/// The range of seeds, as `FIRST..END`.
const SEEDS_VAR: &str = "MYRTLE_CROWD_SEEDS";

/// The number of crowds of a play, and the most of them at a time.
const CROWDS: usize = 8;
const AT_A_TIME: usize = 3;

/// The largest crowd.
const MAX_SIZE: usize = 200;

/// What the clients of a drawn crowd send.
fn sends(rng: &mut ChaCha8Rng, path: &str) -> Sends {
    match rng.random_range(0..12) {
        0 => Sends::whole(short_of_end(path, "")),
        1 => Sends::whole(short_of_end(path, "\r\nexpect: 100-continue")),
        2 => Sends::whole(chunks(path, 1 << rng.random_range(0..16), MAX_BODY)),
        3 => Sends::pieces(short_of_end(path, ""), rng.random_range(1..4_000)),
        4 => Sends::whole(without_body(path, rng.random_range(1..MAX_BODY))),
        5 => Sends::whole(with_body(path, &long_text())),
        6 => Sends::whole(with_body(path, &empty_steps())),
        7 => Sends::whole(with_body(path, &unknown_fields())),
        8 => Sends::whole(pipelined(path, rng.random_range(1..20_000))),
        9 => Sends::whole(long_head(path, rng.random_range(1..400 << 10))),
        10 if rng.random() => Sends::whole(with_body(path, &many_tasks())),
        10 => Sends::whole(with_body(path, &many_times())),
        _ => Sends::whole(Vec::new()),
    }
}

/// Plays the crowds of a seed.
async fn play(seed: u64) {
    let _lock = RUNNING.lock().await;
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let place = Place::start(MANY).await;
    let mut crowds = Vec::new();
    for _ in 0..CROWDS {
        let at = if rng.random_range(0..4) == 0 { At::Checks } else { At::Clients };
        let path = [JOB, NOWHERE, CHECK, "/p/", "/"][rng.random_range(0..5)];
        let size = rng.random_range(1..=MAX_SIZE);
        let sends = sends(&mut rng, path);
        println!(
            "seed {seed}: {size} at {at:?} {path}, {} bytes by {}",
            sends.bytes.len(),
            sends.piece
        );
        crowds.push(Crowd::start(place.address(at), size, &sends));
        sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
        if crowds.len() > AT_A_TIME {
            crowds.remove(rng.random_range(0..crowds.len()));
        }
    }
    place.judge().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_crowds_of_the_environment() {
    let Ok(range) = std::env::var(SEEDS_VAR) else {
        return;
    };
    let (first, end) = range.split_once("..").expect("a range as FIRST..END");
    for seed in first.parse::<u64>().unwrap()..end.parse().unwrap() {
        play(seed).await;
    }
}
