//! The stand-in for the ticket service, which answers the calls of one host one after the other, also those whose
//! caller has gone.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use myrtle_platform::{HttpRequest, Reply, json, serve, text};

/// The most calls that wait.
const MAX_WAITING: u32 = 32;

/// Of so many workers, one is barred from each step.
const BARRED: u64 = 4;

/// The worker that may run all steps, so that none is without any.
const UNBARRED: &str = "i-0";

/// What the service does with calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TicketMode {
    /// It answers them.
    Ok,
    /// It takes so many times as long as it should.
    Slow(f64),
    /// It answers them, but not those whose caller has gone by their turn.
    Skipping,
    /// It keeps them until its mode changes.
    Holding,
    /// It accepts them and never answers.
    Forgetting,
    /// It refuses them with a status.
    Refusing(u16),
}

/// The times of the service.
#[derive(Debug, Clone, Copy)]
pub struct TicketSpans {
    /// The time for a call.
    pub call: Duration,
    /// The time that each worker named adds.
    pub worker: Duration,
    /// The validity of a ticket.
    pub valid: Duration,
}

/// A call that waits.
#[derive(Debug)]
struct Waiting {
    step: String,
    workers: Vec<String>,
    answer: oneshot::Sender<Reply>,
}

#[derive(Deserialize)]
struct Question {
    step: String,
    workers: Vec<String>,
}

/// The stand-in for the ticket service.
#[derive(Debug)]
pub struct TicketService {
    /// The address of its interface.
    pub address: SocketAddr,
    /// Its times.
    pub spans: TicketSpans,
    mode: watch::Sender<TicketMode>,
    calls: mpsc::UnboundedSender<Waiting>,
    waiting: AtomicU32,
    /// Tickets by step and worker, with their ends.
    tickets: Mutex<HashMap<(String, String, String), Instant>>,
    /// The number of answers by step.
    answers: Mutex<BTreeMap<String, u32>>,
    received: AtomicU32,
    refused: AtomicU32,
    unheard: AtomicU32,
    invalid: AtomicU32,
}

impl TicketService {
    /// Starts the service on a free port of loopback.
    pub async fn start(spans: TicketSpans) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (calls, waiting) = mpsc::unbounded_channel();
        let service = Arc::new(Self {
            address: listener.local_addr()?,
            spans,
            mode: watch::Sender::new(TicketMode::Ok),
            calls,
            waiting: AtomicU32::new(0),
            tickets: Mutex::default(),
            answers: Mutex::default(),
            received: AtomicU32::new(0),
            refused: AtomicU32::new(0),
            unheard: AtomicU32::new(0),
            invalid: AtomicU32::new(0),
        });
        let handler = service.clone();
        tokio::spawn(serve(listener, move |ask| {
            let service = handler.clone();
            async move { service.handle(ask).await }
        }));
        tokio::spawn(service.clone().work(waiting));
        Ok(service)
    }

    /// Sets what the service does with calls.
    pub fn set(&self, mode: TicketMode) {
        self.mode.send_replace(mode);
    }

    /// Whether a worker may run a step; this does not change.
    pub fn permits(&self, step: &str, worker: &str) -> bool {
        worker == UNBARRED || !xxh3_64(format!("{step} {worker}").as_bytes()).is_multiple_of(BARRED)
    }

    /// Whether a ticket holds for a task on a worker; counts those that don't.
    pub fn holds(&self, task: &str, worker: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let key = (step.to_string(), worker.to_string(), ticket.to_string());
        let tickets = self.tickets.lock().expect("no holder panics");
        let holds = tickets.get(&key).is_some_and(|until| Instant::now() < *until);
        self.invalid.fetch_add(u32::from(!holds), Ordering::Relaxed);
        holds
    }

    /// The calls received.
    pub fn received(&self) -> u32 {
        self.received.load(Ordering::Relaxed)
    }

    /// The calls refused because too many waited.
    pub fn refused(&self) -> u32 {
        self.refused.load(Ordering::Relaxed)
    }

    /// The answers whose callers had gone.
    pub fn unheard(&self) -> u32 {
        self.unheard.load(Ordering::Relaxed)
    }

    /// The starts with a ticket that didn't hold.
    pub fn invalid(&self) -> u32 {
        self.invalid.load(Ordering::Relaxed)
    }

    /// The number of answers, by step.
    pub fn answers(&self) -> BTreeMap<String, u32> {
        self.answers.lock().expect("no holder panics").clone()
    }

    async fn handle(&self, ask: HttpRequest) -> Reply {
        self.received.fetch_add(1, Ordering::Relaxed);
        let question = serde_json::from_slice::<Question>(&ask.body);
        let (Ok(question), "/api/advise") = (question, ask.path.as_str()) else {
            return text(400, "malformed question");
        };
        let mode = *self.mode.borrow();
        match mode {
            TicketMode::Refusing(status) => return text(status, "unavailable"),
            TicketMode::Forgetting => {}
            _ if self.waiting.load(Ordering::Relaxed) >= MAX_WAITING => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return text(429, "too many calls wait");
            }
            _ => return self.wait(question).await,
        }
        std::future::pending().await
    }

    /// Waits for the turn of a question and its answer.
    async fn wait(&self, question: Question) -> Reply {
        let (answer, answered) = oneshot::channel();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let Question { step, workers } = question;
        let sent = self.calls.send(Waiting { step, workers, answer });
        match answered.await {
            Ok(reply) if sent.is_ok() => reply,
            _ => text(503, "the service has ended"),
        }
    }

    /// Answers one question after the other.
    async fn work(self: Arc<Self>, mut calls: mpsc::UnboundedReceiver<Waiting>) {
        let mut mode = self.mode.subscribe();
        while let Some(call) = calls.recv().await {
            let _ = mode.wait_for(|mode| *mode != TicketMode::Holding).await;
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            let mode = *self.mode.borrow();
            if mode == TicketMode::Skipping && call.answer.is_closed() {
                continue;
            }
            let factor = if let TicketMode::Slow(factor) = mode { factor } else { 1.0 };
            let span = self.spans.call + self.spans.worker * call.workers.len() as u32;
            sleep(span.mul_f64(factor)).await;
            self.answer(call);
        }
    }

    fn answer(&self, call: Waiting) {
        let Waiting { step, workers, answer } = call;
        let permitted = workers.into_iter().filter(|worker| self.permits(&step, worker));
        let until = Instant::now() + self.spans.valid;
        let mut tickets = self.tickets.lock().expect("no holder panics");
        let good: Vec<_> = permitted
            .map(|worker| {
                let ticket = format!("{:016x}", xxh3_64(&tickets.len().to_be_bytes()));
                tickets.insert((step.clone(), worker.clone(), ticket.clone()), until);
                json!([worker, ticket])
            })
            .collect();
        *self.answers.lock().expect("no holder panics").entry(step).or_default() += 1;
        if answer.send(json(&json!({ "good": good }))).is_err() {
            self.unheard.fetch_add(1, Ordering::Relaxed);
        }
    }
}
