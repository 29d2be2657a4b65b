//! Patterns of load and faults, each of which once made users wait.

use serde::Serialize;

/// A change of the load or of the room for it; times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Pattern {
    /// Jobs arrive at a multiple of the usual rate.
    Burst {
        /// The start.
        at: f64,
        /// The duration.
        span: f64,
        /// Factor on the usual rate.
        times: f64,
    },
    /// Fillers of the greatest width arrive at once.
    Wide {
        /// The time.
        at: f64,
        /// Number of jobs.
        jobs: u32,
    },
    /// More long-running jobs arrive at once than there is room for.
    Wave {
        /// The time.
        at: f64,
        /// Requested cores, as a share of the cell.
        share: f64,
    },
    /// Workers drain and leave; as many new ones join later.
    Leave {
        /// The time.
        at: f64,
        /// Share of the cell's workers.
        share: f64,
        /// When new workers join.
        back: f64,
    },
    /// Short jobs arrive of which one task crashes each worker that starts it.
    Crashers {
        /// The start.
        at: f64,
        /// The duration.
        span: f64,
        /// Number of jobs.
        jobs: u32,
    },
    /// One of three data centres is evacuated for a time.
    Empty {
        /// The start.
        at: f64,
        /// The duration.
        span: f64,
    },
    /// Workers of one of three data centres fail a share of their runs, though they answer.
    Failing {
        /// The start.
        at: f64,
        /// The duration.
        span: f64,
        /// Share of the data centre's workers.
        workers: f64,
        /// Share of their runs that fail.
        rate: f64,
        /// Share of runs that fail on all workers, all the time.
        usual: f64,
    },
    /// The store doesn't answer.
    Silence {
        /// The start.
        at: f64,
        /// The duration.
        span: f64,
    },
}

/// A simulated course of load and faults for a cell.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Scene {
    /// Name in the report.
    pub name: &'static str,
    /// Initial number of workers.
    pub workers: u16,
    /// How long jobs arrive, in seconds.
    pub length: f64,
    /// The share of the cell that long-running jobs request at first.
    pub lasting: f64,
    /// Attempts that queues allow a task.
    pub attempts: u32,
    /// Changes of load and faults.
    pub patterns: Vec<Pattern>,
}

impl Scene {
    /// Returns all scenes for a cell with this number of workers.
    pub fn all(workers: u16) -> Vec<Self> {
        let scene = |name, lasting, patterns: &[Pattern]| Self {
            name,
            workers,
            length: 34.0,
            lasting,
            attempts: 3,
            patterns: patterns.to_vec(),
        };
        let failing =
            Pattern::Failing { at: 6.0, span: 24.0, workers: 0.25, rate: 0.4, usual: 0.005 };
        vec![
            scene("calm", 0.7, &[]),
            scene("wave", 0.8, &[Pattern::Wave { at: 6.0, share: 0.4 }]),
            scene("burst", 0.85, &[Pattern::Burst { at: 10.0, span: 8.0, times: 2.4 }]),
            scene("pressed", 0.9, &[Pattern::Burst { at: 4.0, span: 30.0, times: 1.5 }]),
            scene("wide", 0.85, &[Pattern::Wide { at: 10.0, jobs: 8 }]),
            scene("leave", 0.85, &[Pattern::Leave { at: 10.0, share: 0.3, back: 24.0 }]),
            scene("crashers", 0.7, &[Pattern::Crashers { at: 8.0, span: 12.0, jobs: 14 }]),
            scene("emptied", 0.6, &[Pattern::Empty { at: 10.0, span: 9.0 }]),
            Self { attempts: 2, ..scene("failing", 0.6, &[failing]) },
            scene(
                "silence",
                0.85,
                &[
                    Pattern::Burst { at: 6.0, span: 6.0, times: 1.6 },
                    Pattern::Silence { at: 13.0, span: 5.0 },
                ],
            ),
        ]
    }

    /// Returns the scene of this name, if there is one.
    pub fn named(name: &str, workers: u16) -> Option<Self> {
        Self::all(workers).into_iter().find(|scene| scene.name == name)
    }

    /// Returns the factor on the usual arrival rate at a time in seconds.
    pub fn rate(&self, now: f64) -> f64 {
        let bursts = self.patterns.iter().filter_map(|pattern| match *pattern {
            Pattern::Burst { at, span, times } => (at..at + span).contains(&now).then_some(times),
            _ => None,
        });
        bursts.fold(1.0, f64::max)
    }

    /// Returns whether the store is unavailable at a time in seconds.
    pub fn store_unavailable(&self, now: f64) -> bool {
        self.patterns.iter().any(|pattern| match *pattern {
            Pattern::Silence { at, span } => (at..at + span).contains(&now),
            _ => false,
        })
    }
}
