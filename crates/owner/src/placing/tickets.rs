//! Tickets for queues whose policy allows only some workers: which steps need some, the questions
//! about them, and the answers.

use std::cmp::Reverse;

use log::info;

use myrtle_job::{Incarnation, TaskId};
use myrtle_tickets::{Need, StepId, StepTickets};

use crate::{Cell, Job, Worker};

/// The most workers that one question names: the number that the platform assumes for a step.
const MAX_WORKERS: usize = 30;

/// The longest time that a question is expected to take, in milliseconds, whatever its queue declares.
const MAX_WORK: u64 = 600_000;

/// A question to the ticket service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The step that needs tickets.
    pub step: StepId,
    /// The workers that could run the step.
    pub workers: Vec<Incarnation>,
    /// The service's time for the question, as the queue declares it, in milliseconds.
    pub work: u64,
    /// Since when the step waits for its question.
    pub since: u64,
}

/// The outcome of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The workers that may run the step, with their tickets.
    Granted(Vec<(Incarnation, String)>),
    /// The service could not make sense of the question.
    Rejected,
    /// There was no answer; the question may be asked again.
    Missing,
}

/// The steps that wait for the ticket service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TicketQueue {
    /// The number of steps whose question has yet to be sent.
    pub waiting: usize,
    /// How long one of them has waited at most, in milliseconds.
    pub oldest: u64,
}

impl Cell {
    /// Takes the question to ask next, which counts as sent; nothing if no step needs one now.
    ///
    /// It is made only here, so that it names the workers that have room now, and nothing is asked
    /// for steps that were placed, cancelled or left without room while they waited.
    pub fn next_question(&mut self, now: u64) -> Option<Question> {
        while let Some((step, need)) = self.ticket_backlog.take() {
            let Some(question) = self.question(step, need.since, now) else {
                continue;
            };
            self.ticket_backlog.sent(step, &need, question.work);
            if let Some(job) = self.jobs.get_mut(&step.job) {
                job.tickets.entry(step).or_default().asked();
            }
            return Some(question);
        }
        None
    }

    /// Asks a question again that has had no answer for long; nothing if the step needs none now.
    pub fn repeat_question(&mut self, question: &Question, now: u64) -> Option<Question> {
        let again = self.question(question.step, question.since, now)?;
        let job = self.jobs.get_mut(&question.step.job)?;
        job.tickets.entry(question.step).or_default().asked();
        Some(again)
    }

    /// Records the outcome of a question that was sent at `asked_at`.
    pub fn record_answer(&mut self, question: &Question, answer: Answer, asked_at: u64, now: u64) {
        let step = question.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let valid = job.submission.policy.ticket_times.map_or(0, |times| times.valid_ms);
        // A job with a schedule would otherwise gather answers about all of its repetitions.
        job.tickets.retain(|step, _| job.progress.rounds.contains_key(&step.round));
        let tickets = job.tickets.entry(step).or_default();
        self.open.insert(step.job);
        match answer {
            Answer::Granted(good) => {
                info!(
                    "event=tickets step={step} asked={} good={} took_ms={}",
                    question.workers.len(),
                    good.len(),
                    now.saturating_sub(asked_at)
                );
                // The plan that follows shows what is still needed.
                tickets.answered(&question.workers, good, asked_at, question.work, valid, now);
            }
            // The plans after the pause ask again.
            Answer::Rejected => tickets.rejected(now),
            Answer::Missing => {
                tickets.unanswered();
                // It keeps its age.
                self.need_tickets(step, 0, question.since, now);
            }
        }
    }

    /// The steps that wait for the ticket service.
    pub fn ticket_queue(&mut self, now: u64) -> TicketQueue {
        let jobs = &self.jobs;
        self.ticket_backlog
            .retain(|step| jobs.get(&step.job).is_some_and(|j| !j.progress.state.over()));
        let oldest = self.ticket_backlog.oldest().map_or(0, |since| now.saturating_sub(since));
        TicketQueue { waiting: self.ticket_backlog.len(), oldest }
    }

    /// Whether a step waits for the ticket service.
    pub fn needs_tickets(&self) -> bool {
        !self.ticket_backlog.is_empty()
    }

