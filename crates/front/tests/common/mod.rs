//! A site over loopback: front hosts as processes, the stand-in of the store, workers.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod call;
mod host;
mod jobs;
mod kept;
mod links;
#[path = "../../../../platform/tests/common/mod.rs"]
mod relay;
mod text;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use myrtle_platform::serve;
use myrtle_standin::{RunLog, Store, TicketService, TicketSpans, WorkerStandin};

pub use call::{call, call_with, status};
pub use host::{Host, Launch};
pub use kept::{Kept, KeptAnswer};
pub use links::Links;
pub use relay::Relay;
pub use text::{configuration, own_ip, settings, ticketed};

/// The longest wait for a condition, far longer than any needs.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The program of a host.
fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_myrtle-front").into()
}

/// A site of one data centre.
pub struct Site {
    pub store: Arc<Store>,
    store_at: SocketAddr,
    pub book: Arc<RunLog>,
    pub hosts: BTreeMap<String, Host>,
    pub runners: Vec<Arc<WorkerStandin>>,
    tickets: Option<Arc<TicketService>>,
    /// The longest lease of a worker, in milliseconds.
    lease: u64,
    /// The relays from the hosts to the store and to the workers.
    relays: Vec<Relay>,
    /// The relays between hosts, if there are any.
    pub links: Option<Links>,
    /// Whether hosts get SIGHUP as soon as they listen.
    reload_at_start: bool,
    /// How hosts are started.
    pub launch: Launch,
    /// The incarnations of workers that were listed last.
    listed: Mutex<BTreeMap<String, String>>,
}

impl Site {
    /// A site of two hosts and four workers that need `work` for each task.
    pub async fn start(work: Duration) -> Self {
        Self::with(work, 10_000).await
    }

    /// The same with leases of workers of up to `lease` milliseconds.
    pub async fn with(work: Duration, lease: u64) -> Self {
        let mut site = Self::build(work, lease, ["d"; 4], false).await;
        site.host("h1").await;
        site.host("h2").await;
        site
    }

    /// A site of two hosts and four workers whose queue needs tickets.
    pub async fn with_tickets(work: Duration, spans: TicketSpans) -> Self {
        let mut site = Self::build(work, 10_000, ["d"; 4], false).await;
        let service = TicketService::start(spans).await.unwrap();
        site.runners.iter().for_each(|runner| runner.require_tickets(&service));
        site.store.put("keyed.op", "config", ticketed(2, spans).to_string().as_bytes());
        site.tickets = Some(service);
        site.ticketed_host("h1").await;
        site.ticketed_host("h2").await;
        site
    }

    /// A site of four workers without hosts.
    pub async fn without_hosts(work: Duration) -> Self {
        Self::build(work, 10_000, ["d"; 4], false).await
    }

    /// The ticket service.
    pub fn tickets(&self) -> &TicketService {
        self.tickets.as_ref().expect("the site has a ticket service")
    }

    /// A site of two data centres, each with a host, two workers and its own cell.
    pub async fn of_two_centres(work: Duration) -> Self {
        Self::of_centres(work, None).await
    }

    /// A site of two data centres that share a cell, each with a host and two workers.
    pub async fn of_shared_centres(work: Duration) -> Self {
        let mut site = Self::build(work, 10_000, ["d", "d", "e", "e"], false).await;
        for (name, centre) in [("h1", "d"), ("h2", "e")] {
            site.host_of(name, centre, "").await;
        }
        site
    }

    /// Two data centres with their own cells, with relays between the hosts that can go silent.
    pub async fn of_linked_centres(work: Duration) -> Self {
        Self::of_centres(work, Some(Links::default())).await
    }

    async fn of_centres(work: Duration, links: Option<Links>) -> Self {
        let mut site = Self::build(work, 10_000, ["d", "d", "e", "e"], false).await;
        site.links = links;
        for (name, centre) in [("h1", "d"), ("h2", "e")] {
            site.host_of(name, centre, "cells: data_centre\n").await;
        }
        site
    }

    /// A site whose connections to the store and to the workers can go silent.
    pub async fn relayed(work: Duration) -> Self {
        let mut site = Self::build(work, 10_000, ["d"; 4], true).await;
        site.host("h1").await;
        site.host("h2").await;
        site
    }

    /// A site of two hosts and four workers, with relays between the hosts that can go silent.
    pub async fn linked(work: Duration) -> Self {
        let mut site = Self::build(work, 10_000, ["d"; 4], false).await;
        site.links = Some(Links::default());
        site.host("h1").await;
        site.host("h2").await;
        site
    }

    /// Lists the present incarnations of workers in place of earlier ones.
    pub fn list_incarnations(&self) {
        for runner in &self.runners {
            let incarnation = runner.incarnation();
            let mut listed = self.listed.lock().unwrap();
            let before = listed.insert(runner.name.clone(), incarnation.clone());
            let before = before.unwrap_or_else(|| runner.name.clone());
            if before != incarnation {
                self.store.put("keyed.servers", &before, b"");
                self.store.put("keyed.servers", &incarnation, runner.listing().as_bytes());
            }
        }
    }

    /// The number of starts of a task.
    pub fn starts(&self, task: &str) -> usize {
        self.book.runs().iter().filter(|seen| seen.task == task).count()
    }

    /// Silences all open connections to the store and to the workers, without a reset.
    pub fn silence(&self) {
        self.relays.iter().for_each(Relay::silence);
    }

    /// A site of four workers in these data centres without hosts.
    async fn build(work: Duration, lease: u64, centres: [&str; 4], relayed: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut store_at = listener.local_addr().unwrap();
        let store = Arc::new(Store::default());
        let served = store.clone();
        tokio::spawn(serve(listener, move |ask| {
            let store = served.clone();
            async move { store.handle(ask).await }
        }));
        let book = Arc::new(RunLog::default());
        let (mut runners, mut relays) = (Vec::new(), Vec::new());
        if relayed {
            relays.push(Relay::to(store_at).await);
            store_at = relays[0].at;
        }
        for (n, centre) in centres.into_iter().enumerate() {
            let runner = WorkerStandin::start(&format!("i-{n}"), work, book.clone()).await.unwrap();
            let mut listing = runner.listing_as(centre, "ready");
            if relayed {
                let relay = Relay::to(runner.address).await;
                listing = listing.replace(&runner.address.to_string(), &relay.at.to_string());
                relays.push(relay);
            }
            store.put("keyed.servers", &runner.name, listing.as_bytes());
            runners.push(runner);
        }
        store.put("keyed.op", "config", configuration(1).to_string().as_bytes());
        let hosts = BTreeMap::new();
        let listed = Mutex::default();
        let (tickets, links) = (None, None);
        let reload_at_start = false;
        Self {
            store,
            store_at,
            book,
            hosts,
            runners,
            tickets,
            lease,
            relays,
            links,
            reload_at_start,
            launch: Launch::default(),
            listed,
        }
    }
}

/// Waits until a check holds.
pub async fn until<F, R>(check: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let wait = async {
        while !check().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_LIMIT, wait).await.expect("the condition did not hold in time");
}

/// Waits until the only cell has an owner; returns the host.
pub async fn owner(site: &Site) -> String {
    let assigned = |(part, _): &(u32, String)| *part == 0;
    until(|| async { site.store.owners("cell-0").iter().any(assigned) }).await;
    let member = site.store.owners("cell-0").into_iter().find(assigned).map(|(_, member)| member);
    member.and_then(|m| Some(m.split('-').next()?.to_string())).unwrap_or_default()
}
