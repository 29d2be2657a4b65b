//! What clients have asked for and been answered.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use myrtle_standin::{Plans, RunLog};

use crate::client::{Cut, Outcome};
use crate::jobs::{Ending, Job};
use crate::settings::max_failures;

/// The number of lost runs of a task at which its job may fail.
const MAX_LOSSES: usize = 2;

/// A job as its clients know it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The job.
    pub job: Arc<Job>,
    /// When it was first accepted.
    pub accepted: Option<Instant>,
    /// When its cancelling was first asked for.
    pub cancelled: Option<Instant>,
    /// The state that was reported last.
    pub state: String,
}

/// The jobs and the answers of all clients.
pub struct Ledger {
    book: Arc<RunLog>,
    plans: Arc<Plans>,
    jobs: Mutex<BTreeMap<String, Entry>>,
    /// The number of answers by status; 0 for requests that could not be sent.
    pub answers: Mutex<BTreeMap<u16, usize>>,
    /// The requests whose connection ended without a complete answer.
    pub cuts: Mutex<Vec<Cut>>,
    /// The requests without an answer in time.
    pub silent: Mutex<Vec<Cut>>,
    /// The jobs that were reported as failed although no task failed so often, with the most losses of one task.
    pub given_up: Mutex<BTreeMap<String, usize>>,
    /// The answers that were wrong.
    pub wrong: Mutex<Vec<String>>,
}

impl Ledger {
    /// A ledger of jobs that run as recorded in a book.
    pub fn new(book: Arc<RunLog>, plans: Arc<Plans>) -> Self {
        Self {
            book,
            plans,
            jobs: Mutex::default(),
            answers: Mutex::default(),
            cuts: Mutex::default(),
            silent: Mutex::default(),
            given_up: Mutex::default(),
            wrong: Mutex::default(),
        }
    }

    /// Adds a job that is about to be submitted.
    pub fn add(&self, job: &Arc<Job>) {
        self.plans.set(&job.id, job.plans.clone());
        let entry =
            Entry { job: job.clone(), accepted: None, cancelled: None, state: String::new() };
        self.jobs.lock().unwrap().insert(job.id.clone(), entry);
    }

    /// Notes that a job was accepted.
    pub fn accept(&self, id: &str) {
        if let Some(entry) = self.jobs.lock().unwrap().get_mut(id) {
            entry.accepted.get_or_insert_with(Instant::now);
        }
    }

    /// Notes that the cancelling of a job is about to be asked for.
    pub fn cancel(&self, id: &str) {
        if let Some(entry) = self.jobs.lock().unwrap().get_mut(id) {
            entry.cancelled.get_or_insert_with(Instant::now);
        }
    }

    /// The accepted jobs, in order of acceptance.
    pub fn accepted(&self) -> Vec<Entry> {
        let jobs = self.jobs.lock().unwrap();
        let mut accepted: Vec<_> =
            jobs.values().filter(|e| e.accepted.is_some()).cloned().collect();
        accepted.sort_by_key(|entry| entry.accepted);
        accepted
    }

    /// Notes what became of a request; returns its status if there was an answer.
    pub fn note(&self, outcome: &Outcome) -> Option<u16> {
        let count = |status| *self.answers.lock().unwrap().entry(status).or_default() += 1;
        match outcome {
            Outcome::Answer(status, _) => {
                count(*status);
                return Some(*status);
            }
            Outcome::Cut(cut) => self.cuts.lock().unwrap().push(cut.clone()),
            Outcome::Silent(cut) => self.silent.lock().unwrap().push(cut.clone()),
            Outcome::Unsent => count(0),
        }
        None
    }

    /// Checks the answer to a request about a job that had been accepted before.
    pub fn check(&self, id: &str, host: &str, status: u16, body: &str) {
        let Some(mut entry) = self.jobs.lock().unwrap().get(id).cloned() else {
            return;
        };
        if status == 410 {
            let age = entry.accepted.unwrap().elapsed();
            self.blame(&format!("{id} is unknown to {host}, {age:?} after its acceptance"));
        }
        let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let Some(state) = value["state"].as_str().filter(|_| status == 200) else {
            return;
        };
        if state == "cancelled" && entry.cancelled.is_none() {
            self.blame(&format!("{id} is cancelled by {host}, which nobody asked for"));
        }
        if state == "failed" {
            self.check_failed(&entry, host);
        }
        if state == "completed" && !self.is_done(&entry.job) {
            self.blame(&format!("{id} is completed by {host}, but its tasks aren't done"));
        }
        if is_final(&entry.state) && entry.state != state {
            self.blame(&format!("{id} was {}, and is {state} by {host}", entry.state));
        }
        entry.state = state.into();
        self.jobs.lock().unwrap().get_mut(id).unwrap().state = state.into();
    }

    /// Checks that the runs of a job allow it to fail.
    fn check_failed(&self, entry: &Entry, host: &str) {
        let job = &entry.job;
        if self.most_ends(job, "failed") >= max_failures(job.prefix) {
            return;
        }
        let losses = self.most_ends(job, "lost");
        let runs = self.history(&job.id);
        if self.given_up.lock().unwrap().insert(job.path(), losses).is_none() {
            println!("GIVEN UP: {} by {host}, {losses} lost runs of one task:{runs}", job.path());
        }
        if losses < MAX_LOSSES {
            let age = entry.accepted.unwrap().elapsed();
            self.blame(&format!("{} failed by {host} without cause, age {age:?}:{runs}", job.id));
        }
    }

    /// The largest number of runs of one task of a job that ended in a way.
    fn most_ends(&self, job: &Job, how: &str) -> usize {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.book.runs() {
            if run.task.starts_with(&job.id) && run.ended.is_some_and(|(_, end)| end == how) {
                *counts.entry(run.task).or_default() += 1;
            }
        }
        counts.into_values().max().unwrap_or_default()
    }

    /// Whether all tasks of a job are done.
    pub fn is_done(&self, job: &Job) -> bool {
        let runs = self.book.runs();
        let done = |task: &String| {
            runs.iter().any(|r| r.task == *task && r.ended.is_some_and(|(_, how)| how == "done"))
        };
        job.ending != Ending::Never && job.tasks(u64::MAX).all(|task| done(&task))
    }

    /// The runs of a job, one a line.
    pub fn history(&self, id: &str) -> String {
        let runs = self.book.runs();
        let of_job = runs.iter().filter(|run| run.task.starts_with(id));
        let line = |run: &myrtle_standin::RunRecord| {
            let end = run.ended.map(|(at, how)| format!("{how} {:.1?} ago", at.elapsed()));
            let (task, number, worker) = (&run.task, run.run, &run.worker);
            let age = run.started.elapsed();
            let end = end.unwrap_or("runs".into());
            format!("\n    {task} run {number} on {worker} began {age:.1?} ago, {end}")
        };
        of_job.map(line).collect()
    }

    fn blame(&self, what: &str) {
        println!("WRONG: {what}");
        self.wrong.lock().unwrap().push(what.into());
    }
}

/// Whether a job in a state stays in it.
pub fn is_final(state: &str) -> bool {
    matches!(state, "completed" | "failed" | "cancelled")
}
