//! Scheds and workers under faults, checked against the stand-ins' record of runs.

mod common;

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use common::{CENTRE, Site, TIMEOUT, desired, job, plan};
use myrtle_platform::{Caller, RunState};
use myrtle_standin::{Control, LogMode, WorkerMode, WorldConfig, until};

macro_rules! case {
    ($name:ident, $workers:literal, $jobs:expr, $site:ident => $body:block) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::start(&plan($workers), &$jobs).await;
            $body
        }
    };
}

case!(all_tasks_of_a_job_end_once, 3, job("a", "cheap", 60, 4, "500ms"), site => {
    until("all are done", || site.done() == 60).await;
    assert_eq!(site.check_runs().started, 60);
});

case!(a_dearer_task_preempts_cheaper_ones_that_resume, 1, job("a", "cheap", 8, 4, "4s"),
site => {
    until("the worker is full", || site.running() == 8).await;
    let both = job("a", "cheap", 8, 4, "4s") + &job("urgent", "dear", 1, 16, "1s");
    site.world.apply(&desired(&both), 1).await;
    until("all are done", || site.done() == 9).await;
    let seen = site.check_runs();
    assert!(seen.stopped >= 4 && seen.resumed >= 4, "{seen:?}");
});

#[rstest]
#[case::that_died(WorkerMode::Down)]
#[case::that_was_frozen(WorkerMode::Paused)]
#[case::that_was_cut_off(WorkerMode::Cut)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_worker(#[case] mode: WorkerMode) {
    let jobs = job("w", "dear", 6, 4, "");
    let site = Site::start(&plan(3), &jobs).await;
    until("all run", || site.running() == 6).await;
    site.worker(0, mode);
    let first = format!("{CENTRE}-w00");
    let moved = |site: &Site| {
        let runs = site.runs();
        let gone = runs.iter().filter(|r| r.worker == first).count();
        let elsewhere = runs.iter().filter(|r| r.worker != first && r.to.is_none()).count();
        gone > 0 && elsewhere == 6 || gone == 0
    };
    until("all run elsewhere", || moved(&site)).await;
    site.worker(0, WorkerMode::Ok);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.check_runs();
    assert_eq!(site.running(), 6);
}

case!(work_goes_on_while_the_log_is_away_for_longer_than_a_lease, 3,
job("a", "cheap", 6, 4, "12s") + &job("w", "dear", 3, 1, ""), site => {
    until("all run", || site.running() == 9).await;
    // Hosts make promises only after they have been up for longer than a lease.
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.control(Control::Log(LogMode::Away));
    tokio::time::sleep(Duration::from_secs(14)).await;
    let seen = site.check_runs();
    assert_eq!((seen.started, seen.stopped, seen.done), (9, 0, 6));
    site.control(Control::Log(LogMode::Ok));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let jobs = site.get(0, "/jobs").await;
    let a = jobs.as_array().unwrap().iter().find(|j| j["job"] == "a").unwrap();
    assert_eq!((&a["done"], &a["open"]), (&6.into(), &0.into()));
    assert_eq!(site.check_runs().started, 9);
});

case!(appends_with_lost_answers_take_effect_once, 3, job("a", "cheap", 1, 1, "100ms"), site => {
    until("the first one is done", || site.done() == 1).await;
    site.control(Control::Log(LogMode::Lose));
    let more = job("a", "cheap", 1, 1, "100ms") + &job("b", "cheap", 30, 2, "300ms");
    // The change takes effect although the log reports a failure.
    let world = site.world.clone();
    let text = desired(&more);
    let applied = tokio::spawn(async move { world.apply(&text, 1).await });
    assert!(applied.await.is_err());
    until("all are done", || site.done() == 31).await;
    assert_eq!(site.check_runs().started, 31);
});

case!(hosts_with_nothing_on_disk_take_over, 3, job("a", "cheap", 9, 4, "6s"), site => {
    until("all run", || site.running() == 9).await;
    site.scheds.clear();
    // The new hosts must renew the leases before they lapse.
    for n in 0..3 {
        site.add(&format!("s{n}")).await;
    }
    until("all are done", || site.done() == 9).await;
    assert_eq!(site.check_runs().started, 9);
});

case!(a_sched_dies_at_any_time, 3, job("a", "cheap", 40, 4, "1s"), site => {
    for n in 0..3 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        drop(site.scheds.remove(0));
        site.add(&format!("s{n}")).await;
    }
    until("all are done", || site.done() == 40).await;
    site.check_runs();
});

