//! The host list, which tells what was so some time ago.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use myrtle_platform::{Answer, Ask, Host, Part, Role, json, text};

/// Entries and the time from which they are told.
#[derive(Debug, Default)]
pub struct Hosts {
    told: Mutex<BTreeMap<String, Host>>,
    coming: Mutex<Vec<(Instant, Change)>>,
    lag: Duration,
}

#[derive(Debug)]
enum Change {
    Enter(Box<Host>),
    Remove(String),
}

impl Hosts {
    /// A list that lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Enters a host or its new state.
    pub fn enter(&self, host: Host) {
        let mut coming = self.coming.lock().expect("no holder panics");
        coming.push((Instant::now() + self.lag, Change::Enter(Box::new(host))));
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        let mut coming = self.coming.lock().expect("no holder panics");
        coming.push((Instant::now() + self.lag, Change::Remove(name.into())));
    }

    /// Marks a host as leaving.
    pub fn leave(&self, name: &str) {
        let host = self.list().into_iter().find(|h| h.name == name);
        if let Some(host) = host {
            self.enter(Host { leaving: true, ..host });
        }
    }

    /// The list as it is told now.
    pub fn list(&self) -> Vec<Host> {
        let mut told = self.told.lock().expect("no holder panics");
        let mut coming = self.coming.lock().expect("no holder panics");
        let now = Instant::now();
        while coming.first().is_some_and(|c| c.0 <= now) {
            match coming.remove(0).1 {
                Change::Enter(host) => drop(told.insert(host.name.clone(), *host)),
                Change::Remove(name) => drop(told.remove(&name)),
            }
        }
        told.values().cloned().collect()
    }

    /// The part of the list that a data centre needs.
    fn part(&self, centre: &str, ask: &Ask) -> Part {
        let mut hosts = self.list();
        hosts.retain(|h| h.data_centre == centre || h.role == Role::Gate);
        let mark = xxh3_64(&serde_json::to_vec(&hosts).unwrap_or_default());
        let known = ask.param("known").and_then(|k| k.parse().ok());
        Part { mark, hosts: (known != Some(mark)).then_some(hosts) }
    }

    /// Answers a call.
    pub async fn handle(&self, ask: Ask) -> Answer {
        if ask.method == hyper::Method::GET {
            return match ask.param("data_centre") {
                Some(centre) => json(&self.part(centre, &ask)),
                None => json(&self.list()),
            };
        }
        match serde_json::from_slice::<Host>(&ask.body) {
            Ok(host) => {
                self.enter(host);
                json(&())
            }
            Err(e) => text(400, e.to_string()),
        }
    }
}
