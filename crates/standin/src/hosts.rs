//! The stand-in for the host list, which shows changes with a delay.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use myrtle_platform::{Host, HostSubset, HttpRequest, Reply, Role, json, text};

/// The host list and the changes that are not visible yet.
#[derive(Debug, Default)]
pub struct Hosts {
    visible: Mutex<BTreeMap<String, Host>>,
    pending: Mutex<Vec<(Instant, Change)>>,
    lag: Duration,
}

#[derive(Debug)]
enum Change {
    Enter(Box<Host>),
    Remove(String),
}

impl Hosts {
    /// Creates a list that shows changes after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Adds a host or updates its entry.
    pub fn update(&self, host: Host) {
        let mut pending = self.pending.lock().expect("no holder panics");
        pending.push((Instant::now() + self.lag, Change::Enter(Box::new(host))));
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        let mut pending = self.pending.lock().expect("no holder panics");
        pending.push((Instant::now() + self.lag, Change::Remove(name.into())));
    }

    /// Marks a host as leaving.
    pub fn leave(&self, name: &str) {
        let host = self.list().into_iter().find(|h| h.name == name);
        if let Some(host) = host {
            self.update(Host { leaving: true, ..host });
        }
    }

    /// The entries that are visible now.
    pub fn list(&self) -> Vec<Host> {
        let mut visible = self.visible.lock().expect("no holder panics");
        let mut pending = self.pending.lock().expect("no holder panics");
        let now = Instant::now();
        while pending.first().is_some_and(|c| c.0 <= now) {
            match pending.remove(0).1 {
                Change::Enter(host) => drop(visible.insert(host.name.clone(), *host)),
                Change::Remove(name) => drop(visible.remove(&name)),
            }
        }
        visible.values().cloned().collect()
    }

    /// The entries of the list that a data centre needs.
    fn part(&self, centre: &str, ask: &HttpRequest) -> HostSubset {
        let mut hosts = self.list();
        hosts.retain(|h| h.data_centre == centre || h.role == Role::Gate);
        let mark = xxh3_64(&serde_json::to_vec(&hosts).unwrap_or_default());
        let known = ask.param("known").and_then(|k| k.parse().ok());
        HostSubset { mark, hosts: (known != Some(mark)).then_some(hosts) }
    }

    /// Handles a request.
    pub async fn handle(&self, ask: HttpRequest) -> Reply {
        if ask.method == hyper::Method::GET {
            return match ask.param("data_centre") {
                Some(centre) => json(&self.part(centre, &ask)),
                None => json(&self.list()),
            };
        }
        match serde_json::from_slice::<Host>(&ask.body) {
            Ok(host) => {
                self.update(host);
                json(&())
            }
            Err(e) => text(400, e.to_string()),
        }
    }
}
