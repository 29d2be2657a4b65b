//! What the demo prints.

use serde_json::json;

use myrtle_base::Event;

use super::Demo;
use crate::check::Report;

/// Most events of the timeline that are printed.
const MAX_EVENTS: usize = 60;

/// Returns whether the demo prints an event; starts and ends of tasks are left out.
fn is_shown(event: &Event) -> bool {
    const WORDS: [&str; 8] = [
        "evicted",
        "suspected",
        "given up",
        "contact",
        "Stopped",
        "to stop",
        "rejected",
        "in force",
    ];
    let first_start = event.text.contains("entered, life 1 ");
    let again = event.text.contains("entered, life");
    event.part == "demo" || !first_start && (again || WORDS.iter().any(|w| event.text.contains(w)))
}

/// Prints the report and an excerpt of the timeline, or the report as JSON.
pub(super) fn print(demo: &Demo, report: &Report, notes: &[String], events: &[Event]) {
    if demo.json {
        println!("{}", json!(report));
        return;
    }
    println!("\ntimeline (excerpt; 'myrtlectl timeline' shows all {} events)", events.len());
    for event in events.iter().filter(|e| is_shown(e)).take(MAX_EVENTS) {
        let ms = event.stamp.millis() % 1_000_000;
        println!("  {ms:>6} {:14} {:7} {}", event.host, event.part, event.text);
    }
    println!("\nreport");
    println!("  answered     {}", report.answered);
    println!("  refused      {:?}", report.refused);
    println!("  unanswered   {}", report.unanswered);
    println!("  started      {}", report.started);
    println!("  evicted      {}", report.evicted);
    println!("  resumed      {}", report.resumed);
    println!("  lost         {}", report.lost);
    println!("  doubled      {}", report.doubled);
    println!("  in force     {} ms", report.in_force_ms);
    println!("  most slots   {} of 8, connections {} of 64", report.most_busy, report.most_open);
    println!("  appends      {}", report.appends);
    for (class, p) in &report.latency_us {
        println!("  {class:12} p50 {} us, p99 {} us, p99.9 {} us", p.p50, p.p99, p.p999);
    }
    println!("  {} steps, {} promises broken", notes.len(), report.broken.len());
    report.broken.iter().for_each(|text| println!("  BROKEN: {text}"));
}
