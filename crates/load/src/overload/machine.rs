//! Model of a worker whose tasks slow each other beyond what their rooms show.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{EndReason, EndedRun, Listing, OrderReply, Running, StepSpec, TaskId, WorkerRuns};

use super::draw::IMAGES;

/// Mean load of a serving task, as a share of the processors it requests.
const MEAN_LOAD: f64 = 0.48;

/// Amplitude of the load cycle, as a share of the mean load.
const AMPLITUDE: f64 = 0.5;

/// Period of the load cycle, in milliseconds.
const PERIOD: f64 = 20_000.0;

/// Ratio of tail latency to target of a serving task without load.
const IDLE_RATIO: f64 = 1.0 / 6.0;

/// Pressure above which the tail latency no longer grows, so that it stays finite.
const MAX_PRESSURE: f64 = 0.97;

/// Share of pairs of images with strong interference.
const STRONG_SHARE: f64 = 0.55;

/// A run on the modelled worker.
#[derive(Debug, Clone)]
struct Work {
    run: u32,
    spec: StepSpec,
    progress: f64,
    /// Speed limit, as a share of full speed.
    limit: f64,
    /// Offset in the load cycle, in milliseconds.
    phase: f64,
    above_target: bool,
}

/// A modelled worker.
#[derive(Debug)]
pub struct Machine {
    /// The listing that the worker publishes.
    pub listing: Listing,
    /// Whether runs ended since the last lease renewal.
    pub has_new_ends: bool,
    /// Share of its runs that fail.
    pub failing: f64,
    runs: BTreeMap<TaskId, Work>,
    ended: Vec<EndedRun>,
    last_seq: u64,
}

/// Pressure on a serving image by a filler image that uses a whole worker, by that pair of images.
pub type Interference = BTreeMap<(Arc<str>, Arc<str>), f64>;

impl Machine {
    /// Creates a worker without runs.
    pub fn new(listing: Listing) -> Self {
        Self {
            listing,
            has_new_ends: false,
            failing: 0.0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_seq: 0,
        }
    }

    /// Starts a run if the worker has room for it.
    pub fn start(&mut self, task: TaskId, run: u32, spec: &StepSpec) -> OrderReply {
        let used = self.runs.values().fold(Room::default(), |sum, w| sum + w.spec.claim());
        if !spec.claim().fits(&self.listing.room.minus(&used)) {
            return OrderReply::NoRoom;
        }
        let phase = task.job.spread() % PERIOD as u64;
        let work = Work {
            run,
            spec: spec.clone(),
            progress: 0.0,
            limit: 1.0,
            phase: phase as f64,
            above_target: false,
        };
        self.runs.insert(task, work);
        OrderReply::Done
    }

    /// Stops a run if it is current.
    pub fn stop(&mut self, task: TaskId, run: u32) {
        if self.runs.get(&task).is_some_and(|w| w.run == run) {
            self.finish(task, EndReason::Stopped);
        }
    }

    /// Sets the speed limit of a run, in percent of full speed.
    pub fn throttle(&mut self, task: TaskId, run: u32, percent: u32) {
        if let Some(work) = self.runs.get_mut(&task).filter(|w| w.run == run) {
            work.limit = f64::from(percent) / 100.0;
        }
    }

    /// Advances all runs by `passed` milliseconds.
    pub fn work(&mut self, now: u64, passed: f64, interference: &Interference) {
        let share = self.filling_share(now);
        let uses = self.uses(share);
        let mut done = Vec::new();
        for (&task, work) in &mut self.runs {
            if work.spec.serves() {
                work.above_target = pressure(work, &uses, interference, now) > 1.0 - IDLE_RATIO;
                continue;
            }
            let speed = if work.spec.filler { share * work.limit } else { 1.0 };
            work.progress += passed * speed;
            if !work.spec.long_running && work.progress >= work.spec.estimate_ms as f64 {
                done.push(task);
            }
        }
        for task in done {
            let reason = if self.fails(task) { EndReason::Failed } else { EndReason::Done };
            self.finish(task, reason);
        }
    }

