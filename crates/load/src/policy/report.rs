//! The report that compares routing policies: a table and a plot.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use super::outcome::{Outcome, Policy};
use super::scene::{CLASSES, Scene};
use super::sim::simulate;

/// Figures of one policy in one scene over all seeds.
#[derive(Debug, Clone)]
pub struct Line {
    /// The scene.
    pub scene: String,
    /// The policy.
    pub policy: Policy,
    /// Median 50th, 99th and 99.9th latency percentiles of all answers, in microseconds.
    pub latency: [u64; 3],
    /// The highest 99th percentile of any seed, in microseconds.
    pub worst: u64,
    /// The median 99th percentile by class, in microseconds.
    pub by_class: Vec<u64>,
    /// The share of requests answered within the deadline, by class.
    pub good: Vec<f64>,
    /// Rate of answers within the deadline over the capacity of the slots.
    pub goodput: f64,
    /// The share of requests refused.
    pub refused: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// The most concurrent requests at one upstream.
    pub max_busy: u32,
}

/// Simulates every policy in every scene, each scene on its own thread.
pub fn lines(scenes: &[Scene], seeds: u64) -> Vec<Line> {
    std::thread::scope(|scope| {
        let run = |scene| {
            scope.spawn(move || {
                Policy::ALL.map(|policy| {
                    let outcomes = (0..seeds).map(|s| simulate(policy, scene, s)).collect();
                    line(scene, policy, outcomes)
                })
            })
        };
        let threads: Vec<_> = scenes.iter().map(run).collect();
        threads.into_iter().flat_map(|t| t.join().expect("simulation thread panicked")).collect()
    })
}

/// Formats the figures as a Markdown table.
pub fn table(lines: &[Line], seeds: u64) -> String {
    let mut text = String::from("# Routing: the gate's policy against baselines\n\n");
    let _ = writeln!(
        text,
        "Same seeded traces, virtual time, medians over {seeds} seeds. Load is relative to the \
         capacity of the slots in the scene. `good` is the share of each class (dear, middle, \
         cheap) answered within its deadline; `goodput` is the rate of all such answers over that \
         capacity. The baselines choose at once and queue at the upstream; they refuse nothing.\n\n\
         Made by `cargo run --release --locked -p myrtle-load -- routing`.\n"
    );
    text.push_str(
        "| scene | policy | p50 ms | p99 ms | p99.9 ms | worst p99 | p99 dear | good | goodput \
         | refused | attempts | most slots |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for line in lines {
        let ms = |us: u64| us as f64 / 1000.0;
        let good: Vec<String> = line.good.iter().map(|g| format!("{:.2}", g * 100.0)).collect();
        let _ = writeln!(
            text,
            "| {} | {:?} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {} % | {:.3} | {:.2} % | {:.3} \
             | {} |",
            line.scene,
            line.policy,
            ms(line.latency[0]),
            ms(line.latency[1]),
            ms(line.latency[2]),
            ms(line.worst),
            ms(line.by_class[0]),
            good.join(" / "),
            line.goodput,
            line.refused * 100.0,
            line.attempts,
            line.max_busy,
        );
    }
    text
}

/// Writes the table and a plot of the 99th percentiles.
pub fn write(out: &Path, text: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("ROUTING.md"), format!("{text}\n![p99](routing.svg)\n"))?;
    plot(&out.join("routing.svg"), lines)
}

fn plot(path: &Path, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let scenes: Vec<&str> =
        lines.iter().step_by(Policy::ALL.len()).map(|l| l.scene.as_str()).collect();
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let top = lines.iter().map(|l| l.latency[1] as f64 / 1000.0).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("99th percentile in ms", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenes.len() as f64, (5.0..top * 1.5).log_scale())?;
    let name = |x: &f64| scenes.get(*x as usize).map_or(String::new(), |s| s.to_string());
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenes.len())
        .x_label_formatter(&name)
        .draw()?;
    for (n, policy) in Policy::ALL.into_iter().enumerate() {
        let own = lines.iter().filter(|l| l.policy == policy).enumerate();
        let color = Palette99::pick(n).to_rgba();
        let bars = own.map(|(x, l)| {
            let left = x as f64 + 0.1 + 0.16 * n as f64;
            let height = (l.latency[1] as f64 / 1000.0).max(5.0);
            Rectangle::new([(left, 5.0), (left + 0.14, height)], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(format!("{policy:?}"))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn line(scene: &Scene, policy: Policy, outcomes: Vec<Outcome>) -> Line {
    let all = |q: f64| {
        let mut values: Vec<u64> = outcomes.iter().map(|o| quantile(o, q)).collect();
        values.sort_unstable();
        values
    };
    let class = |n: usize, q: f64| {
        median(outcomes.iter().map(|o| o.latency[n].value_at_quantile(q)).collect())
    };
    let good = |n: usize| {
        let sum = |f: fn(&Outcome) -> &Vec<u64>| outcomes.iter().map(|o| f(o)[n]).sum::<u64>();
        sum(|o| &o.good) as f64 / sum(|o| &o.offered).max(1) as f64
    };
    let total = |f: fn(&Outcome) -> u64| outcomes.iter().map(f).sum::<u64>() as f64;
    let offered = total(|o| o.offered.iter().sum());
    let seconds = scene.length.as_secs_f64() * outcomes.len() as f64;
    Line {
        scene: scene.name.clone(),
        policy,
        latency: [0.5, 0.99, 0.999].map(|q| median(all(q))),
        worst: all(0.99).last().copied().unwrap_or_default(),
        by_class: (0..CLASSES.len()).map(|n| class(n, 0.99)).collect(),
        good: (0..CLASSES.len()).map(good).collect(),
        goodput: total(|o| o.good.iter().sum()) / (scene.capacity() * seconds),
        refused: total(|o| o.refused.values().sum()) / offered,
        attempts: total(|o| o.attempts) / offered,
        max_busy: outcomes.iter().map(|o| o.max_busy).max().unwrap_or_default(),
    }
}

/// Returns a latency percentile over all classes, in microseconds.
fn quantile(outcome: &Outcome, q: f64) -> u64 {
    let mut all = outcome.latency[0].clone();
    for other in &outcome.latency[1..] {
        let _ = all.add(other);
    }
    all.value_at_quantile(q)
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}
