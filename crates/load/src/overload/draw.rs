//! Random jobs that resemble those of a large fleet's customers.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use myrtle_base::Room;
use myrtle_job::{JobSpec, Policy, StepSpec, Submission};

use super::scene::{Pattern, Scene};

/// Kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Kind {
    /// Short tasks whose results users wait for.
    Short,
    /// Fillers, which use only processors that other tasks leave idle.
    Filling,
    /// Long-running tasks, which serve users until the job is cancelled.
    Lasting,
}

/// Distribution of jobs of a kind; figures are means.
struct Shape {
    /// Jobs per second for each worker of the cell.
    rate: f64,
    steps: f64,
    width: f64,
    max_width: u16,
    cpu: f64,
    mem: u32,
    estimate: f64,
    stretch: f64,
    slack: u64,
    priority: u32,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Short, Kind::Filling, Kind::Lasting];

    /// Returns the credit for a job of mean size.
    pub fn worth(self) -> f64 {
        match self {
            Self::Short => 0.354,
            Self::Filling => 1.8,
            Self::Lasting => 0.442,
        }
    }

    /// Returns the mean size of a job, in thousandths of a core times milliseconds; for long-running
    /// jobs in thousandths of a core.
    pub fn mean(self) -> f64 {
        let Shape { steps, width, cpu, estimate, .. } = self.shape();
        steps * width * cpu * if self == Self::Lasting { 1.0 } else { estimate }
    }

    fn shape(self) -> Shape {
        match self {
            Self::Short => Shape {
                rate: 0.030,
                steps: 1.6,
                width: 9.4,
                max_width: 56,
                cpu: 6_400.0,
                mem: 13_000,
                estimate: 640.0,
                stretch: 1.5,
                slack: 250,
                priority: 0,
            },
            Self::Filling => Shape {
                rate: 0.029,
                steps: 2.0,
                width: 39.0,
                max_width: 160,
                cpu: 3_500.0,
                mem: 6_400,
                estimate: 1_700.0,
                stretch: 2.0,
                slack: 1_000,
                priority: 2,
            },
            Self::Lasting => Shape {
                rate: 0.0011,
                steps: 1.0,
                width: 24.0,
                max_width: 48,
                cpu: 6_400.0,
                mem: 13_000,
                estimate: 400.0,
                stretch: 2.2,
                slack: 2_500,
                priority: 0,
            },
        }
    }
}

/// Body of jobs whose first task crashes its workers.
pub const CRASHING_BODY: &str = "crashes";

/// Number of images of serving tasks and of fillers.
pub const IMAGES: [usize; 2] = [16, 30];

/// Samples a roughly log-normal distribution with this mean.
fn log_normal(rng: &mut ChaCha8Rng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (normal * spread - spread * spread / 2.0).exp()
}

/// Draws a job of a kind, with steps of the greatest width if `wide`.
pub fn submission(rng: &mut ChaCha8Rng, kind: Kind, wide: bool, now: u64) -> Submission {
    let shape = kind.shape();
    let count = log_normal(rng, shape.steps, 0.4).round().clamp(1.0, 4.0) as usize;
    let estimate = log_normal(rng, shape.estimate, 0.5).clamp(50.0, 2.5 * shape.estimate);
    let cpu = log_normal(rng, shape.cpu, 0.3).clamp(500.0, 3.0 * shape.cpu) as u32;
    let image = match kind {
        Kind::Short => None,
        Kind::Filling => Some(format!("filling-{}", rng.random_range(0..IMAGES[1])).into()),
        Kind::Lasting => Some(format!("serving-{}", rng.random_range(0..IMAGES[0])).into()),
    };
    let steps = (0..count).map(|step| {
        let width =
            log_normal(rng, shape.width, 0.6).round().clamp(1.0, f64::from(shape.max_width));
        StepSpec {
            count: if wide { shape.max_width } else { width as u16 },
            room: Room { cpu, mem: shape.mem, accel: 0 },
            estimate_ms: estimate as u64,
            after: if step == 0 { vec![] } else { vec![step as u16 - 1] },
            long_running: kind == Kind::Lasting,
            filler: kind == Kind::Filling,
            has_checkpoints: kind == Kind::Filling,
            image: image.clone(),
            target_ms: (kind == Kind::Lasting).then_some(150),
            disruption_budget: (kind == Kind::Lasting).then_some(2),
            ..StepSpec::default()
        }
    });
    let steps = if kind == Kind::Lasting { steps.take(1).collect() } else { steps.collect() };
    let policy = Policy {
        queue: format!("{kind:?}"),
        service: "s".into(),
        max_failures: 3,
        priority: shape.priority,
        stretch: shape.stretch,
        slack_ms: shape.slack,
        ticket_times: None,
    };
    Submission { policy, spec: JobSpec { body: "b".into(), steps, repeat: None }, accepted_at: now }
}

/// Returns what all tasks of a job request, in thousandths of a core.
pub fn requested_cpu(submission: &Submission) -> f64 {
    let steps = submission.spec.steps.iter();
    steps.map(|s| f64::from(s.count) * f64::from(s.room.cpu)).sum()
}

/// Draws the jobs of a scene, each with its arrival time in milliseconds; `cores` is the room of the
/// cell in thousandths of a core.
pub fn jobs(scene: &Scene, cores: f64, rng: &mut ChaCha8Rng) -> Vec<(u64, Kind, Submission)> {
    let mut jobs = Vec::new();
    add_serving(&mut jobs, rng, cores * scene.lasting, 100);
    for pattern in &scene.patterns {
        match *pattern {
            Pattern::Wave { at, share } => add_serving(&mut jobs, rng, cores * share, millis(at)),
            Pattern::Wide { at, jobs: count } => {
                for _ in 0..count {
                    let job = submission(rng, Kind::Filling, true, millis(at));
                    jobs.push((millis(at), Kind::Filling, job));
                }
            }
            Pattern::Crashers { at, span, jobs: count } => {
                for job in 0..count {
                    let at = millis(at + span * f64::from(job) / f64::from(count));
                    let mut submission = submission(rng, Kind::Short, false, at);
                    submission.spec.body = CRASHING_BODY.into();
                    jobs.push((at, Kind::Short, submission));
                }
            }
            _ => {}
        }
    }
    for kind in Kind::ALL {
        let rate = kind.shape().rate * f64::from(scene.workers);
        let mut at = 2.0;
        while at < scene.length {
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * scene.rate(at));
            jobs.push((millis(at), kind, submission(rng, kind, false, millis(at))));
        }
    }
    jobs.iter_mut().for_each(|(.., job)| job.policy.max_failures = scene.attempts);
    jobs.sort_by_key(|(at, ..)| *at);
    jobs
}

/// Adds long-running jobs until they request `share` together, in thousandths of a core.
fn add_serving(jobs: &mut Vec<(u64, Kind, Submission)>, rng: &mut ChaCha8Rng, share: f64, at: u64) {
    let mut sum = 0.0;
    while sum < share {
        let job = submission(rng, Kind::Lasting, false, at);
        sum += requested_cpu(&job);
        jobs.push((at, Kind::Lasting, job));
    }
}

/// Converts seconds to whole milliseconds.
pub fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

/// Returns the latency objective of a job, in milliseconds.
pub fn objective(submission: &Submission) -> u64 {
    let chain = submission.spec.critical_path(|_| false);
    (submission.policy.stretch * chain as f64) as u64 + submission.policy.slack_ms
}