    /// Answers a lease renewal and drops ended runs up to the sequence number `seen`.
    pub fn renew(&mut self, seen: u64, now: u64, interference: &Interference) -> WorkerRuns {
        self.ended.retain(|end| end.seq > seen);
        self.has_new_ends = false;
        let share = self.filling_share(now);
        let uses = self.uses(share);
        let running = self.runs.iter().map(|(&task, work)| Running {
            task,
            run: work.run,
            checkpoint: String::new(),
            percent: match work.spec.long_running {
                true => 100.0,
                false => (work.progress / work.spec.estimate_ms.max(1) as f64 * 100.0).min(99.0),
            },
            metric: Some(match work.spec.target_ms {
                Some(target) => {
                    f64::from(target) * IDLE_RATIO
                        / (1.0 - pressure(work, &uses, interference, now).min(MAX_PRESSURE))
                }
                None if work.spec.filler => f64::from(work.spec.room.cpu) * share * work.limit,
                None => f64::from(work.spec.room.cpu),
            }),
        });
        WorkerRuns {
            started_at: 0,
            clock_ms: now,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Returns the number of a job's serving tasks, and of those above their latency target.
    pub fn serving_tasks(&self, job: myrtle_job::JobId) -> (usize, usize) {
        let of_job = self.runs.iter().filter(|(task, _)| task.job == job);
        of_job.fold((0, 0), |(up, late), (_, w)| (up + 1, late + usize::from(w.above_target)))
    }

    /// Returns the share of their requested processors that fillers get.
    fn filling_share(&self, now: u64) -> f64 {
        let room = f64::from(self.listing.room.cpu);
        let (taken, requested) = self.runs.values().fold((0.0, 0.0), |(taken, requested), work| {
            let cpu = f64::from(work.spec.room.cpu);
            match (work.spec.filler, work.spec.serves()) {
                (true, _) => (taken, requested + cpu * work.limit),
                (_, true) => (taken + cpu * load(work, now), requested),
                _ => (taken + cpu, requested),
            }
        });
        if requested > 0.0 { ((room - taken).max(0.0) / requested).min(1.0) } else { 1.0 }
    }

    /// Returns the processors that each filler image uses, as a share of the worker.
    fn uses(&self, share: f64) -> BTreeMap<Arc<str>, f64> {
        let mut uses = BTreeMap::new();
        for work in self.runs.values().filter(|w| w.spec.filler) {
            let used = f64::from(work.spec.room.cpu) * share * work.limit;
            let image = work.spec.image.clone().unwrap_or_else(|| "".into());
            *uses.entry(image).or_default() += used / f64::from(self.listing.room.cpu);
        }
        uses
    }

    /// Whether a run that is through fails; drawn from its names, so that a replay repeats it.
    fn fails(&self, task: TaskId) -> bool {
        let run = u64::from(self.runs.get(&task).map_or(0, |w| w.run));
        let address = u64::from(self.listing.address.port());
        let drawn = (task.job.spread() ^ u64::from(task.step) << 40 ^ u64::from(task.index) << 20)
            .wrapping_add(run << 50 ^ address)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 40;
        (drawn as f64) < self.failing * (1u64 << 24) as f64
    }

    fn finish(&mut self, task: TaskId, how: EndReason) {
        let Some(work) = self.runs.remove(&task) else {
            return;
        };
        self.last_seq += 1;
        self.has_new_ends = true;
        let (number, run, saved) = (self.last_seq, work.run, String::new());
        self.ended.push(EndedRun { seq: number, task, run, reason: how, checkpoint: saved });
    }
}

/// Returns the load of a serving task, as a share of the processors it requests.
fn load(work: &Work, now: u64) -> f64 {
    let angle = (now as f64 + work.phase) / PERIOD * std::f64::consts::TAU;
    MEAN_LOAD * (1.0 + AMPLITUDE * angle.sin())
}

fn pressure(
    work: &Work,
    uses: &BTreeMap<Arc<str>, f64>,
    interference: &Interference,
    now: u64,
) -> f64 {
    let own = work.spec.image.clone().unwrap_or_else(|| "".into());
    let slowed = uses.iter().map(|(image, used)| {
        interference.get(&(own.clone(), image.clone())).copied().unwrap_or(0.0) * used
    });
    load(work, now) + slowed.sum::<f64>()
}

/// Draws the interference of each pair of a serving and a filler image.
pub fn draw_interference(rng: &mut ChaCha8Rng) -> Interference {
    let mut interference = Interference::new();
    for serving in 0..IMAGES[0] {
        for filling in 0..IMAGES[1] {
            let cost = if rng.random_bool(STRONG_SHARE) {
                rng.random_range(0.4..1.6)
            } else {
                rng.random_range(0.0..0.15)
            };
            let pair = (format!("serving-{serving}").into(), format!("filling-{filling}").into());
            interference.insert(pair, cost);
        }
    }
    interference
}
