//! The jobs that clients submit: short ones, fillers and long-running ones that serve.

use std::time::{Duration, SystemTime};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use myrtle_standin::{StepPlan, TaskKind};

use crate::settings::{FILLERS, LONG, SHORT};

/// The share of jobs with a task that can never be done.
const HOPELESS_SHARE: f64 = 0.02;

/// The share of jobs whose tasks fail once.
const FAILING_SHARE: f64 = 0.04;

/// The share of fillers that repeat.
const REPEATED_SHARE: f64 = 0.12;

/// The share of fillers that save checkpoints.
const SAVING_SHARE: f64 = 0.85;

/// The share of filler images that press hard on serving tasks.
const HEAVY_SHARE: f64 = 0.4;

/// The load that a heavy and a light filler adds if it uses a whole worker.
const PRESSURES: [f64; 2] = [0.6, 0.1];

/// The number of filler images.
const FILLER_IMAGES: u32 = 9;

/// The number of images of serving tasks.
const SERVING_IMAGES: u32 = 5;

/// The target of serving tasks, in milliseconds; the highest load without fillers stays under it.
const TARGET_MS: u32 = 24;

/// The time between two repetitions, in milliseconds.
const INTERVAL_MS: u64 = 2_000;

/// The time from a submission to the first repetition, in milliseconds.
const FIRST_DELAY_MS: u64 = 1_000;

/// How a job is meant to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// All of its tasks can be done.
    Done,
    /// One of its tasks fails each time.
    Hopeless,
    /// It runs until it is cancelled.
    Never,
}

/// A job that a client submits.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// The prefix of its queue.
    pub prefix: &'static str,
    /// The body of its submission.
    pub body: String,
    /// What its steps need and do.
    pub plans: Vec<StepPlan>,
    /// The number of tasks of each step.
    pub counts: Vec<u32>,
    /// When its repetitions are due, in milliseconds since 1970; one at 0 if it does not repeat.
    pub due: Vec<u64>,
    /// How it is meant to end.
    pub ending: Ending,
}

impl Job {
    /// Its path.
    pub fn path(&self) -> String {
        format!("{}{}", self.prefix, self.id)
    }

    /// The names of its tasks that are due at a time.
    pub fn tasks(&self, now_ms: u64) -> impl Iterator<Item = String> {
        let rounds = self.due.iter().enumerate().filter(move |(_, due)| **due <= now_ms);
        rounds.flat_map(move |(round, _)| {
            let steps = self.counts.iter().enumerate();
            steps.flat_map(move |(step, &count)| {
                (0..count).map(move |index| format!("{}.{round}.{step}.{index}", self.id))
            })
        })
    }
}

/// The time of day, in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

/// Draws a short job or a filler.
pub fn draw(rng: &mut ChaCha8Rng) -> Job {
    if rng.random_bool(0.6) { draw_short(rng) } else { draw_filler(rng) }
}

fn draw_id(rng: &mut ChaCha8Rng) -> String {
    format!("{:016x}", rng.random::<u64>())
}

/// Draws how often each task of a job fails, and how the job is meant to end.
fn draw_failures(rng: &mut ChaCha8Rng) -> (u32, Ending) {
    match rng.random::<f64>() {
        x if x < HOPELESS_SHARE => (u32::MAX, Ending::Hopeless),
        x if x < HOPELESS_SHARE + FAILING_SHARE => (1, Ending::Done),
        _ => (0, Ending::Done),
    }
}

