//! Tickets of queues whose policy allows only some workers.

use std::sync::Arc;

use log::info;

use myrtle_job::{Incarnation, JobId, TaskId};

use crate::jobs::job::Permits;
use crate::{Cell, Job};

/// How many workers one question names: what the platform counts on for a step.
const NAMED: usize = 30;

/// The time before a ticket's end from which on it is not used, in milliseconds: a start is
/// written and sent first.
const SPARE: u64 = 150;

/// The pause after a question without an answer, in milliseconds.
const AGAIN: u64 = 100;

/// A question to the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job.
    pub round: u32,
    /// Which step of the job.
    pub step: u16,
    /// The workers that could run it.
    pub workers: Vec<Incarnation>,
    /// How long the answer may take, in milliseconds.
    pub limit: u64,
}

impl Question {
    /// The name of the step, as the service is told it.
    pub fn name(&self) -> String {
        format!("{}.{}.{}", self.job, self.round, self.step)
    }
}

impl Cell {
    /// Questions that came up since the last call.
    pub fn questions(&mut self) -> Vec<Question> {
        std::mem::take(&mut self.questions)
    }

    /// Takes in which workers may run a step; nothing if there was no answer.
    pub fn answered(
        &mut self,
        question: &Question,
        good: Option<Vec<(Incarnation, String)>>,
        asked_at: u64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&question.job) else {
            return;
        };
        let valid = job.submission.policy.advice.map_or(0, |a| a.valid);
        let permits = job.tickets.entry((question.round, question.step)).or_default();
        permits.asking = false;
        self.open.insert(question.job);
        let Some(good) = good else {
            permits.pause = now + AGAIN;
            return;
        };
        info!(
            "event=tickets step={} asked={} good={}",
            question.name(),
            question.workers.len(),
            good.len()
        );
        permits.asked.extend(question.workers.iter().cloned());
        // A ticket's time may have begun as early as the question was sent.
        let until = asked_at + valid.saturating_sub(SPARE);
        for (worker, ticket) in good {
            permits.good.insert(worker, (ticket.into(), until));
        }
    }

    /// Asks for tickets of a step if it needs some and none is asked for.
    pub(crate) fn ask(&mut self, task: TaskId, now: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(advice) = job.submission.policy.advice else {
            return;
        };
        let spec = job.step(task.step);
        let empty = Permits::default();
        let known = job.tickets.get(&(task.round, task.step)).unwrap_or(&empty);
        if known.asking || known.pause > now {
            return;
        }
        let fresh = known.good.values().any(|(_, until)| *until > now);
        let able =
            self.workers.iter().filter(|(_, w)| w.open(now) && self.allowed(w, job, spec, task));
        // Answers do not change: workers that were turned down are not asked again.
        let able = able.filter(|(id, _)| !known.asked.contains(id) || known.good.contains_key(*id));
        let mut able: Vec<_> = able.collect();
        able.retain(|(id, _)| !fresh || !known.asked.contains(id));
        able.sort_by_key(|(_, w)| std::cmp::Reverse(w.free().cpu));
        let workers: Vec<_> = able.into_iter().take(NAMED).map(|(id, _)| id.clone()).collect();
        if workers.is_empty() {
            return;
        }
        let limit = advice.base + advice.each * workers.len() as u64;
        let question =
            Question { job: task.job, round: task.round, step: task.step, workers, limit };
        self.questions.push(question);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.tickets.entry((task.round, task.step)).or_default().asking = true;
        }
    }
}

impl Job {
    /// The ticket for a worker, if the step has one that still holds.
    pub(crate) fn ticket(&self, task: TaskId, worker: &Incarnation, now: u64) -> Option<Arc<str>> {
        let permits = self.tickets.get(&(task.round, task.step))?;
        let (ticket, until) = permits.good.get(worker)?;
        (*until > now).then(|| ticket.clone())
    }
}
