//! Answers the HTTP requests of the balancer and of operators.

use std::sync::Arc;

use myrtle_base::Stamp;
use myrtle_platform::{Reply, json, reply, text};

use crate::tables::Tables;

/// Answers one of the gate's own paths; nothing if the path is a service's.
pub fn handle(tables: &Arc<Tables>, path: &str, query: &str) -> Option<Reply> {
    Some(match path {
        "/healthz" => text(200, "ok\n"),
        "/readyz" => ready(tables),
        "/metrics" => metrics(tables),
        "/events" => events(tables, query),
        "/status" => json(&status(tables)),
        _ => return None,
    })
}

fn ready(tables: &Tables) -> Reply {
    match tables.ready() {
        true => text(200, "ready\n"),
        false => text(503, format!("not ready: {:?}\n", tables.state())),
    }
}

fn metrics(tables: &Tables) -> Reply {
    let (held, busy, waiting) = tables.queues(|queues| {
        let sum = |f: fn(&crate::queue::ServiceQueue) -> u32| queues.values().map(f).sum::<u32>();
        (sum(|q| q.upstreams.slots()), sum(|q| q.upstreams.busy()), sum(|q| q.waiting() as u32))
    });
    tables.meter.level("myrtle_slots", "held", i64::from(held));
    tables.meter.level("myrtle_slots", "busy", i64::from(busy));
    tables.meter.level("myrtle_slots", "waiting", i64::from(waiting));
    reply(200, "text/plain; version=0.0.4", tables.meter.text().into_bytes())
}

fn events(tables: &Tables, query: &str) -> Reply {
    let since = query.strip_prefix("since=").and_then(|s| s.parse().ok()).unwrap_or_default();
    json(&tables.ring.since(Stamp(since)))
}

fn status(tables: &Tables) -> serde_json::Value {
    let view = tables.view.load();
    serde_json::json!({
        "name": tables.name(),
        "role": "gate",
        "data_centre": tables.settings.data_centre,
        "config": view.version,
        "state": format!("{:?}", tables.state()),
        "ready": tables.ready(),
        "lease_left_ms": tables.lease_left().as_millis() as u64,
        "keeps": tables.resources(|r| r.resources().len()),
        "upstreams": view.peering.upstreams.len(),
    })
}
