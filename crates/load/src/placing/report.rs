//! The report that compares placement policies.

use std::fmt::Write;

use super::sim::{Outcome, Policy, simulate};
use super::world::Site;

/// Share of the time in which services must be within their latency targets.
const TARGET_WITHIN: f64 = 0.99;

/// Fill limits tried with best fit, from full downwards, until services meet their targets.
const FILL_CAPS: [f64; 10] = [1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1];

/// The outcomes of one policy over all seeds.
#[derive(Debug, Clone)]
pub struct Line {
    /// The policy.
    pub policy: Policy,
    /// One outcome for each seed.
    pub runs: Vec<Outcome>,
}

impl Line {
    /// Returns the median of a figure over the seeds.
    pub fn median(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    }

    /// Returns the smallest value of a figure over the seeds.
    pub fn min(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        self.runs.iter().map(figure).fold(f64::INFINITY, f64::min)
    }
}

/// Simulates one policy with all seeds, each on its own thread.
pub fn line(policy: Policy, site: &Site, seeds: u64, seconds: u64) -> Line {
    let runs = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..seeds).map(|s| scope.spawn(move || simulate(policy, site, s, seconds))).collect();
        threads.into_iter().map(|t| t.join().expect("simulation thread panicked")).collect()
    });
    Line { policy, runs }
}

/// Simulates all policies, and best fit also at the highest fill limit at which services meet
/// their targets.
pub fn lines(site: &Site, seeds: u64, seconds: u64) -> Vec<Line> {
    let plain = [Policy::Learned, Policy::NoLearning, Policy::FirstFit, Policy::LeastLoaded];
    let mut lines: Vec<Line> = plain.map(|p| line(p, site, seeds, seconds)).into();
    for cap in FILL_CAPS {
        let capped = line(Policy::BestFit(cap), site, seeds, seconds);
        let met = capped.median(|o| o.within) >= TARGET_WITHIN;
        if met || cap == FILL_CAPS[0] {
            lines.push(capped);
        }
        if met {
            break;
        }
    }
    lines
}

/// Returns the head of the report.
pub fn head(seeds: u64, seconds: u64) -> String {
    format!(
        "# Placement: learned costs against baselines\n\nA model fleet of 48 workers. The \
         tail latency of a service depends on its load and on the kinds and processor shares of \
         the tasks beside it; measurements arrive 3 s late with 6 % noise; more batch work waits \
         than fits. {seeds} seeds of {seconds} s: the median, and the worst seed in brackets. \
         `within` is the share of the time in which a service's tail is within its target. `best fit 0.5` fills machines at \
         most half by declared size: the fullest tenth at which its median keeps 99 %.\n\nMade by \
         `cargo run --release --locked -p myrtle-load -- placing`.\n"
    )
}

/// Formats one site's figures as a Markdown table.
pub fn table(site: &Site, lines: &[Line]) -> String {
    let mut text = format!(
        "\n## {}\n\n| policy | within | p99 of tail | batch core-hours | evictions | of watchers \
         |\n|---|---|---|---|---|---|\n",
        site.name
    );
    for line in lines {
        let worst = line.min(|o| o.within) * 100.0;
        let most = -line.min(|o| -o.tail);
        let _ = writeln!(
            text,
            "| {:?} | {:.2} % ({worst:.2}) | {:.2} ({most:.2}) | {:.0} ({:.0}) | {:.0} ({:.0}) | \
             {:.0} ({:.0}) |",
            line.policy,
            line.median(|o| o.within) * 100.0,
            line.median(|o| o.tail),
            line.median(|o| o.work),
            line.min(|o| o.work),
            line.median(|o| f64::from(o.evictions)),
            -line.min(|o| -f64::from(o.evictions)),
            line.median(|o| f64::from(o.watchers)),
            -line.min(|o| -f64::from(o.watchers)),
        );
    }
    text
}
