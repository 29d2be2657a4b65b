//! What tests need to start processes of the project beside the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use uuid::Uuid;

use myrtle_base::Millis;
use myrtle_config::{Announce, Change, ConfigRecord, Desired, Platform, Settings, Span, read};
use myrtle_platform::{Caller, LogClient};

use crate::World;

/// How long anything may take to come true; tests judge what, not when.
const PATIENCE: Duration = Duration::from_secs(60);

impl World {
    /// Settings of a host that announces itself on ports of the system's choice.
    pub fn settings(&self, name: &str, centre: &str) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: name.into(),
            data_centre: centre.into(),
            region: "attiki".into(),
            http: any,
            peer: any,
            platform: Platform { log: self.log_at, hosts: self.hosts_at },
            announce: Announce::Itself,
            drain: Span(Millis(10_000)),
        }
    }

    /// Puts a desired state into the log, as made from the scope's version `base`.
    pub async fn apply(&self, text: &str, base: u64) {
        let desired: Desired = read("test", text).expect("the text is a desired state");
        let change = Change { id: Uuid::now_v7(), base, by: "test".into(), desired };
        let bytes = ConfigRecord::Change(change).encode();
        self.log_client().append("config", bytes).await.expect("the log takes it in");
    }

    /// A client of the log.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(Caller::default(), self.log_at)
    }
}

/// Waits until something is so.
///
/// # Panics
///
/// If it is not so within a minute.
pub async fn until(what: &str, so: impl Fn() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !so() {
        assert!(tokio::time::Instant::now() < end, "not within {PATIENCE:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