    /// Queues a question for the step of a task that found no worker, if it needs tickets.
    pub(crate) fn ask(&mut self, task: TaskId, now: u64) {
        let place = self.pass.considered.len();
        if !self.ticket_backlog.update_place(task.into(), place) {
            self.need_tickets(task.into(), place, now, now);
        }
    }

    /// Why a step waits for tickets; `task` is one of its tasks.
    pub(crate) fn ticket_reason(&self, job: &Job, task: TaskId, now: u64) -> &'static str {
        let step = StepId::from(task);
        let Some(tickets) = job.tickets.get(&step) else {
            return match self.ticket_backlog.contains(step) {
                true => "it waits for its turn at the ticket service",
                false => "no worker with room has a ticket",
            };
        };
        if tickets.is_asking() {
            return "the ticket service has yet to answer";
        }
        if self.ticket_backlog.contains(step) {
            return "it waits for its turn at the ticket service";
        }
        if !tickets.may_ask(now) {
            return "the last answers of the ticket service were of no use, so it is asked again later";
        }
        "the ticket service bars every worker with room"
    }

    /// Queues a question about a step, which waits since a time, if one is needed now.
    fn need_tickets(&mut self, step: StepId, place: usize, since: u64, now: u64) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let paused = job.tickets.get(&step).is_some_and(|tickets| !tickets.may_ask(now));
        if paused || self.workers_to_name(step, now).is_empty() {
            return;
        }
        let policy = &job.submission.policy;
        let need = Need { since, queue: policy.queue.clone(), priority: policy.priority, place };
        self.ticket_backlog.add(step, need);
    }

    /// The question about a step; nothing if it needs no tickets now.
    fn question(&self, step: StepId, since: u64, now: u64) -> Option<Question> {
        let job = self.jobs.get(&step.job)?;
        let times = job.submission.policy.ticket_times?;
        let claim = job.submission.spec.steps.get(usize::from(step.step))?.claim();
        let mut workers = self.workers_to_name(step, now);
        workers.sort_by_key(|(_, w)| (!claim.fits(&w.free()), Reverse(w.free().cpu)));
        let workers: Vec<Incarnation> =
            workers.into_iter().take(MAX_WORKERS).map(|(id, _)| id.clone()).collect();
        if workers.is_empty() {
            return None;
        }
        let named = times.worker_ms.saturating_mul(workers.len() as u64);
        let work = times.call_ms.saturating_add(named).min(MAX_WORK);
        Some(Question { step, workers, work, since })
    }

    /// The workers about which to ask for a step: those that could run a task of it. Workers that are
    /// full now are named too, as they may have room while the tickets are valid; there are none
    /// unless one has room.
    fn workers_to_name(&self, step: StepId, now: u64) -> Vec<(&Incarnation, &Worker)> {
        let Some((job, task)) = self.waiting_task(step, now) else {
            return Vec::new();
        };
        let spec = job.step(step.step);
        let empty = StepTickets::default();
        let tickets = job.tickets.get(&step).unwrap_or(&empty);
        let open = || {
            let workers = self.workers.iter().filter(|(_, w)| w.accepts_work(now));
            workers.filter(|(_, w)| self.eligible(w, job, spec, task))
        };
        let claim = spec.claim();
        let doubts = self.doubts(job, spec, task, now);
        let takes = |id, w: &Worker| claim.fits(&w.free()) && self.takes(id, w, spec, &doubts, now);
        let named: Vec<_> = open().filter(|(id, _)| tickets.wants(id, now)).collect();
        if !named.iter().any(|(id, w)| takes(id, w)) {
            return Vec::new();
        }
        let usable = open().filter(|(id, _)| !tickets.is_refused(id));
        let room = || usable.map(|(_, w)| u64::from(claim.count_in(&w.free()))).sum::<u64>();
        if spec.gang && room() < u64::from(spec.count) {
            return Vec::new();
        }
        named
    }

    /// The first task of a step that waits, with its job, if the job needs tickets and the step's
    /// turn has come.
    fn waiting_task(&self, step: StepId, now: u64) -> Option<(&Job, TaskId)> {
        let job = self.jobs.get(&step.job).filter(|job| !job.progress.state.over())?;
        job.submission.policy.ticket_times?;
        let round = job.progress.rounds.get(&step.round)?;
        if !round.ready(&job.submission.spec, usize::from(step.step)) {
            return None;
        }
        Some((job, *self.waiting(step.job, step.round, step.step, now).first()?))
    }
}
