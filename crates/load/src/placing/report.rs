//! The report on placement.

use std::fmt::Write;

use super::sim::{Outcome, Policy, simulate};
use super::world::Site;

/// The part of the time in which services must be within their targets.
const WANTED: f64 = 0.99;

/// Fills that best fit is tried with until services are within their targets.
const CAPS: [f64; 10] = [1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1];

/// One policy over all seeds.
#[derive(Debug, Clone)]
pub struct Line {
    /// The policy.
    pub policy: Policy,
    /// Its runs.
    pub runs: Vec<Outcome>,
}

impl Line {
    /// The median of a figure.
    pub fn median(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    }

    /// The smallest value of a figure.
    pub fn least(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        self.runs.iter().map(figure).fold(f64::INFINITY, f64::min)
    }
}

/// Runs one policy on all seeds, each on a thread of its own.
pub fn line(policy: Policy, site: &Site, seeds: u64, seconds: u64) -> Line {
    let runs = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..seeds).map(|s| scope.spawn(move || simulate(policy, site, s, seconds))).collect();
        threads.into_iter().map(|t| t.join().expect("a run panicked")).collect()
    });
    Line { policy, runs }
}

/// Runs all policies; best fit at the fullest fill at which services keep their targets, too.
pub fn lines(site: &Site, seeds: u64, seconds: u64) -> Vec<Line> {
    let plain = [Policy::Learned, Policy::NoLearning, Policy::FirstFit, Policy::LeastLoaded];
    let mut lines: Vec<Line> = plain.map(|p| line(p, site, seeds, seconds)).into();
    for cap in CAPS {
        let capped = line(Policy::BestFit(cap), site, seeds, seconds);
        let kept = capped.median(|o| o.within) >= WANTED;
        if kept || cap == CAPS[0] {
            lines.push(capped);
        }
        if kept {
            break;
        }
    }
    lines
}

/// The beginning of the report.
pub fn head(seeds: u64, seconds: u64) -> String {
    format!(
        "# Placement: learned costs against baselines\n\nA model fleet of 48 workers whose \
         services suffer from the pair, the load and the share of the tasks beside them; \
         measurements come 3 s late with 6 % noise; more batch work waits than fits. {seeds} seeds \
         of {seconds} s: the median, and the worst seed in brackets. `within` is the part of the \
         time in which a service's tail is within its target. `best fit 0.5` fills machines at \
         most half by declared size: the fullest tenth at which its median keeps 99 %.\n\nMade by \
         `cargo run --release --locked -p myrtle-load -- placing`.\n"
    )
}

/// One site's figures as a table in Markdown.
pub fn table(site: &Site, lines: &[Line]) -> String {
    let mut text = format!(
        "\n## {}\n\n| policy | within | p99 of tail | batch core-hours | evictions | of watchers \
         |\n|---|---|---|---|---|---|\n",
        site.name
    );
    for line in lines {
        let worst = line.least(|o| o.within) * 100.0;
        let most = -line.least(|o| -o.tail);
        let _ = writeln!(
            text,
            "| {:?} | {:.2} % ({worst:.2}) | {:.2} ({most:.2}) | {:.0} ({:.0}) | {:.0} ({:.0}) | \
             {:.0} ({:.0}) |",
            line.policy,
            line.median(|o| o.within) * 100.0,
            line.median(|o| o.tail),
            line.median(|o| o.work),
            line.least(|o| o.work),
            line.median(|o| f64::from(o.evictions)),
            -line.least(|o| -f64::from(o.evictions)),
            line.median(|o| f64::from(o.watchers)),
            -line.least(|o| -f64::from(o.watchers)),
        );
    }
    text
}
