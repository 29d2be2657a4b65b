//! The simulated ticket service, and the calls of owners' hosts to it.
//!
//! It handles the calls of each host one after the other, also those whose caller has given up.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;

use myrtle_job::{Incarnation, TaskId, TicketTimes};
use myrtle_owner::{Answer, Question};
use myrtle_tickets::{CallEnd, CallId, Condition, StepId, Window};

use super::World;

/// The most calls of a host that wait.
const MAX_WAITING: usize = 32;

/// What the service does for a while in place of answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It keeps the calls and answers them afterwards.
    Hold,
    /// It forgets the calls that it has or receives.
    Forget,
    /// It refuses all calls.
    Refuse,
    /// Its connections break.
    Break,
}

/// The simulated ticket service.
pub struct Service {
    /// The times that its queues declare.
    pub times: TicketTimes,
    /// Its own time as a multiple of what is declared.
    pub slowdown: f64,
    /// Whether it drops calls whose caller has given up.
    pub skips: bool,
    /// When it is in trouble.
    pub troubles: Vec<(Range<u64>, Trouble)>,
    /// Steps whose questions it can't read.
    pub unreadable: Vec<StepId>,
    /// Of so many workers, it bars one from each step.
    pub bars: u64,
    lanes: BTreeMap<usize, Lane>,
    /// The machines of owners' hosts that run on the machine of another one.
    machines: BTreeMap<usize, usize>,
    tickets: HashMap<String, (StepId, Incarnation, u64)>,
    /// Calls that it received.
    pub calls: u32,
    /// Calls that it refused as too many waited.
    pub refused: u32,
    /// Questions that it answered, by step.
    pub answers: BTreeMap<StepId, u32>,
    /// Starts with a ticket that doesn't hold.
    pub invalid: u32,
    /// Steps in the order in which they were first answered.
    pub order: Vec<StepId>,
}

/// A call that waits.
#[derive(Clone)]
struct Waiting {
    host: usize,
    id: CallId,
    question: Question,
    at: u64,
}

/// The calls of one machine.
#[derive(Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    /// When the first call is answered, once its turn has come.
    until: Option<u64>,
}

/// A reply under way to a host.
type Reply = (CallId, CallEnd, Answer);

/// The calls of an owner's host.
#[derive(Default)]
pub struct Calls {
    pub window: Window,
    sent: BTreeMap<CallId, (Question, u64)>,
    /// Replies under way to the host.
    replies: Vec<Reply>,
    /// The conditions of the service that an operator was shown.
    pub conditions: Vec<Condition>,
}

impl Service {
    /// A service that bars one worker of four from each step.
    pub fn new(call_ms: u64, worker_ms: u64, valid_ms: u64) -> Self {
        Self {
            times: TicketTimes { call_ms, worker_ms, valid_ms },
            slowdown: 1.0,
            skips: false,
            troubles: Vec::new(),
            unreadable: Vec::new(),
            bars: 4,
            lanes: BTreeMap::new(),
            machines: BTreeMap::new(),
            tickets: HashMap::new(),
            calls: 0,
            refused: 0,
            answers: BTreeMap::new(),
            invalid: 0,
            order: Vec::new(),
        }
    }

    /// Whether a worker may run a step; this does not change.
    pub fn permits(&self, step: StepId, worker: &Incarnation) -> bool {
        let text = format!("{step} {worker}");
        let sum = text.bytes().fold(17u64, |sum, b| sum.wrapping_mul(31) + u64::from(b));
        // No step is without any worker, unless all are barred.
        self.bars > 1 && &**worker.id() == "w0" || !(sum ^ (sum >> 7)).is_multiple_of(self.bars)
    }

    /// Whether a start's ticket holds; counts those that don't.
    pub fn holds(&mut self, task: TaskId, worker: &Incarnation, text: &str, now: u64) -> bool {
        let known = self.tickets.get(text);
        let holds = known.is_some_and(|(step, on, until)| {
            *step == StepId::from(task) && on == worker && *until > now
        });
        self.invalid += u32::from(!holds);
        holds
    }

    /// The answers in all.
    pub fn answered(&self) -> u32 {
        self.answers.values().sum()
    }

    fn trouble(&self, now: u64) -> Option<Trouble> {
        self.troubles.iter().find(|(when, _)| when.contains(&now)).map(|(_, trouble)| *trouble)
    }

    /// Receives a call of a host; returns the reply if it is not kept.
    fn receive(
        &mut self,
        host: usize,
        id: CallId,
        question: &Question,
        now: u64,
    ) -> Option<CallEnd> {
        self.calls += 1;
        match self.trouble(now) {
            Some(Trouble::Refuse) => return Some(CallEnd::Busy),
            Some(Trouble::Break) => return Some(CallEnd::Failed),
            Some(Trouble::Forget) => return None,
            _ => {}
        }
        let lane = self.lanes.entry(self.machine(host)).or_default();
        if lane.waiting.len() > MAX_WAITING {
            self.refused += 1;
            return Some(CallEnd::Busy);
        }
        lane.waiting.push_back(Waiting { host, id, question: question.clone(), at: now });
        None
    }

