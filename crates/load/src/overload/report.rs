//! The report on overload scenes, as a table or as JSON.

use std::fmt::Write;

use serde::Serialize;

use super::draw::Kind;
use super::scene::Scene;
use super::sim::{Outcome, replay};

/// Figures of a scene over all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// The scene.
    pub scene: &'static str,
    /// Share of the possible credit that was earned: mean, minimum and maximum over the seeds.
    pub all: [f64; 3],
    /// The mean share earned by each kind of job.
    pub kinds: Vec<(Kind, f64)>,
    /// The 50th and 95th latency percentiles of short jobs in milliseconds, means over the seeds.
    pub short: [f64; 2],
    /// The peak number of waiting tasks, mean over the seeds.
    pub waiting: f64,
    /// Starts whose task was moved, as a share of all starts, mean over the seeds.
    pub vain: f64,
    /// Crashes of workers, mean over the seeds.
    pub crashed: f64,
    /// Jobs that failed, as a share of those that ended, mean over the seeds.
    pub failed: f64,
}

/// Simulates every scene with all seeds, each scene on its own thread.
pub fn lines(scenes: &[Scene], seeds: u64) -> Vec<Line> {
    std::thread::scope(|scope| {
        let run = |scene| {
            scope.spawn(move || {
                let outcomes: Vec<_> = (0..seeds).map(|seed| replay(scene, seed)).collect();
                line(scene, &outcomes)
            })
        };
        let threads: Vec<_> = scenes.iter().map(run).collect();
        threads.into_iter().map(|t| t.join().expect("simulation thread panicked")).collect()
    })
}

fn line(scene: &Scene, outcomes: &[Outcome]) -> Line {
    let mean = |of: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(of).sum::<f64>() / outcomes.len().max(1) as f64
    };
    let shares = || outcomes.iter().map(|o| o.account.all().share());
    let min = shares().fold(f64::INFINITY, f64::min);
    let max = shares().fold(f64::NEG_INFINITY, f64::max);
    let kinds = Kind::ALL.map(|kind| (kind, mean(&|o| o.account.of(kind).share())));
    let wait = |quantile| mean(&|o| o.account.wait(Kind::Short, quantile) as f64);
    Line {
        scene: scene.name,
        all: [mean(&|o| o.account.all().share()), min, max],
        kinds: kinds.to_vec(),
        short: [wait(0.5), wait(0.95)],
        waiting: mean(&|o| o.waiting as f64),
        vain: mean(&|o| o.moved_share),
        crashed: mean(&|o| f64::from(o.crashed)),
        failed: mean(&|o| o.failed_share),
    }
}

/// Formats the figures as a Markdown table.
pub fn table(lines: &[Line], seeds: u64) -> String {
    let mut text =
        format!("Shares of the possible credit, means of {seeds} seeds (minimum to maximum).\n\n");
    text.push_str("| scene | all | short | filling | lasting | short p50, p95 ms | most waiting | taken back | crashed | failed |\n");
    text.push_str("|---|---|---|---|---|---|---|---|---|---|\n");
    for line in lines {
        let kinds: Vec<String> =
            line.kinds.iter().map(|(_, share)| format!("{share:.3}")).collect();
        let _ = writeln!(
            text,
            "| {} | {:.3} ({:.3} to {:.3}) | {} | {:.0}, {:.0} | {:.0} | {:.3} | {:.0} | {:.3} |",
            line.scene,
            line.all[0],
            line.all[1],
            line.all[2],
            kinds.join(" | "),
            line.short[0],
            line.short[1],
            line.waiting,
            line.vain,
            line.crashed,
            line.failed
        );
    }
    text
}
