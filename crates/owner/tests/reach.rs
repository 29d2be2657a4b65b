//! Runs, jobs and incarnations of workers of which an owner learns late, twice or never.

mod common;

use myrtle_job::{JobId, Replacement, State, StepSpec};
use myrtle_owner::Presence;

use common::{case, job, step};

// Fault: a job is cancelled before its record is read, and another owner takes over before that. If only the first
// owner's memory holds the early cancellation, the job runs though its cancellation was confirmed; so the log holds it
// as the progress of a cancelled job.
case!(an_early_cancellation_holds_at_the_next_owner, world, {
    let now = world.now;
    world.owner().cell.cancel_early(JobId(1), now, now);
    world.run(50);
    world.owner().awake = false;
    world.take_over();
    let id = world.submit(job(vec![step(1)]));
    world.judge.cancelled(id);
    world.run(1_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Cancelled));
});

case!(the_early_cancellation_of_a_job_that_never_comes_is_dropped_from_the_log, world, {
    let now = world.now;
    world.owner().cell.cancel_early(JobId(1), now, now);
    assert!(!world.owner().cell.cancel_logged(JobId(1)));
    assert_eq!(world.owner().cell.batch().records.len(), 1);
    let retention = 2 * world.owner().cell.limits.status_ttl;
    world.owner().cell.remove_expired(now + retention, now + retention);
    assert_eq!(world.owner().cell.batch().records, vec![(JobId(1), vec![])]);
    assert!(world.owner().cell.cancel_logged(JobId(1)));
});

// Like a test of the front, with the log's records of workers: the entry that lapses late is that of the incarnation
// that crashed.
case!(an_old_entry_at_the_same_address_ends_no_run_of_the_later_incarnation, world, {
    world.run(200);
    for n in 0..4 {
        let old = format!("z{n}");
        world.add_worker(&old, n);
        let worker = world.workers.get_mut(&*old).unwrap();
        worker.listing.offset = 1;
        worker.gone = true;
    }
    let mut long = step(4);
    long.estimate_ms = 4_000;
    world.submit(job(vec![long]));
    world.run(300);
    world.take_over();
    assert!(world.finish(10_000));
    assert!(world.judge.starts.values().all(|n| *n == 1), "{:?}", world.judge.starts);
});

// Fault: an owner forgets a job that still has an active run. If the run counts as requested because its worker lists it,
// each lease renewal keeps it going for good; so it is stopped like a run of a job that is over.
case!(a_run_of_a_forgotten_job_is_stopped, world, {
    let id = world.submit(job(vec![StepSpec { long_running: true, ..step(2) }]));
    world.run(1_000);
    world.owner().cell.jobs.remove(&id);
    world.run(1_000);
    assert!(world.workers.values().all(|w| w.count() == 0));
});

// Fault: a worker crashes and another one starts at its address; the entries of both are listed, in any order, since the
// last write of the crashed incarnation may land after the first one of the next. If no entry counts, tasks wait for a
// lease of 10 s though their worker is gone; if every later one counts, tasks run twice. So the owner asks which
// incarnation replies at the address, again and again until one does.
case!(a_silent_incarnation_is_gone_once_another_replies_at_its_address, world, {
    world.submit(job(vec![StepSpec { estimate_ms: 5_000, ..step(8) }]));
    world.run(200);
    let (now, first) = (world.now, world.life("w0"));
    let mut listing = world.workers["w0"].listing.clone();
    listing.offset += 1;
    let cell = &mut world.owner().cell;
    let runs = cell.workers[&first].active_runs.len();
    cell.apply_listing("x0", listing, now);
    assert_eq!(cell.workers[&first].presence, Presence::Answering, "it replies");
    cell.renewal_failed(&first, now);
    assert_eq!(
        cell.workers[&first].presence,
        Presence::Silent,
        "an entry of another worker doesn't end it"
    );
    assert!(
        runs > 0 && cell.workers[&first].active_runs.len() == runs,
        "its runs may still be active"
    );
    assert!(cell.renewal_args(&first, now).is_some(), "it is asked again");
    cell.replaced(&first, Replacement::Other, now);
    assert_eq!(cell.workers[&first].presence, Presence::Gone);
    assert_eq!(cell.workers[&first].active_runs.len(), 0);
});
