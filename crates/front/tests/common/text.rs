//! The operator's configuration and the hosts' settings.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// The host name of the queue.
pub const QUEUE: &str = "q.example";

/// A configuration of one queue.
pub fn configuration(version: u64) -> Value {
    json!({ "version": version, "routes": [{ "name": "r", "host": QUEUE, "path_prefix": "/p/",
        "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "s",
        "max_attempts": 3, "stretch": 2.0 }], "services": [{ "name": "s" }],
        "limits": { "max_body_bytes": 4096 } })
}

/// The settings of a host.
pub fn settings(
    name: &str,
    store: SocketAddr,
    [clients, checks, peer]: [u16; 3],
    hold: u64,
) -> String {
    format!(
        "name: {name}\ndata_centre: d\ndata_centres: [d]\nclients: 127.0.0.1:{clients}\n\
         checks: 127.0.0.1:{checks}\nip: 127.0.0.1\npeer_port: {peer}\nstore: {store}\n\
         member_ttl: 1000\nbounds: {{hold: {hold}, stop: 900, gang: 3000, harm: 4000, far: 1.5, \
         status: 120, notice: 4500, save: 0.5, grace: 6, contact: 3000}}\n"
    )
}
