//! Runs as the owner tracks them on workers.

use std::sync::Arc;

use derive_more::Display;

use myrtle_base::Room;
use myrtle_job::{Running, StepSpec};

/// The stage of an active run.
#[derive(derive_more::Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its record is being written to the log.
    Written,
    /// The start is being sent.
    Sent,
    /// The start got no reply; it is sent again.
    #[debug("Unsure")]
    Unanswered,
    /// An earlier owner wrote its record; the worker has not reported since.
    Inherited,
    /// The worker runs it.
    #[debug("Up")]
    Running,
    /// The stop is being sent.
    Stopping,
    /// The worker has confirmed the stop but not yet reported the end.
    Stopped,
}

/// Whether a run has begun at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Begun {
    /// No start has reached the worker.
    #[display("no")]
    No,
    /// A start was sent, by this owner or perhaps by an earlier one, and nothing is known of it.
    #[display("perhaps")]
    Perhaps,
    /// The worker has confirmed the start or reported the run.
    #[display("yes")]
    Yes,
}

/// A run that the owner tracks on a worker.
#[derive(Debug, Clone)]
pub struct ActiveRun {
    /// The run's number.
    pub run: u32,
    /// Its stage.
    pub stage: Stage,
    /// When that stage began.
    pub since: u64,
    /// When it was first reported running.
    pub started_at: Option<u64>,
    /// Whether a start got no reply and may still be carried out.
    pub unanswered: bool,
    /// Since when starts have been tried in vain at a worker that answers lease renewals.
    pub(crate) in_vain_since: Option<u64>,
    /// Whether the newest start has left its host and may have been carried out.
    pub sent: bool,
    /// Whether an earlier owner wrote its record, so that its age is not known.
    pub inherited: bool,
    /// Whether it has lasted for a while, by what this owner or an earlier one saw.
    pub settled: bool,
    /// Whether its task may have crashed a worker before.
    pub suspect: bool,
    /// Whether nothing else of its job was running when it was placed, so that it may not be halted on a forecast.
    pub assured: bool,
    /// The room that it claims.
    pub claim: Room,
    /// The processors that it asks for, in thousandths of a core.
    pub cpu: u32,
    /// The image that it runs.
    pub image: Option<Arc<str>>,
    /// The target of its tail latency, in milliseconds.
    pub target: Option<u32>,
    /// Whether it is a filler.
    pub filler: bool,
    /// Whether it is long-running.
    pub long_running: bool,
    /// Whether copies may run beside it.
    pub copies: bool,
    /// Whether it saves checkpoints.
    pub saves: bool,
    /// The estimate of its run time, in milliseconds.
    pub estimate: u64,
    /// How much of the work is done, in percent; for serving tasks 100 means ready.
    pub percent: f64,
    /// When `percent` last changed or the speed limit was last set.
    pub changed_at: u64,
    /// The latest reported figure: tail latency in milliseconds if it serves requests, else the use
    /// of processors in thousandths of a core.
    pub figure: f64,
    /// The speed limit that it was last given, in percent.
    pub speed_limit: u32,
    /// When that limit was set.
    pub(crate) limited_at: u64,
    /// The time that earlier limits took from it, in milliseconds.
    pub(crate) throttled: f64,
    /// Whether its speed was counted for its worker.
    pub(crate) speed_counted: bool,
    /// Whether the worker has not confirmed that limit.
    pub unconfirmed: bool,
    /// Since when its tail latency has exceeded its target.
    pub over_since: Option<u64>,
    /// The pressure on its tail latency in the last window, from its own load and the fillers
    /// beside it, 0 to 1.
    pub pressure: Option<f64>,
    /// The highest figure at full speed; only fillers use it.
    pub peak: f64,
}

impl ActiveRun {
    /// A run of a task of `spec` that starts in `stage`.
    pub fn new(run: u32, spec: &StepSpec, stage: Stage, now: u64) -> Self {
        Self {
            run,
            stage,
            since: now,
            started_at: None,
            unanswered: false,
            in_vain_since: None,
            sent: false,
            inherited: stage == Stage::Inherited,
            settled: false,
            suspect: false,
            assured: false,
            claim: spec.claim(),
            cpu: spec.room.cpu,
            image: spec.image.clone(),
            target: spec.target_ms,
            filler: spec.filler,
            long_running: spec.long_running,
            copies: spec.speculative,
            saves: spec.has_checkpoints,
            estimate: spec.estimate_ms,
            percent: 0.0,
            changed_at: now,
            figure: 0.0,
            speed_limit: 100,
            limited_at: now,
            throttled: 0.0,
            speed_counted: false,
            unconfirmed: false,
            over_since: None,
            pressure: None,
            peak: 0.0,
        }
    }

    /// Moves to another stage.
    pub fn enter(&mut self, stage: Stage, now: u64) {
        self.stage = stage;
        self.since = now;
    }

    /// Whether it has begun at its worker.
    ///
    /// The stage doesn't tell: a start waits at its host in the same stage in which it is sent, and
    /// a run that is being stopped may never have begun.
    pub(crate) fn begun(&self) -> Begun {
        match self.started_at {
            Some(_) => Begun::Yes,
            None if self.sent || self.unanswered || self.inherited => Begun::Perhaps,
            None => Begun::No,
        }
    }

    /// Forgets whether it has begun, for the next incarnation of its worker: its loss counts where it began, and a late
    /// start is a loss at the next one only if it begins there.
    pub(crate) fn forget_begun(&mut self) {
        (self.started_at, self.sent, self.unanswered, self.inherited) = (None, false, false, false);
    }

    /// Applies the worker's report of the run; true if its figure has changed.
    pub(crate) fn show(&mut self, running: &Running, now: u64) -> bool {
        if matches!(self.stage, Stage::Sent | Stage::Unanswered | Stage::Inherited) {
            self.enter(Stage::Running, now);
        }
        if self.started_at.is_none() {
            self.started_at = Some(now);
        }
        if running.percent != self.percent {
            self.percent = running.percent;
            self.changed_at = now;
        }
        let figure = running.metric.unwrap_or(0.0);
        let changed = figure != self.figure;
        if changed {
            self.figure = figure;
            if self.speed_limit == 100 {
                self.peak = self.peak.max(figure);
            }
        }
        changed
    }

    /// Sets another speed limit, in percent; returns the one before.
    pub(crate) fn limit(&mut self, percent: u32, now: u64) -> u32 {
        self.throttled = self.throttled_until(now);
        self.limited_at = now;
        std::mem::replace(&mut self.speed_limit, percent)
    }

    /// The time that speed limits have taken from it, in milliseconds.
    pub(crate) fn throttled_for(&self, now: u64) -> u64 {
        self.throttled_until(now) as u64
    }

    fn throttled_until(&self, now: u64) -> f64 {
        let share = f64::from(100 - self.speed_limit.min(100)) / 100.0;
        self.throttled + share * now.saturating_sub(self.limited_at) as f64
    }

    /// The processors that a filler uses at full speed, in thousandths of a core.
    pub(crate) fn demand(&self) -> f64 {
        if self.peak > 0.0 { self.peak } else { f64::from(self.cpu) }
    }
}
