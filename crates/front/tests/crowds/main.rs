//! Crowds of clients that don't behave, at a real host with little memory and few descriptors.
//!
//! Each test checks that the process lives, that its memory and its sockets stay within the limits that its settings
//! name, that its log stays small, and that an ordinary job is done while the crowd is still there. Nothing here depends
//! on how fast the machine is.
//!
//! They run one at a time, apart from other load:
//! `cargo test --locked -p myrtle-front --test crowds -- --test-threads 1`. Drawn crowds by hand:
//! `MYRTLE_CROWD_SEEDS=1..9 cargo test --locked -p myrtle-front --test crowds drawn -- --nocapture`.

#[path = "../common/mod.rs"]
mod common;
mod crowd;
mod drawn;
mod gauge;
mod place;
mod requests;

use nix::sys::signal::Signal;

use myrtle_job::JobSpec;

use crowd::{Crowd, Sends};
use place::{At, FEW, MANY, Place};
use requests::{
    CHECK, JOB, MAX_BODY, NOWHERE, chunks, empty_steps, logged_tasks, logged_times, long_head,
    long_job, long_text, many_tasks, many_times, no_room, pipelined, short_of_end, unknown_fields,
    with_body, without_body,
};

/// Held during a test, so that crowds don't share the machine.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A crowd at one address of a host whose system gives it `files` descriptors.
async fn crowd(at: At, files: u32, size: usize, sends: Sends) {
    let _lock = RUNNING.lock().await;
    let place = Place::start(files).await;
    let crowd = Crowd::start(place.address(at), size, &sends);
    crowd.settle().await;
    place.judge().await;
    assert_eq!(crowd.len(), size, "the crowd stayed to the end");
}

/// Names a test for each crowd: where it is, the host's descriptors, its size, what each client sends.
macro_rules! crowds {
    ($($name:ident: $at:expr, $files:expr, $size:expr, $sends:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            crowd($at, $files, $size, $sends).await;
        }
    )*};
}

crowds! {
    bodies_in_one_piece_that_lack_a_byte:
        At::Clients, MANY, 400, Sends::whole(short_of_end(JOB, ""));
    bodies_that_lack_a_byte_after_a_continue:
        At::Clients, MANY, 400, Sends::whole(short_of_end(JOB, "\r\nexpect: 100-continue"));
    bodies_in_chunks_that_lack_the_last: At::Clients, MANY, 400, Sends::whole(chunks(JOB, 16 << 10, MAX_BODY));
    chunks_of_one_byte: At::Clients, MANY, 40, Sends::whole(chunks(JOB, 1, 128 << 10));
    one_byte_a_write: At::Clients, MANY, 400, Sends::pieces(short_of_end(JOB, "")[..4_000].to_vec(), 1);
    bodies_without_a_route_that_lack_a_byte:
        At::Clients, MANY, 400, Sends::whole(short_of_end(NOWHERE, ""));
    bodies_at_the_checks_that_lack_a_byte: At::Checks, MANY, 400, Sends::whole(short_of_end(CHECK, ""));
    bodies_far_over_the_limit: At::Clients, MANY, 100, Sends::whole(with_body(JOB, &[b' '; 1 << 20]));
    chunks_far_over_the_limit: At::Clients, MANY, 100, Sends::whole(chunks(JOB, 16 << 10, 1 << 20));
    long_texts_that_are_no_jobs: At::Clients, MANY, 400, Sends::whole(with_body(JOB, &long_text()));
    empty_steps_in_one_body: At::Clients, MANY, 100, Sends::whole(with_body(JOB, &empty_steps()));
    unknown_fields_in_one_body: At::Clients, MANY, 100, Sends::whole(with_body(JOB, &unknown_fields()));
    requests_ahead_without_reading: At::Clients, MANY, 100, Sends::whole(pipelined("/p/", 20_000));
    checks_ahead_without_reading: At::Checks, MANY, 100, Sends::whole(pipelined(CHECK, 20_000));
    long_heads: At::Clients, MANY, 300, Sends::whole(long_head(JOB, 400 << 10));
    long_heads_at_the_checks: At::Checks, MANY, 300, Sends::whole(long_head(CHECK, 400 << 10));
    bodies_that_never_come: At::Clients, FEW, 450, Sends::whole(without_body(JOB, 100));
    idle_connections: At::Clients, FEW, 450, Sends::whole(Vec::new());
    idle_connections_at_the_checks: At::Checks, FEW, 450, Sends::whole(Vec::new());
}

/// Jobs that are small in bytes and large in tasks or times, one after another; each may be accepted or refused.
async fn large_jobs(count: usize, body: Vec<u8>) {
    let _lock = RUNNING.lock().await;
    let place = Place::start(MANY).await;
    for number in 0..count {
        place.submit(&format!("000000000010{number:04x}"), &body).await;
    }
    place.judge().await;
}

/// Jobs that the log holds from a build that accepted them; the host takes over their cell.
async fn inherited_jobs(count: usize, spec: JobSpec) {
    let _lock = RUNNING.lock().await;
    let mut place = Place::without_host().await;
    for number in 0..count {
        place.log_job(&format!("00000000000011{number:02x}"), spec.clone());
    }
    place.host(MANY).await;
    place.judge().await;
}

/// Names a test for each number of jobs that are handed in or found in the log.
macro_rules! jobs {
    ($($name:ident: $jobs:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $jobs.await;
        }
    )*};
}

jobs! {
    jobs_of_very_many_tasks: large_jobs(2, many_tasks());
    whole_jobs_of_the_largest_legal_size: large_jobs(400, long_job());
    jobs_of_very_many_times: large_jobs(2, many_times());
    jobs_that_ask_for_no_room: large_jobs(8, no_room());
    inherited_jobs_of_very_many_tasks: inherited_jobs(2, logged_tasks());
    inherited_jobs_of_very_many_times: inherited_jobs(2, logged_times());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_stood_still_while_a_crowd_came() {
    let _lock = RUNNING.lock().await;
    let place = Place::start(MANY).await;
    place.signal(Signal::SIGSTOP);
    let sends = Sends::whole(short_of_end(JOB, ""));
    let crowd = Crowd::start(place.address(At::Clients), 400, &sends);
    crowd.settle().await;
    place.signal(Signal::SIGCONT);
    place.judge().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_beside_bodies_that_lack_a_byte() {
    let _lock = RUNNING.lock().await;
    let mut place = Place::start(MANY).await;
    let sends = Sends::whole(short_of_end(JOB, ""));
    let crowd = Crowd::start(place.address(At::Clients), 400, &sends);
    crowd.settle().await;
    let whole = place.send_whole().await;
    place.signal(Signal::SIGTERM);
    assert_eq!(place.answered(whole).await, place::WHOLE, "whole requests have their answers");
    assert_eq!(place.wait_end().await, Some(0), "the process ends by itself");
    place.judge_peaks();
}
