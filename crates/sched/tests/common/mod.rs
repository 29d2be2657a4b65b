//! A cell of three scheds on stand-ins of the platform.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use myrtle_config::hash_token;
use myrtle_platform::{Caller, RunState};
use myrtle_sched::Sched;
use myrtle_standin::{Control, Run, Summary, WorkerMode, World, WorldConfig};

/// Name of the data centre.
pub const CENTRE: &str = "attiki-a";

/// Timeout of an operator's request.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A cell of three scheds.
pub struct Site {
    pub world: Arc<World>,
    pub scheds: Vec<Sched>,
}

impl Site {
    pub async fn start(plan: &WorldConfig, jobs: &str) -> Self {
        let world = World::start(plan).await.unwrap();
        world.apply(&desired(jobs), 0).await;
        let mut site = Self { world, scheds: Vec::new() };
        for n in 0..3 {
            site.add(&format!("s{n}")).await;
        }
        site
    }

    pub async fn add(&mut self, name: &str) {
        let settings = self.world.settings(name, CENTRE);
        self.scheds.push(myrtle_sched::start(settings).await.unwrap());
    }

    pub fn control(&self, control: Control) {
        self.world.control(control).unwrap();
    }

    pub fn worker(&self, n: usize, mode: WorkerMode) {
        self.control(Control::Worker(format!("{CENTRE}-w{n:02}"), mode));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.world.record.runs()
    }

    pub fn running(&self) -> usize {
        self.runs().iter().filter(|r| r.to.is_none()).count()
    }

    pub fn done(&self) -> usize {
        self.runs().iter().filter(|r| r.end == Some(RunState::Done)).count()
    }

    pub async fn get(&self, sched: usize, path: &str) -> Value {
        Caller::default().get(self.scheds[sched].http, path, TIMEOUT).await.unwrap()
    }

    pub async fn post(&self, sched: usize, path: &str, body: &Value) -> Value {
        Caller::default().post(self.scheds[sched].http, path, body, TIMEOUT).await.unwrap()
    }

    /// Asserts that no task ran or ended twice, no worker was overcommitted and no confirmed work was lost.
    pub fn check_runs(&self) -> Summary {
        let seen = self.world.record.summary();
        assert_eq!(seen.doubled_tasks, Vec::<String>::new());
        assert_eq!(seen.done_twice, Vec::<String>::new());
        assert_eq!(seen.lost_work, Vec::<String>::new());
        assert_eq!(seen.overcommits, Vec::<String>::new());
        seen
    }
}

/// Returns the desired state with the given jobs.
pub fn desired(jobs: &str) -> String {
    let token = hash_token("t");
    format!(
        "scope: platform\ndata_centres:\n  {CENTRE}:\n    region: attiki\n    \
         hosts: [s0, s1, s2]\nservices:\n  nomgate:\n    slots: 8\n    connections: 64\n    \
         target: 150ms\nclasses:\n  dear:\n    price: 9\n    deadline: 2s\n  cheap:\n    \
         price: 1\n    deadline: 2s\nparties:\n  helios:\n    token_sha256: {token}\n    \
         rate: 100\n    classes: [dear, cheap]\njobs:\n{jobs}"
    )
}

/// Returns one job of the desired state, a watcher if `run_time` is empty.
pub fn job(name: &str, class: &str, tasks: u32, cores: u32, run_time: &str) -> String {
    let run_time = match run_time {
        "" => "watcher: true".to_string(),
        time => format!("run_time: {time}"),
    };
    format!(
        "  {name}:\n    party: helios\n    class: {class}\n    kind: {name}\n    \
         data_centre: {CENTRE}\n    tasks: {tasks}\n    cores: {cores}\n    memory: 1GB\n    \
         {run_time}\n"
    )
}

/// Returns a plan of stand-ins with the given number of workers.
pub fn plan(workers: usize) -> WorldConfig {
    WorldConfig { workers, ..WorldConfig::default() }
}

/// Step by which the virtual clock advances.
const STEP: Duration = Duration::from_millis(5);

/// Real time before each step for sockets, which do not follow the virtual clock, to deliver bytes.
const SETTLE: Duration = Duration::from_micros(400);

/// Advances the paused clock until the test ends.
///
/// An idle runtime would advance it to the next timeout while bytes are in transit.
pub fn advance_clock() {
    tokio::spawn(async {
        loop {
            // A running blocking task keeps the runtime from advancing the clock.
            let _ = tokio::task::spawn_blocking(|| std::thread::sleep(SETTLE)).await;
            tokio::time::advance(STEP).await;
        }
    });
}
