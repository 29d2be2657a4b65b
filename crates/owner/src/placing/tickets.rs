//! Tickets for queues whose policy allows only some workers.

use std::sync::Arc;

use log::info;

use myrtle_job::{Incarnation, JobId, TaskId};

use crate::jobs::job::StepTickets;
use crate::{Cell, Job};

/// The most workers that one question names: the number that the platform assumes for a step.
const MAX_WORKERS: usize = 30;

/// The time before its expiry from which a ticket isn't used, in milliseconds: the start has to be
/// written and sent first.
const EXPIRY_MARGIN: u64 = 150;

/// The delay after a question without an answer, in milliseconds.
const RETRY_DELAY: u64 = 100;

/// A question to the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The repetition of the job.
    pub round: u32,
    /// The step of the job.
    pub step: u16,
    /// The workers that could run the step.
    pub workers: Vec<Incarnation>,
    /// The time limit for the answer, in milliseconds.
    pub limit: u64,
}

impl Question {
    /// The step's name in the request to the policy service.
    pub fn name(&self) -> String {
        format!("{}.{}.{}", self.job, self.round, self.step)
    }
}

impl Cell {
    /// Takes the questions raised since the last call.
    pub fn take_questions(&mut self) -> Vec<Question> {
        std::mem::take(&mut self.questions)
    }

    /// Records which workers may run a step; `good` is nothing if there was no answer.
    pub fn record_answer(
        &mut self,
        question: &Question,
        good: Option<Vec<(Incarnation, String)>>,
        asked_at: u64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&question.job) else {
            return;
        };
        let valid = job.submission.policy.ticket_times.map_or(0, |a| a.valid_ms);
        let tickets = job.tickets.entry((question.round, question.step)).or_default();
        tickets.asking = false;
        self.open.insert(question.job);
        let Some(good) = good else {
            tickets.ask_at = now + RETRY_DELAY;
            return;
        };
        info!(
            "event=tickets step={} asked={} good={}",
            question.name(),
            question.workers.len(),
            good.len()
        );
        tickets.asked.extend(question.workers.iter().cloned());
        // The ticket's validity may have begun as early as the question was sent.
        let until = asked_at + valid.saturating_sub(EXPIRY_MARGIN);
        for (worker, ticket) in good {
            tickets.good.insert(worker, (ticket.into(), until));
        }
    }

    /// Asks for tickets for a step if it needs some and no question is pending.
    pub(crate) fn ask(&mut self, task: TaskId, now: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(advice) = job.submission.policy.ticket_times else {
            return;
        };
        let spec = job.step(task.step);
        let empty = StepTickets::default();
        let tickets = job.tickets.get(&(task.round, task.step)).unwrap_or(&empty);
        if tickets.asking || tickets.ask_at > now {
            return;
        }
        let has_valid = tickets.good.values().any(|(_, until)| *until > now);
        let candidates = self
            .workers
            .iter()
            .filter(|(_, w)| w.accepts_work(now) && self.has_room(w, job, spec, task));
        // Answers don't change, so workers that were refused aren't asked about again.
        let candidates = candidates
            .filter(|(id, _)| !tickets.asked.contains(id) || tickets.good.contains_key(*id));
        let mut candidates: Vec<_> = candidates.collect();
        candidates.retain(|(id, _)| !has_valid || !tickets.asked.contains(id));
        candidates.sort_by_key(|(_, w)| std::cmp::Reverse(w.free().cpu));
        let workers: Vec<_> =
            candidates.into_iter().take(MAX_WORKERS).map(|(id, _)| id.clone()).collect();
        if workers.is_empty() {
            return;
        }
        let limit = advice.call_ms + advice.worker_ms * workers.len() as u64;
        let question =
            Question { job: task.job, round: task.round, step: task.step, workers, limit };
        self.questions.push(question);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.tickets.entry((task.round, task.step)).or_default().asking = true;
        }
    }
}

impl Job {
    /// The ticket for a worker, if the step has one that is still valid.
    pub(crate) fn ticket(&self, task: TaskId, worker: &Incarnation, now: u64) -> Option<Arc<str>> {
        let tickets = self.tickets.get(&(task.round, task.step))?;
        let (ticket, until) = tickets.good.get(worker)?;
        (*until > now).then(|| ticket.clone())
    }
}
