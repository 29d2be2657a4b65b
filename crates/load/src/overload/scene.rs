//! Patterns of load, each one that made users wait.

use serde::Serialize;

/// Something that happens to the load or to the room for it; times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Pattern {
    /// So many times the usual jobs come.
    Burst {
        /// From when on.
        at: f64,
        /// For how long.
        span: f64,
        /// How many times the usual rate.
        times: f64,
    },
    /// Jobs of the largest width come at once.
    Wide {
        /// When.
        at: f64,
        /// How many.
        jobs: u32,
    },
    /// More lasting jobs come at once than there is room for.
    Wave {
        /// When.
        at: f64,
        /// What they ask for, as a share of the cell.
        share: f64,
    },
    /// Workers say that they leave, and are back later with another life.
    Leave {
        /// When.
        at: f64,
        /// How many of them, as a share.
        share: f64,
        /// When they are back.
        back: f64,
    },
    /// Short jobs come of which one task crashes each worker that starts it.
    Crashers {
        /// From when on.
        at: f64,
        /// For how long.
        span: f64,
        /// How many.
        jobs: u32,
    },
    /// One of three data centres is emptied, and taken back later.
    Empty {
        /// From when on.
        at: f64,
        /// For how long.
        span: f64,
    },
    /// The store gives no answers.
    Silence {
        /// From when on.
        at: f64,
        /// For how long.
        span: f64,
    },
}

/// What a cell goes through.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Scene {
    /// Its name.
    pub name: &'static str,
    /// How many workers the cell has.
    pub workers: u16,
    /// How long jobs come, in seconds.
    pub length: f64,
    /// The share of the cell that lasting jobs ask for at first.
    pub lasting: f64,
    /// What happens.
    pub patterns: Vec<Pattern>,
}

impl Scene {
    /// All scenes for a cell of some workers.
    pub fn all(workers: u16) -> Vec<Self> {
        let scene = |name, lasting, patterns: &[Pattern]| Self {
            name,
            workers,
            length: 34.0,
            lasting,
            patterns: patterns.to_vec(),
        };
        vec![
            scene("calm", 0.7, &[]),
            scene("wave", 0.8, &[Pattern::Wave { at: 6.0, share: 0.4 }]),
            scene("burst", 0.85, &[Pattern::Burst { at: 10.0, span: 8.0, times: 2.4 }]),
            scene("pressed", 0.9, &[Pattern::Burst { at: 4.0, span: 30.0, times: 1.5 }]),
            scene("wide", 0.85, &[Pattern::Wide { at: 10.0, jobs: 8 }]),
            scene("leave", 0.85, &[Pattern::Leave { at: 10.0, share: 0.3, back: 24.0 }]),
            scene("crashers", 0.7, &[Pattern::Crashers { at: 8.0, span: 12.0, jobs: 14 }]),
            scene("emptied", 0.6, &[Pattern::Empty { at: 10.0, span: 9.0 }]),
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

    /// A scene by its name, if there is one.
    pub fn named(name: &str, workers: u16) -> Option<Self> {
        Self::all(workers).into_iter().find(|scene| scene.name == name)
    }

    /// How many times the usual rate jobs come at a moment.
    pub fn rate(&self, now: f64) -> f64 {
        let bursts = self.patterns.iter().filter_map(|pattern| match *pattern {
            Pattern::Burst { at, span, times } => (at..at + span).contains(&now).then_some(times),
            _ => None,
        });
        bursts.fold(1.0, f64::max)
    }

    /// Whether the store gives no answers at a moment.
    pub fn silent(&self, now: f64) -> bool {
        self.patterns.iter().any(|pattern| match *pattern {
            Pattern::Silence { at, span } => (at..at + span).contains(&now),
            _ => false,
        })
    }
}