    /// Drops a call whose caller has given up, if it looks for that.
    fn abandoned(&mut self, host: usize, id: CallId) {
        let lane = self.lanes.entry(self.machine(host)).or_default();
        let is = |call: &Waiting| call.host == host && call.id == id;
        if self.skips && !lane.waiting.front().is_some_and(is) {
            lane.waiting.retain(|call| !is(call));
        }
    }

    fn machine(&self, host: usize) -> usize {
        self.machines.get(&host).copied().unwrap_or(host)
    }

    /// Works on all calls; returns the replies, with the host that each goes to.
    fn work(&mut self, now: u64) -> Vec<(usize, Reply)> {
        let mut ended: Vec<(Waiting, u64)> = Vec::new();
        match self.trouble(now) {
            Some(Trouble::Hold) => return Vec::new(),
            Some(Trouble::Forget) => self.lanes.clear(),
            Some(Trouble::Break) => {
                let broken = std::mem::take(&mut self.lanes).into_values().flat_map(|l| l.waiting);
                return broken
                    .map(|call| (call.host, (call.id, CallEnd::Failed, Answer::Missing)))
                    .collect();
            }
            _ => {}
        }
        for lane in self.lanes.values_mut() {
            let mut free_at = lane.until.unwrap_or(now);
            while let Some(call) = lane.waiting.front() {
                let took = (call.question.work as f64 * self.slowdown) as u64;
                let until = *lane.until.get_or_insert(free_at.max(call.at) + took);
                if until > now {
                    break;
                }
                lane.until = None;
                free_at = until;
                ended.extend(lane.waiting.pop_front().map(|call| (call, until)));
            }
        }
        ended
            .into_iter()
            .map(|(call, at)| {
                let answer = self.answer(&call.question, at);
                let rejected = answer == Answer::Rejected;
                let end = if rejected { CallEnd::Rejected } else { CallEnd::Answered };
                (call.host, (call.id, end, answer))
            })
            .collect()
    }

    fn answer(&mut self, question: &Question, now: u64) -> Answer {
        let step = question.step;
        if self.unreadable.contains(&step) {
            return Answer::Rejected;
        }
        if !self.answers.contains_key(&step) {
            self.order.push(step);
        }
        *self.answers.entry(step).or_default() += 1;
        let permitted = question.workers.iter().filter(|worker| self.permits(step, worker));
        let good: Vec<_> = permitted.cloned().collect();
        let mut granted = Vec::new();
        for worker in good {
            let text = format!("t{}", self.tickets.len());
            let until = now + self.times.valid_ms;
            self.tickets.insert(text.clone(), (step, worker.clone(), until));
            granted.push((worker, text));
        }
        Answer::Granted(granted)
    }
}

impl World {
    /// Makes the calls of an owner's host to the ticket service, and takes the replies.
    pub(super) fn call_service(&mut self, at: usize) {
        let now = self.now;
        let Some(mut service) = self.service.take() else {
            return;
        };
        let calls = self.calls.entry(at).or_default();
        let cell = &mut self.owners[at].cell;
        for (id, end, answer) in std::mem::take(&mut calls.replies) {
            calls.window.end(id, end, now);
            if let Some((question, asked_at)) = calls.sent.remove(&id) {
                cell.record_answer(&question, answer, asked_at, now);
            }
        }
        for id in calls.window.lost(now) {
            service.abandoned(at, id);
            if let Some((question, asked_at)) = calls.sent.remove(&id) {
                cell.record_answer(&question, Answer::Missing, asked_at, now);
            }
        }
        while calls.window.may_send(now) {
            let oldest = calls.window.repeatable(now).and_then(|id| calls.sent.get(&id).cloned());
            let next = cell.next_question(now);
            let next = next.or_else(|| cell.repeat_question(&oldest?.0, now));
            let Some(question) = next else {
                break;
            };
            let id = calls.window.send(question.work, now);
            calls.sent.insert(id, (question.clone(), now));
            if let Some(end) = service.receive(at, id, &question, now) {
                calls.replies.push((id, end, Answer::Missing));
            }
        }
        let condition = calls.window.condition(now);
        if calls.conditions.last() != Some(&condition) {
            calls.conditions.push(condition);
        }
        self.service = Some(service);
    }

    /// Lets the service work, also on the calls of hosts that have ended.
    pub(super) fn work_service(&mut self) {
        let Some(mut service) = self.service.take() else {
            return;
        };
        for (host, reply) in service.work(self.now) {
            self.calls.entry(host).or_default().replies.push(reply);
        }
        self.service = Some(service);
    }

    /// Makes the service take two owners for processes of one machine, whose calls wait for each
    /// other.
    pub fn join_lanes(&mut self, first: usize, second: usize) {
        let service = self.service();
        service.machines.insert(second, first);
    }

    /// The simulated ticket service.
    pub fn service(&mut self) -> &mut Service {
        self.service.as_mut().expect("the world has a ticket service")
    }
}
