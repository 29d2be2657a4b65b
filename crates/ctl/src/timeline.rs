//! Prints the events of all processes in causal order.

use std::collections::BTreeSet;
use std::io::IsTerminal;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use myrtle_base::{Event, Stamp};

use crate::Error;
use crate::args::Timeline;
use crate::cluster::Cluster;

/// Time between two queries with `--follow`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Low bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// Prints the time line.
pub async fn show(cluster: &Cluster, args: &Timeline, json: bool) -> Result<(), Error> {
    let mut since = args.since.map_or(0, |s| unix_ms().saturating_sub(s * 1000) << COUNTER_BITS);
    let mut shown = BTreeSet::new();
    loop {
        let hosts =
            cluster.query_all::<Vec<Event>>(None, &format!("/events?since={since}")).await?;
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
        // A host may deliver events late, so each query overlaps the previous one by 5 s.
        let newest = events.last().map_or(Stamp(since), |e| e.stamp);
        since = since.max(newest.0.saturating_sub(5_000 << COUNTER_BITS));
        tokio::time::sleep(POLL_INTERVAL).await;
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

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
