//! Runs and workers that an owner would not hear of: each is reached, stopped or told apart; with real
//! processes over loopback.

mod common;

use std::time::Duration;

use tokio::time::sleep;

use myrtle_standin::StoreMode;

use common::{Site, call, owner, until};

/// Names a case and gives it a site with two hosts and four workers.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $site:ident, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::start(Duration::from_millis(60)).await;
            $body
            assert_eq!($site.book.doubled(), vec![]);
        }
    };
}

// Symptom: tasks of a cancelled job ran on until their leases ended.
// Sequence: the workers' entries go while they serve on, the owner is killed, the job is cancelled.
// Cause: the next owner learned where workers are only from the list.
// Settled by: the log holds where each worker is that was given work.
case!(a_cancelled_job_stops_on_workers_that_the_next_owner_never_saw_listed, site, {
    let mut slow = Site::start(Duration::from_secs(60)).await;
    let id = "00000000000000b5";
    assert_eq!(slow.submit("h1", id, 6).await, 200);
    until(|| async { slow.book.runs().len() == 6 }).await;
    for runner in &slow.runners {
        slow.store.put("keyed.servers", &runner.name, b"");
    }
    let first = owner(&slow).await;
    slow.hosts.remove(&first).unwrap();
    let other = slow.hosts.keys().next().unwrap().clone();
    let cancel = async || call(slow.clients(&other), "DELETE", &format!("/p/{id}"), "").await.0;
    until(|| async { cancel().await == 200 }).await;
    until(|| async { slow.book.runs().iter().all(|r| r.over.is_some()) }).await;
    let ends: Vec<_> = slow.book.runs().iter().filter_map(|r| Some(r.over?.1)).collect();
    assert_eq!(ends, vec!["stopped"; 6]);
    assert!(site.book.runs().is_empty());
});

// Symptom: a living worker was taken for gone and its runs for over, so that they ran twice.
// Sequence: a worker crashes and comes back at its address under another id; it is given work while
// its old entry has not lapsed yet; an owner reads the whole list.
// Cause: the list was read in the order of the ids, so that the old entry, read last, was taken for
// the newer life at the address and the living one for gone.
// Settled by: entries are taken in the order in which they were written.
case!(an_old_entry_at_the_same_address_says_nothing_of_the_later_life, site, {
    let mut slow = Site::start(Duration::from_millis(4_000)).await;
    for runner in &slow.runners {
        let old = format!("z-{}", runner.name);
        slow.store.put("keyed.servers", &old, runner.listing().as_bytes());
        slow.store.put("keyed.servers", &runner.name, runner.listing().as_bytes());
    }
    let id = "00000000000000b6";
    assert_eq!(slow.submit("h1", id, 4).await, 200);
    until(|| async { slow.book.runs().len() == 4 }).await;
    let first = owner(&slow).await;
    slow.hosts.remove(&first).unwrap();
    let other = slow.hosts.keys().next().unwrap().clone();
    slow.completed(&other, id).await;
    assert_eq!(slow.book.runs().len(), 5);
    assert_eq!(slow.book.doubled(), vec![]);
    assert!(site.book.runs().is_empty());
});

case!(a_job_cancelled_before_it_came_never_runs_at_the_next_owner, site, {
    let id = "00000000000000b8";
    assert_eq!(call(site.clients("h1"), "DELETE", &format!("/p/{id}"), "").await.0, 410);
    let first = owner(&site).await;
    site.hosts.remove(&first).unwrap();
    let other = site.hosts.keys().next().unwrap().clone();
    until(|| async { owner(&site).await == other }).await;
    assert_eq!(site.submit(&other, id, 4).await, 200);
    until(|| async { site.state(&other, id).await.as_deref() == Some("cancelled") }).await;
    assert!(site.book.runs().is_empty());
});

// Symptom: a run that nobody asked for went on as long as the store was away.
// Sequence: the store is away while an append is under way; a worker carries out a start of a job
// that is over by now.
// Cause: stops and paces, which need no record, were sent only between two appends.
// Settled by: they go out with every look at the time as well.
case!(a_run_that_nobody_asked_for_is_stopped_while_the_store_is_away, site, {
    let slow = Site::start(Duration::from_millis(4_000)).await;
    let id = "00000000000000b7";
    assert_eq!(slow.submit("h1", id, 4).await, 200);
    until(|| async { slow.book.runs().len() == 4 }).await;
    slow.store.set(StoreMode::Away);
    // Their ends are to be written, which goes on until the store is back.
    until(|| async { slow.book.runs().iter().all(|r| r.over.is_some()) }).await;
    sleep(Duration::from_millis(300)).await;
    slow.runners[0].carry_out_late("00000000000000ff.0.0.0");
    until(|| async { slow.book.runs().iter().all(|r| r.over.is_some()) }).await;
    assert_eq!(slow.book.runs()[4].over.map(|(_, how)| how), Some("stopped"));
    slow.store.set(StoreMode::Ok);
    slow.completed("h1", id).await;
    assert!(site.book.runs().is_empty());
});

// Symptom: a cell changed hands twice within a second, and its second owner began while the first one's runs were new.
// Sequence: two hosts find a cell free; the one that joins too late leaves at once.
// Cause: what was dealt to it was the owner's again, but only for a join that knew of that; the next one did not, and
// the owner gave the cell up.
// Settled by: the owner joins once more with the generation that it has heard.
case!(an_owner_outlasts_a_host_that_joins_too_late, site, {
    until(|| async { site.runners.iter().all(|r| r.fence() > 0) }).await;
    let (first, fence) = (owner(&site).await, site.runners[0].fence());
    // Its name comes first, so the cell is dealt to it.
    assert!(site.store.visit("cell-0", "a", 0));
    let held = async || site.store.holds("cell-0", 0).is_some_and(|m| m.starts_with(&first));
    until(held).await;
    assert_eq!(site.submit("h1", "00000000000000b7", 2).await, 200);
    site.completed("h2", "00000000000000b7").await;
    assert!(site.runners.iter().all(|r| r.fence() == fence), "the cell changed hands");
});
