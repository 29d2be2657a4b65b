//! The settings of the hosts and the operator's configuration.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::common::own_ip;
use crate::fleet::CENTRES;

/// The host name of the queues.
pub const QUEUE_HOST: &str = "q.example";

/// The path prefix of the queue for short jobs.
pub const SHORT: &str = "/s/";

/// The path prefix of the queue for fillers.
pub const FILLERS: &str = "/f/";

/// The path prefix of the queue for long-running jobs.
pub const LONG: &str = "/l/";

/// The number of failed runs at which a task fails, by queue.
pub fn max_failures(prefix: &str) -> usize {
    match prefix {
        SHORT => 4,
        FILLERS => 3,
        _ => 2,
    }
}

/// A configuration of the three queues.
pub fn configuration(version: u64) -> Value {
    let queue = |name: &str, prefix: &str, priority: u32, stretch: f64, slack: u32| {
        json!({ "name": name, "host": QUEUE_HOST, "path_prefix": prefix, "timeout_ms": 3000,
            "target_latency_ms": slack, "priority": priority, "service": "s",
            "max_attempts": max_failures(prefix), "stretch": stretch })
    };
    json!({ "version": version, "routes": [
            queue("short", SHORT, 0, 1.5, 250),
            queue("fillers", FILLERS, 2, 2.0, 1000),
            queue("long", LONG, 0, 2.2, 2500),
        ],
        "services": [{ "name": "s", "rejects_overload": true }],
        "limits": { "max_body_bytes": 16_384 } })
}

/// The settings file of a host.
pub fn settings(
    name: &str,
    centre: &str,
    store: SocketAddr,
    [clients, checks, peer]: [u16; 3],
) -> String {
    let ip = own_ip();
    let centres: Vec<&str> = CENTRES.iter().map(|(centre, _)| *centre).collect();
    let centres = centres.join(", ");
    format!(
        "name: {name}\ndata_centre: {centre}\ndata_centres: [{centres}]\n\
         clients: {ip}:{clients}\nchecks: {ip}:{checks}\nip: {ip}\npeer_port: {peer}\n\
         store: {store}\ncells: auto\nparts: 24\n\
         capacity: {{share: 0.1, cores: 1, link: 1000}}\nmember_ttl: 1000\n\
         bounds: {{hold: 6000, stop: 900, gang: 3000, harm: 4000, far: 3.0, status: 120, \
         notice: 4500, save: 0.5, grace: 6, contact: 3000}}\n"
    )
}
