//! A worker whose tasks share what its room does not show.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{EndReason, EndedRun, Listing, OrderReply, Running, StepSpec, TaskId, WorkerRuns};

use super::draw::IMAGES;

/// What a serving task loads of what it asks for, in the mean, and how far that swings.
const LOAD: f64 = 0.48;
const SWING: f64 = 0.5;

/// The time of one swing, in milliseconds.
const PERIOD: f64 = 20_000.0;

/// The tail over its target of a serving task without any load.
const REST: f64 = 1.0 / 6.0;

/// The most that pressures are told apart.
const FULL: f64 = 0.97;

/// The share of pairs of images that press heavily.
const HEAVY: f64 = 0.55;

/// A run.
#[derive(Debug, Clone)]
struct Work {
    run: u32,
    spec: StepSpec,
    worked: f64,
    pace: f64,
    /// Where its load is in its swing, in milliseconds.
    phase: f64,
    over: bool,
}

/// A worker.
#[derive(Debug)]
pub struct Machine {
    /// What it says of itself.
    pub listing: Listing,
    /// Whether it has ends to tell.
    pub news: bool,
    runs: BTreeMap<TaskId, Work>,
    ended: Vec<EndedRun>,
    ends: u64,
}

/// How much a filling image that uses a whole worker presses a serving one.
pub type Presses = BTreeMap<(Arc<str>, Arc<str>), f64>;

impl Machine {
    /// A worker without runs.
    pub fn new(listing: Listing) -> Self {
        Self { listing, news: false, runs: BTreeMap::new(), ended: Vec::new(), ends: 0 }
    }

    /// Starts a run.
    pub fn start(&mut self, task: TaskId, run: u32, spec: &StepSpec) -> OrderReply {
        let used = self.runs.values().fold(Room::default(), |sum, w| sum + w.spec.claim());
        if !spec.claim().fits(&self.listing.room.minus(&used)) {
            return OrderReply::NoRoom;
        }
        let phase = task.job.spread() % PERIOD as u64;
        let work = Work {
            run,
            spec: spec.clone(),
            worked: 0.0,
            pace: 1.0,
            phase: phase as f64,
            over: false,
        };
        self.runs.insert(task, work);
        OrderReply::Done
    }

    /// Stops a run.
    pub fn stop(&mut self, task: TaskId, run: u32) {
        if self.runs.get(&task).is_some_and(|w| w.run == run) {
            self.over(task, EndReason::Stopped);
        }
    }

    /// Lets a run work at a share of its speed, in percent.
    pub fn pace(&mut self, task: TaskId, run: u32, percent: u32) {
        if let Some(work) = self.runs.get_mut(&task).filter(|w| w.run == run) {
            work.pace = f64::from(percent) / 100.0;
        }
    }

    /// Lets time pass, in milliseconds.
    pub fn work(&mut self, now: u64, passed: f64, presses: &Presses) {
        let share = self.filling_share(now);
        let uses = self.uses(share);
        let mut done = Vec::new();
        for (&task, work) in &mut self.runs {
            if work.spec.serves() {
                work.over = pressure(work, &uses, presses, now) > 1.0 - REST;
                continue;
            }
            let speed = if work.spec.filler { share * work.pace } else { 1.0 };
            work.worked += passed * speed;
            if !work.spec.long_running && work.worked >= work.spec.estimate_ms as f64 {
                done.push(task);
            }
        }
        done.into_iter().for_each(|task| self.over(task, EndReason::Done));
    }

    /// The answer to a hold; ends up to `seen` are forgotten.
    pub fn hold(&mut self, seen: u64, now: u64, presses: &Presses) -> WorkerRuns {
        self.ended.retain(|end| end.seq > seen);
        self.news = false;
        let share = self.filling_share(now);
        let uses = self.uses(share);
        let running = self.runs.iter().map(|(&task, work)| Running {
            task,
            run: work.run,
            checkpoint: String::new(),
            percent: match work.spec.long_running {
                true => 100.0,
                false => (work.worked / work.spec.estimate_ms.max(1) as f64 * 100.0).min(99.0),
            },
            metric: Some(match work.spec.target_ms {
                Some(target) => {
                    f64::from(target) * REST / (1.0 - pressure(work, &uses, presses, now).min(FULL))
                }
                None if work.spec.filler => f64::from(work.spec.room.cpu) * share * work.pace,
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

    /// How many tasks of a job serve, and how many of them are over their target.
    pub fn serving(&self, job: myrtle_job::JobId) -> (usize, usize) {
        let of_job = self.runs.iter().filter(|(task, _)| task.job == job);
        of_job.fold((0, 0), |(up, over), (_, w)| (up + 1, over + usize::from(w.over)))
    }

    /// The share of what they ask for that fillers get.
    fn filling_share(&self, now: u64) -> f64 {
        let room = f64::from(self.listing.room.cpu);
        let (taken, asked) = self.runs.values().fold((0.0, 0.0), |(taken, asked), work| {
            let cpu = f64::from(work.spec.room.cpu);
            match (work.spec.filler, work.spec.serves()) {
                (true, _) => (taken, asked + cpu * work.pace),
                (_, true) => (taken + cpu * load(work, now), asked),
                _ => (taken + cpu, asked),
            }
        });
        if asked > 0.0 { ((room - taken).max(0.0) / asked).min(1.0) } else { 1.0 }
    }

    /// What filling images use, as shares of the worker.
    fn uses(&self, share: f64) -> BTreeMap<Arc<str>, f64> {
        let mut uses = BTreeMap::new();
        for work in self.runs.values().filter(|w| w.spec.filler) {
            let used = f64::from(work.spec.room.cpu) * share * work.pace;
            let image = work.spec.image.clone().unwrap_or_else(|| "".into());
            *uses.entry(image).or_default() += used / f64::from(self.listing.room.cpu);
        }
        uses
    }

    fn over(&mut self, task: TaskId, how: EndReason) {
        let Some(work) = self.runs.remove(&task) else {
            return;
        };
        self.ends += 1;
        self.news = true;
        let (number, run, saved) = (self.ends, work.run, String::new());
        self.ended.push(EndedRun { seq: number, task, run, reason: how, checkpoint: saved });
    }
}

/// The load of a serving task, as a share of what it asks for.
fn load(work: &Work, now: u64) -> f64 {
    let turn = (now as f64 + work.phase) / PERIOD * std::f64::consts::TAU;
    LOAD * (1.0 + SWING * turn.sin())
}

fn pressure(work: &Work, uses: &BTreeMap<Arc<str>, f64>, presses: &Presses, now: u64) -> f64 {
    let own = work.spec.image.clone().unwrap_or_else(|| "".into());
    let pressed = uses.iter().map(|(image, used)| {
        presses.get(&(own.clone(), image.clone())).copied().unwrap_or(0.0) * used
    });
    load(work, now) + pressed.sum::<f64>()
}

/// How much filling images press serving ones.
pub fn draw_presses(rng: &mut ChaCha8Rng) -> Presses {
    let mut presses = Presses::new();
    for serving in 0..IMAGES[0] {
        for filling in 0..IMAGES[1] {
            let press = if rng.random_bool(HEAVY) {
                rng.random_range(0.4..1.6)
            } else {
                rng.random_range(0.0..0.15)
            };
            let pair = (format!("serving-{serving}").into(), format!("filling-{filling}").into());
            presses.insert(pair, press);
        }
    }
    presses
}
