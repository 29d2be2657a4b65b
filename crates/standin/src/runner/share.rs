//! How the runs on a stand-in worker share its processors: the progress of work, the latency of serving tasks and
//! the room that is left.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::{Duration, Instant};

use super::plan::TaskKind;
use super::{CAPACITY_CPU, CAPACITY_MEM_MB, Run};

/// The tail latency of a serving task without any load, in milliseconds.
const IDLE_TAIL_MS: f64 = 4.0;

/// The mean load of serving tasks, as a share of what they can serve.
const MEAN_LOAD: f64 = 0.48;

/// How far the load swings about its mean, as a share of it.
const LOAD_SWING: f64 = 0.5;

/// The length of a load cycle, in seconds.
const CYCLE_S: f64 = 10.0;

/// The largest load that the latency tells from higher ones.
const MAX_LOAD: f64 = 0.97;

/// The time after which a serving task is at work.
const SERVING_START: Duration = Duration::from_millis(300);

/// The time between two checkpoints of a run, in work.
const SAVE_EVERY: Duration = Duration::from_millis(500);

/// Advances the work of all runs by a time, up to `clock`, the time since 1970.
pub(super) fn advance(runs: &mut BTreeMap<String, Run>, by: Duration, clock: Duration) {
    let others = runs.values().filter(|run| !run.fills()).map(|run| run.own_cpu(clock));
    let left = (f64::from(CAPACITY_CPU) - others.sum::<f64>()).max(0.0);
    let wanted: f64 = runs.values().filter(|run| run.fills()).map(Run::wanted_cpu).sum();
    let share = if wanted > left { left / wanted } else { 1.0 };
    for run in runs.values_mut() {
        let Some(plan) = &run.plan else {
            continue;
        };
        run.used_cpu = if run.fills() { run.wanted_cpu() * share } else { run.own_cpu(clock) };
        run.worked += by.mul_f64(run.used_cpu / f64::from(plan.cpu.max(1)));
        if plan.saves && run.worked >= run.saved + SAVE_EVERY {
            run.saved = run.worked;
        }
    }
}

/// The rough figure of a run: the tail latency of a serving task in milliseconds, otherwise the processors in use.
/// `burden` is the load that other programs add.
pub(super) fn figure(runs: &BTreeMap<String, Run>, run: &Run, clock: Duration, burden: f64) -> u64 {
    let Some(plan) = &run.plan else {
        return 1000;
    };
    let TaskKind::Serving { phase } = plan.kind else {
        return run.used_cpu as u64;
    };
    let load = load_at(phase, clock);
    let pressure: f64 = runs.values().map(Run::pressure).sum();
    (IDLE_TAIL_MS / (1.0 - (load + pressure + burden).min(MAX_LOAD))).round() as u64
}

/// The load of a serving task, as a share of what it can serve.
fn load_at(phase: f64, clock: Duration) -> f64 {
    let cycle = (TAU * (clock.as_secs_f64() / CYCLE_S + phase)).sin();
    MEAN_LOAD * (1.0 + LOAD_SWING * cycle)
}

/// The processors and the memory that runs take, a filler with the processors that it uses.
pub(super) fn in_use(runs: &BTreeMap<String, Run>) -> (u32, u32) {
    let cpu = |run: &Run| run.claimed_cpu() + if run.fills() { run.used_cpu as u32 } else { 0 };
    (runs.values().map(cpu).sum(), runs.values().map(Run::memory).sum())
}

/// Whether another run has room beside these.
pub(super) fn has_room(runs: &BTreeMap<String, Run>, another: &Run) -> bool {
    let all = || runs.values().chain([another]);
    all().map(Run::claimed_cpu).sum::<u32>() <= CAPACITY_CPU
        && all().map(Run::memory).sum::<u32>() <= CAPACITY_MEM_MB
}

impl Run {
    /// Whether it has ended its work.
    pub(super) fn is_over(&self, work: Duration) -> bool {
        match &self.plan {
            None => self.from.elapsed() >= work,
            Some(plan) if matches!(plan.kind, TaskKind::Serving { .. }) => false,
            Some(plan) => self.worked >= plan.work,
        }
    }

    /// How much of its work is done, in percent.
    pub(super) fn percent(&self, work: Duration) -> u32 {
        let (done, all) = match &self.plan {
            None => (self.from.elapsed(), work),
            Some(plan) if matches!(plan.kind, TaskKind::Serving { .. }) => {
                let up = self.from.elapsed().min(SERVING_START);
                return (up.as_secs_f64() / SERVING_START.as_secs_f64() * 100.0) as u32;
            }
            Some(plan) => (self.worked, plan.work),
        };
        (done.as_secs_f64() / all.as_secs_f64() * 100.0).min(99.0) as u32
    }

    /// Its newest checkpoint; empty if there is none.
    pub(super) fn checkpoint(&self) -> String {
        match self.saved.is_zero() {
            true => String::new(),
            false => format!("{:016x}", self.saved.as_millis()),
        }
    }

    /// Begins at a checkpoint.
    pub(super) fn resume(&mut self, checkpoint: &str) {
        let millis = u64::from_str_radix(checkpoint, 16).unwrap_or_default();
        self.saved = Duration::from_millis(millis);
        self.worked = self.saved;
    }

    fn fills(&self) -> bool {
        self.plan.as_ref().is_some_and(|plan| matches!(plan.kind, TaskKind::Filler { .. }))
    }

    fn claimed_cpu(&self) -> u32 {
        if self.fills() { 0 } else { self.plan.as_ref().map_or(0, |plan| plan.cpu) }
    }

    /// The processors that a run other than a filler uses; a serving one leaves those that its load doesn't need.
    fn own_cpu(&self, clock: Duration) -> f64 {
        match self.plan.as_ref().map(|plan| plan.kind) {
            Some(TaskKind::Serving { phase }) => self.wanted_cpu() * load_at(phase, clock),
            _ => self.wanted_cpu(),
        }
    }

    fn memory(&self) -> u32 {
        self.plan.as_ref().map_or(0, |plan| plan.mem_mb)
    }

    fn wanted_cpu(&self) -> f64 {
        let cpu = self.plan.as_ref().map_or(0, |plan| plan.cpu);
        f64::from(cpu) * f64::from(self.percent_limit) / 100.0
    }

    fn pressure(&self) -> f64 {
        match self.plan.as_ref().map(|plan| plan.kind) {
            Some(TaskKind::Filler { pressure }) => {
                pressure * self.used_cpu / f64::from(CAPACITY_CPU)
            }
            _ => 0.0,
        }
    }
}

impl Run {
    /// A run that starts now at full speed.
    pub(super) fn new(number: u32, plan: Option<super::StepPlan>) -> Self {
        Self {
            number,
            from: Instant::now(),
            plan,
            percent_limit: 100,
            used_cpu: 0.0,
            worked: Duration::ZERO,
            saved: Duration::ZERO,
        }
    }
}
