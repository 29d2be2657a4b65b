//! The operator's configuration and the hosts' settings.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Value, json};

use myrtle_standin::TicketSpans;

/// The host name of the queue.
pub const QUEUE: &str = "q.example";

/// A configuration of one queue.
pub fn configuration(version: u64) -> Value {
    json!({ "version": version, "routes": [{ "name": "r", "host": QUEUE, "path_prefix": "/p/",
        "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "s",
        "max_attempts": 3, "stretch": 2.0 }], "services": [{ "name": "s" }],
        "limits": { "max_body_bytes": 4096 } })
}

/// A configuration of one queue that needs tickets with these times.
pub fn ticketed(version: u64, spans: TicketSpans) -> Value {
    let mut configuration = configuration(version);
    configuration["routes"][0]["advice"] = json!({
        "decide_ms": spans.call.as_millis() as u64,
        "each_ms": spans.worker.as_millis() as u64,
        "valid_ms": spans.valid.as_millis() as u64,
    });
    configuration
}

/// A loopback address that only this process uses, so that no other test takes its hosts' ports.
pub fn own_ip() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + a % 64, b, c)
}

/// The settings file of a host.
pub fn settings(
    name: &str,
    store: SocketAddr,
    [clients, checks, peer]: [u16; 3],
    lease: u64,
) -> String {
    let ip = own_ip();
    format!(
        "name: {name}\ndata_centre: d\ndata_centres: [d]\nclients: {ip}:{clients}\n\
         checks: {ip}:{checks}\nip: {ip}\npeer_port: {peer}\nstore: {store}\n\
         member_ttl: 1000\nbounds: {{hold: {lease}, stop: 900, gang: 3000, harm: 4000, far: 1.5, \
         status: 120, notice: 4500, save: 0.5, grace: 6, contact: 3000}}\n"
    )
}