fn draw_short(rng: &mut ChaCha8Rng) -> Job {
    let (failures, ending) = draw_failures(rng);
    let (mut steps, mut plans, mut counts) = (Vec::new(), Vec::new(), Vec::new());
    for step in 0..rng.random_range(1..4u32) {
        let work = rng.random_range(100..900u64);
        let plan = StepPlan {
            cpu: rng.random_range(1_000..4_000),
            mem_mb: rng.random_range(2_000..7_000),
            kind: TaskKind::Short,
            work: Duration::from_millis(work),
            saves: false,
            failures: if step == 0 { failures } else { 0 },
        };
        let count = rng.random_range(1..8u32);
        let mut value = step_value(&plan, count, step, work * rng.random_range(60..160) / 100);
        if rng.random_bool(0.15) {
            value["anti_affinity"] = 2.into();
        }
        steps.push(value);
        plans.push(plan);
        counts.push(count);
    }
    let body = json!({ "spec": "short", "steps": steps }).to_string();
    Job { id: draw_id(rng), prefix: SHORT, body, plans, counts, due: vec![0], ending }
}

fn draw_filler(rng: &mut ChaCha8Rng) -> Job {
    let (failures, ending) = draw_failures(rng);
    let image = rng.random_range(0..FILLER_IMAGES);
    let heavy = f64::from(image) < HEAVY_SHARE * f64::from(FILLER_IMAGES);
    let saves = rng.random_bool(SAVING_SHARE);
    let (mut steps, mut plans, mut counts) = (Vec::new(), Vec::new(), Vec::new());
    for step in 0..rng.random_range(1..3u32) {
        let work = rng.random_range(300..2_500u64);
        let plan = StepPlan {
            cpu: rng.random_range(2_500..4_500),
            mem_mb: rng.random_range(4_000..9_000),
            kind: TaskKind::Filler { pressure: PRESSURES[usize::from(!heavy)] },
            work: Duration::from_millis(work),
            saves,
            failures: if step == 0 { failures } else { 0 },
        };
        let count = rng.random_range(2..10u32);
        let mut value = step_value(&plan, count, step, work * rng.random_range(60..160) / 100);
        value["fills"] = true.into();
        value["image"] = format!("filler-{image}").into();
        if saves {
            value["checkpointing"] = true.into();
        }
        steps.push(value);
        plans.push(plan);
        counts.push(count);
    }
    let mut body = json!({ "spec": "filler", "steps": steps });
    let mut due = vec![0];
    if rng.random_bool(REPEATED_SHARE) {
        let (first, rounds) = (wall_ms() + FIRST_DELAY_MS, rng.random_range(2..4u64));
        body["repeat_count"] = rounds.into();
        body["first_ms"] = first.into();
        body["interval_ms"] = INTERVAL_MS.into();
        due = (0..rounds).map(|round| first + round * INTERVAL_MS).collect();
    }
    let body = body.to_string();
    Job { id: draw_id(rng), prefix: FILLERS, body, plans, counts, due, ending }
}

/// Draws a long-running job that serves.
pub fn draw_serving(rng: &mut ChaCha8Rng) -> Job {
    let image = rng.random_range(0..SERVING_IMAGES);
    let plan = StepPlan {
        cpu: 6_400,
        mem_mb: 13_000,
        kind: TaskKind::Serving { phase: f64::from(image) / f64::from(SERVING_IMAGES) },
        work: Duration::ZERO,
        saves: false,
        failures: 0,
    };
    let count = rng.random_range(3..6u32);
    let mut value = step_value(&plan, count, 0, 0);
    value["long_running"] = true.into();
    value["target_ms"] = TARGET_MS.into();
    value["may_miss"] = 1.into();
    value["image"] = format!("serving-{image}").into();
    if rng.random_bool(0.5) {
        value["anti_affinity"] = 2.into();
    }
    let body = json!({ "spec": "serving", "steps": [value] }).to_string();
    Job {
        id: draw_id(rng),
        prefix: LONG,
        body,
        plans: vec![plan],
        counts: vec![count],
        due: vec![0],
        ending: Ending::Never,
    }
}

fn step_value(plan: &StepPlan, count: u32, step: u32, estimate_ms: u64) -> Value {
    let mut value = json!({ "count": count, "cpu": plan.cpu, "mem_mb": plan.mem_mb });
    if estimate_ms > 0 {
        value["estimate_ms"] = estimate_ms.into();
    }
    if step > 0 {
        value["after"] = json!([step - 1]);
    }
    value
}
