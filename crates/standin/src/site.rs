//! Helpers for tests that start processes of the project beside the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use uuid::Uuid;

use myrtle_base::Millis;
use myrtle_config::{Announce, Change, ConfigRecord, Desired, Platform, Settings, Span, read};
use myrtle_platform::{Caller, LogClient};

use crate::World;

/// The timeout of [`until`]; generous, as tests check whether a condition holds, not how soon.
const TIMEOUT: Duration = Duration::from_secs(60);

impl World {
    /// The settings of a host that announces itself on ports chosen by the system.
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

    /// Appends a desired state to the log, as derived from the scope's version `base`.
    pub async fn apply(&self, text: &str, base: u64) {
        let desired: Desired = read("test", text).expect("the text is a desired state");
        let change = Change { id: Uuid::now_v7(), base, by: "test".into(), desired };
        let bytes = ConfigRecord::Change(change).encode();
        self.log_client().append("config", bytes).await.expect("the log accepts appends");
    }

    /// Creates a client of the log.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(Caller::default(), self.log_at)
    }
}

/// Waits until a condition holds; `what` describes it in the panic message.
///
/// # Panics
///
/// If the condition does not hold within a minute.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
