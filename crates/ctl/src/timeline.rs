//! Events of all processes in causal order.

use std::collections::BTreeSet;
use std::io::IsTerminal;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use myrtle_base::{Event, Stamp};

use crate::Failed;
use crate::args::Timeline;
use crate::cluster::Cluster;

/// The time between two looks with `--follow`.
const ROUND: Duration = Duration::from_millis(500);

/// Bits of a stamp below its milliseconds.
const COUNT_BITS: u32 = 16;

/// Shows the time line.
pub async fn show(cluster: &Cluster, args: &Timeline, json: bool) -> Result<(), Failed> {
    let mut since = args.since.map_or(0, |s| wall_millis().saturating_sub(s * 1000) << COUNT_BITS);
    let mut shown = BTreeSet::new();
    loop {
        let hosts = cluster.ask_all::<Vec<Event>>(None, &format!("/events?since={since}")).await?;
        let mut events: Vec<Event> =
            hosts.into_iter().flat_map(|h| h.1.unwrap_or_default()).collect();
        events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
        for event in &events {
            if shown.insert((event.stamp, event.host.clone())) {
                print(event, json);
            }
        }
        if !args.follow {
            return Ok(());
        }
        // A host's events may come late: look back a little each time.
        let newest = events.last().map_or(Stamp(since), |e| e.stamp);
        since = since.max(newest.0.saturating_sub(5_000 << COUNT_BITS));
        tokio::time::sleep(ROUND).await;
    }
}

fn print(event: &Event, json: bool) {
    if json {
        say!("{}", serde_json::json!(event));
        return;
    }
    let time = event.stamp.millis() % 86_400_000;
    let (h, m, s, ms) = (time / 3_600_000, time / 60_000 % 60, time / 1000 % 60, time % 1000);
    let (host, part, text) = (&event.host, &event.part, &event.text);
    let (dim, plain) =
        if std::io::stdout().is_terminal() { ("\x1b[2m", "\x1b[0m") } else { ("", "") };
    say!("{dim}{h:02}:{m:02}:{s:02}.{ms:03} {host:12} {part:7}{plain} {text}");
}

fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
