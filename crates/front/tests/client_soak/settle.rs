//! What has to come after the faults: jobs complete, long-running tasks run, and nothing waits beside free room.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::Client;
use crate::jobs::{Ending, wall_ms};
use crate::ledger::{Entry, Ledger, is_final};
use crate::traffic::ask_for;
use crate::world::World;

/// The time between two looks at all jobs.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The time after the faults from which on waiting counts.
const CALM: Duration = Duration::from_secs(4);

/// The time for which a job may have nothing running beside free room.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The time from the end of a long-running task's run until its waiting counts.
const RERUN_TIME: Duration = Duration::from_secs(6);

/// The share of the workers in use from which on a job may wait.
const BUSY_SHARE: f64 = 0.5;

/// The time after the faults at which all jobs have to be over.
const LIMIT: Duration = Duration::from_secs(60);

/// The number of jobs that are asked for at each look.
const ASKED: usize = 5;

/// The tasks of all jobs as the workers have seen them.
struct Seen {
    done: BTreeSet<String>,
    running: BTreeSet<String>,
    last_end: BTreeMap<String, Instant>,
}

/// What waits, with the time since which it does.
#[derive(Default)]
struct Waits(BTreeMap<String, Instant>);

/// Waits until all jobs are over and long-running tasks run; returns what broke.
pub async fn settle(world: &World, ledger: &Ledger, client: &mut Client) -> Vec<String> {
    let begin = Instant::now();
    let (mut waits, mut broken, mut next) = (Waits::default(), BTreeSet::new(), 0);
    loop {
        let seen = Seen::now(world);
        let open: Vec<_> =
            ledger.accepted().into_iter().filter(|entry| !is_settled(entry, &seen)).collect();
        broken.extend(open.iter().filter_map(given_up));
        let open: Vec<_> = open.into_iter().filter(|entry| given_up(entry).is_none()).collect();
        if open.is_empty() {
            println!("  settled {:.1?} after the faults", begin.elapsed());
            return broken.into_iter().collect();
        }
        if begin.elapsed() > LIMIT {
            let of = |entry: &Entry| open_after_limit(entry, ledger);
            broken.extend(open.iter().map(of));
            return broken.into_iter().collect();
        }
        if begin.elapsed() > CALM {
            let waiting: BTreeSet<_> = open.iter().flat_map(|e| seen.waiting(e)).collect();
            let free = world.in_use() < BUSY_SHARE;
            for (what, id) in waits.update(waiting.into_iter().filter(|_| free).collect()) {
                let entry = open.iter().find(|entry| entry.job.id == id).unwrap();
                if !ask_for(client, ledger, &entry.job).await {
                    let what = format!(
                        "{what} has waited for {MAX_WAIT:?} at {:.1?} after the faults, {:.0}% in use",
                        begin.elapsed(),
                        world.in_use() * 100.0
                    );
                    println!("WAITS: {what}{}", ledger.history(&id));
                    broken.insert(what);
                }
            }
        }
        for _ in 0..ASKED {
            next += 1;
            let entry = &open[next % open.len()];
            ask_for(client, ledger, &entry.job).await;
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Whether nothing is owed for a job any more.
fn is_settled(entry: &Entry, seen: &Seen) -> bool {
    match entry.job.ending {
        Ending::Never => entry.job.tasks(u64::MAX).all(|task| seen.running.contains(&task)),
        // Its end was allowed when it was reported.
        _ => is_final(&entry.state),
    }
}

/// Why a long-running job will not run again, if it is known to be over.
fn given_up(entry: &Entry) -> Option<String> {
    let over = entry.job.ending == Ending::Never && is_final(&entry.state);
    over.then(|| format!("{} runs until it is cancelled, and is {}", entry.job.path(), entry.state))
}

fn open_after_limit(entry: &Entry, ledger: &Ledger) -> String {
    let id = &entry.job.id;
    println!("OPEN: {}, {}:{}", entry.job.path(), entry.state, ledger.history(id));
    format!("{} ({:?}) is {:?} after {LIMIT:?}", entry.job.path(), entry.job.ending, entry.state)
}

impl Seen {
    fn now(world: &World) -> Self {
        let mut seen =
            Self { done: BTreeSet::new(), running: BTreeSet::new(), last_end: BTreeMap::new() };
        for run in world.book.runs() {
            match run.ended {
                None => {
                    seen.running.insert(run.task);
                }
                Some((at, how)) => {
                    if how == "done" {
                        seen.done.insert(run.task.clone());
                    }
                    let last = seen.last_end.entry(run.task).or_insert(at);
                    *last = at.max(*last);
                }
            }
        }
        seen
    }

    /// What of a job has its turn and does not run, with the job's id: the whole job, or tasks of a long-running one.
    fn waiting(&self, entry: &Entry) -> Vec<(String, String)> {
        let job = &entry.job;
        let absent = |task: &String| {
            let ended = self.last_end.get(task);
            !self.running.contains(task) && ended.is_none_or(|at| at.elapsed() > RERUN_TIME)
        };
        let waiting = match job.ending {
            Ending::Never => job.tasks(u64::MAX).filter(absent).collect(),
            _ if entry.cancelled.is_some() => Vec::new(),
            _ => {
                // Steps follow each other, so that the turn of one of the tasks that aren't done has come.
                let mut undone = job.tasks(wall_ms()).filter(|task| !self.done.contains(task));
                let waits = undone.next().is_some()
                    && !job.tasks(u64::MAX).any(|task| self.running.contains(&task));
                if waits { vec![job.path()] } else { Vec::new() }
            }
        };
        waiting.into_iter().map(|what| (what, job.id.clone())).collect()
    }
}

impl Waits {
    /// Takes what waits now; returns what has waited for too long, each once.
    fn update(&mut self, waiting: Vec<(String, String)>) -> Vec<(String, String)> {
        let now = Instant::now();
        self.0.retain(|known, _| waiting.iter().any(|(what, _)| what == known));
        let mut late = Vec::new();
        for (what, id) in waiting {
            let since = self.0.entry(what.clone()).or_insert(now);
            if now >= *since + MAX_WAIT {
                // It is told again after a long time only.
                *since = now + LIMIT;
                late.push((what, id));
            }
        }
        late
    }
}
