//! The faults of orders, and the entry of a worker.

use myrtle_base::Room;
use myrtle_job::Listing;

/// The faults of orders, each as the share of orders that it affects.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Executed, but the reply is lost.
    pub unanswered: f64,
    /// Executed 2 to 12 s later, without a reply.
    pub late: f64,
    /// Delayed by 0 to 6 s at the owner's host before they are sent.
    pub queued: f64,
    /// Whether a late order may reach the next incarnation of its worker.
    pub outlive: bool,
}

/// The listing of a worker of 32 cores.
pub fn listing(address: u16) -> Listing {
    Listing {
        service: "s".into(),
        address: ([10, 0, 0, 1], 1000 + address).into(),
        data_centre: "d".into(),
        draining: false,
        remaining_ms: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec!["a".into(), format!("r{}", address / 4)],
        machine: Some(format!("m{address}")),
        version: String::new(),
        offset: 1,
        warmup_ms: 0,
        started_at: 0,
    }
}