case!(a_host_that_starts_without_the_log_adopts_the_state_of_a_peer, 2, job("w", "dear", 2, 1, ""),
site => {
    until("all run", || site.running() == 2).await;
    site.control(Control::Log(LogMode::Away));
    drop(site.scheds.remove(2));
    site.add("s2").await;
    let fresh = site.scheds[2].http;
    let config = || async {
        let status: Value = Caller::default().get(fresh, "/status", TIMEOUT).await.unwrap();
        status["config"].as_u64().unwrap()
    };
    for _ in 0..200 {
        if config().await > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(config().await, 1);
    assert_eq!(site.get(2, "/jobs").await[0]["job"], "w");
});

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_starts_from_a_snapshot_when_the_first_records_are_gone() {
    let plan = WorldConfig { retained: 400, ..plan(2) };
    let mut site = Site::start(&plan, &job("w", "dear", 2, 1, "")).await;
    until("all run", || site.running() == 2).await;
    let log = site.world.log_client();
    // Undecodable records count towards the log's limit and displace the first ones.
    for _ in 0..600 {
        log.append(&format!("cell/{CENTRE}"), vec![0xff; 8]).await.unwrap();
        log.append("config", vec![b'?'; 8]).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..300 {
        log.append(&format!("cell/{CENTRE}"), vec![0xff; 8]).await.unwrap();
    }
    // All hosts are replaced, so the state can only come from the log.
    site.scheds.clear();
    for n in 0..3 {
        site.add(&format!("s{n}")).await;
    }
    let mut jobs = Value::Null;
    for _ in 0..200 {
        jobs = site.get(0, "/jobs").await;
        if jobs[0]["job"] == "w" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(jobs[0]["job"], "w");
    assert_eq!(site.get(0, "/status").await["config"], 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!((site.check_runs().started, site.running()), (2, 2));
}

case!(a_burst_of_cancellations_leaves_nothing_running, 2, {
    let many = (0..500).map(|n| job(&format!("j{n}"), "cheap", 20, 1, "30s"));
    many.collect::<String>()
}, site => {
    until("the workers are full", || site.running() >= 64).await;
    let names: Vec<String> = (0..500).map(|n| format!("j{n}")).collect();
    let answer = site.post(0, "/cancel", &serde_json::json!(names)).await;
    assert_eq!((&answer["cancelled"], &answer["stopping"]), (&500.into(), &0.into()));
    let accepted = site.world.record.now();
    assert_eq!(site.running(), 0);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let late = site.runs().into_iter().filter(|r| r.from > accepted).count();
    assert_eq!((late, site.running()), (0, 0));
    site.check_runs();
});

case!(a_worker_that_fails_every_task_gets_a_backoff, 3, job("a", "cheap", 40, 4, "400ms"), site => {
    site.worker(1, WorkerMode::Failing);
    until("all are done", || site.done() == 40).await;
    let failed = site.runs().iter().filter(|r| r.end == Some(RunState::Failed)).count();
    assert!(failed <= 20, "{failed} attempts failed");
    site.check_runs();
});

case!(of_two_concurrent_changes_one_is_accepted, 2, job("a", "cheap", 1, 1, "100ms"), site => {
    until("the first one is done", || site.done() == 1).await;
    let one = desired(&job("b", "cheap", 4, 1, "100ms"));
    let two = desired(&job("c", "cheap", 4, 1, "100ms"));
    tokio::join!(site.world.apply(&one, 1), site.world.apply(&two, 1));
    until("one of them is done", || site.done() == 5).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.done(), 5);
    let versions = [0, 1, 2].map(|n| site.get(n, "/status"));
    for status in futures::future::join_all(versions).await {
        assert!(matches!(status["config"].as_u64(), Some(2 | 3)), "{status}");
    }
    site.check_runs();
});

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_that_use_four_times_what_they_declared_do_not_fill_a_worker() {
    let plan = WorldConfig { scale: 4.0, ..plan(2) };
    let site = Site::start(&plan, &job("fat", "cheap", 16, 2, "")).await;
    until("all run", || site.running() >= 16).await;
    // Eight tasks of two declared cores use 64 of a worker's 32 cores, so half must be evicted.
    let room = |n: usize| {
        let name = format!("{CENTRE}-w{n:02}");
        site.runs().iter().filter(|r| r.worker == name && r.to.is_none()).count() * 8
    };
    until("both workers hold what runs", || (0..2).all(|n| room(n) <= 32)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!((0..2).all(|n| room(n) <= 32), "{} and {} cores", room(0), room(1));
    site.check_runs();
    let why = site.get(0, "/why?task=fat.0").await;
    assert!(why["state"].is_string(), "{why}");
}

case!(a_service_beyond_its_target_gets_batch_evicted, 2, job("a", "cheap", 1, 16, ""), site => {
    until("it runs", || site.running() == 1).await;
    let first = site.runs()[0].worker.clone();
    let host = site.world.hosts.list().into_iter().find(|h| h.name == first).unwrap();
    let load = tokio::spawn(async move {
        let caller = Caller::default();
        loop {
            let _ = caller.get::<Value>(host.peer, "/slow", TIMEOUT).await;
        }
    });
    site.control(Control::Upstream(first.clone(), myrtle_standin::UpstreamMode::Heavy));
    let moved = || site.runs().iter().any(|r| r.worker != first && r.to.is_none());
    until("it runs beside the other service", moved).await;
    load.abort();
    let seen = site.check_runs();
    assert!(seen.stopped >= 1, "{seen:?}");
});
