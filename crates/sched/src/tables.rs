//! The tables that all parts of the process share.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use myrtle_base::{Millis, Ring};
use myrtle_cell::{Cell, Promise, Read, Verdicts};
use myrtle_config::{Config, Settings};
use myrtle_meter::Meter;
use myrtle_peer::{GateSeen, Link, Pulse, SchedPeerClient};
use myrtle_place::Learned;
use myrtle_platform::{Caller, Host, HostList, LogClient};

use crate::balance::Policy;
use crate::claims::Kinds;
use crate::commit::Order;
use crate::names::stream;
use crate::warden::WorkerLink;

/// A log read older than this counts as no contact with the log.
pub const FRESH: Millis = Millis(2_500);

/// Kinds of tasks that are told apart.
const MAX_KINDS: usize = 256;

/// The least time between two pulses.
const PULSE: Millis = Millis(700);

/// What each peer adds to the time between two pulses.
const PULSE_EACH: Millis = Millis(250);

/// The fold with what is known about its age.
#[derive(Debug, Default)]
pub struct CellTable {
    /// The state.
    pub cell: Cell,
    /// The newest read that showed the end of the stream.
    pub read: Option<Read>,
    /// The log's clock, and ours when the log told it.
    pub log_time: Option<(Millis, Millis)>,
    /// What the fold said to this writer's batches, by number.
    pub verdicts: HashMap<u64, Verdicts>,
    /// The offset of the newest snapshot seen.
    pub snapshot: u64,
}

/// Another sched of the data centre.
#[derive(Debug)]
pub struct Peer {
    /// The connection.
    pub link: Arc<Link<SchedPeerClient>>,
    /// Its newest word and when it came.
    pub pulse: Option<(Pulse, Millis)>,
    /// Whether it answered the last time.
    pub answers: bool,
}

/// What is known of other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// The host list as it was told last.
    pub hosts: Vec<Host>,
    /// Other scheds of the data centre, by name.
    pub scheds: BTreeMap<String, Peer>,
    /// Gates that renewed here, with their life and when.
    pub gates: BTreeMap<String, (u64, Millis)>,
}

/// Everything shared.
#[derive(Debug)]
pub struct Tables {
    /// The process's settings.
    pub settings: Settings,
    /// The events.
    pub ring: Ring,
    /// The figures.
    pub meter: Meter,
    /// The log.
    pub log: LogClient,
    /// The host list.
    pub list: HostList,
    /// The HTTP client.
    pub caller: Caller,
    /// This writer's number.
    pub writer: u64,
    /// Wakes whoever waits for a change of the fold or the configuration.
    pub changed: watch::Sender<u64>,
    /// Orders to the committer.
    pub orders: mpsc::Sender<Order>,
    start: Instant,
    config: Mutex<Config>,
    cell: Mutex<CellTable>,
    promise: Mutex<Promise>,
    peers: Mutex<Peers>,
    links: Mutex<BTreeMap<String, WorkerLink>>,
    policy: Mutex<Policy>,
}

macro_rules! table {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        pub fn $name<R>(&self, look: impl FnOnce(&mut $type) -> R) -> R {
            look(&mut self.$name.lock().expect("no holder panics"))
        }
    };
}

impl Tables {
    /// Empty tables.
    pub fn new(settings: Settings, orders: mpsc::Sender<Order>) -> Self {
        let caller = Caller::default();
        let log = LogClient::new(caller.clone(), settings.platform.log);
        let list = HostList::new(caller.clone(), settings.platform.hosts);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            ring: Ring::new(&settings.name),
            meter: Meter::default(),
            log,
            list,
            caller,
            // Two lives of one host never share a number: it holds name and birth.
            writer: myrtle_base::rank(&settings.name, &born.as_nanos().to_string()),
            changed: watch::Sender::new(0),
            orders,
            start: Instant::now(),
            config: Mutex::default(),
            cell: Mutex::default(),
            promise: Mutex::new(Promise::new(Millis(0))),
            peers: Mutex::default(),
            links: Mutex::default(),
            policy: Mutex::new(Policy {
                placer: Learned::new(1, MAX_KINDS, born.as_nanos() as u64),
                kinds: Kinds::default(),
            }),
            settings,
        }
    }

    table!(
        /// The configuration; first in the lock order.
        config: Config
    );
    table!(
        /// The cell; second in the lock order.
        cell: CellTable
    );
    table!(
        /// The promises; third in the lock order.
        promise: Promise
    );
    table!(
        /// Other hosts; fourth in the lock order.
        peers: Peers
    );
    table!(
        /// Links to workers; fifth in the lock order.
        links: BTreeMap<String, WorkerLink>
    );
    table!(
        /// What the policy remembers; last in the lock order.
        policy: Policy
    );

    /// The process's own clock.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// The name of this host.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The name of the cell, which is the data centre's.
    pub fn centre(&self) -> &str {
        &self.settings.data_centre
    }

    /// The name of the cell's stream.
    pub fn stream(&self) -> String {
        stream(self.centre())
    }

    /// The age of the newest log read.
    pub fn age(&self) -> Millis {
        let now = self.now();
        self.cell(|c| c.read.map_or(Millis(u64::MAX), |r| now.since(r.sent)))
    }

    /// Whether this host is in contact with the log.
    pub fn lit(&self) -> bool {
        self.age() < FRESH
    }

    /// The log's clock as it should be by now.
    pub fn log_now(&self) -> Option<Millis> {
        let now = self.now();
        self.cell(|c| c.log_time.map(|(log, at)| log + now.since(at)))
    }

    /// Puts a change of contact with the log or a peer into the time line.
    pub fn note_contact(&self, was: &mut bool, is: bool, with: &str) {
        if *was != is {
            let word = if is { "in contact with" } else { "no contact with" };
            log::info!("log: {word} {with}");
            self.ring.add("log", format!("{word} {with}"));
        }
        *was = is;
    }

    /// The time between two pulses: longer with many peers, so that the bytes stay the same.
    pub fn pulse_period(&self) -> Millis {
        let peers = self.peers(|p| p.scheds.len() as u64);
        PULSE.max(Millis(peers * PULSE_EACH.0))
    }

    /// The age beyond which a peer's word counts for nothing.
    fn peer_limit(&self) -> Millis {
        FRESH.max(Millis(3 * self.pulse_period().0))
    }

    /// Tells waiting tasks that something changed.
    pub fn wake(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// The scheds of the data centre that share the duties, as far as known.
    ///
    /// A host in contact with the log leaves out those that are not; one without counts all that
    /// answer, so that an outage of the log moves no duties.
    pub fn live(&self) -> Vec<String> {
        let now = self.now();
        let lit = self.lit();
        let limit = self.peer_limit();
        let mut live = self.peers(|p| {
            let fresh = |peer: &Peer| {
                let pulse = peer.pulse.as_ref();
                pulse.is_some_and(|(p, at)| now.since(*at) < limit && (!lit || p.age < FRESH))
            };
            let peers = p.scheds.iter().filter(|(_, peer)| fresh(peer));
            peers.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        });
        live.push(self.name().into());
        live
    }

    /// Whether this host should do the duty named by `key`.
    pub fn mine(&self, key: &str) -> bool {
        let live = self.live();
        myrtle_base::winner(live.iter().map(String::as_str), key) == Some(self.name())
    }

    /// Gates that any sched heard of lately, with their lives.
    pub fn gates_seen(&self, within: Millis) -> Vec<GateSeen> {
        let now = self.now();
        self.peers(|p| {
            let own = p.gates.iter().map(|(name, (boot, at))| GateSeen {
                name: name.clone(),
                boot: *boot,
                age: now.since(*at),
            });
            let told = p.scheds.values().filter_map(|s| s.pulse.as_ref());
            let told = told.flat_map(|(pulse, at)| {
                let more = now.since(*at);
                pulse.gates.iter().map(move |g| GateSeen { age: g.age + more, ..g.clone() })
            });
            own.chain(told).filter(|g| g.age < within).collect()
        })
    }

    /// The links of the other scheds of the data centre.
    pub fn peer_links(&self) -> Vec<(String, Arc<Link<SchedPeerClient>>)> {
        self.peers(|p| p.scheds.iter().map(|(n, s)| (n.clone(), s.link.clone())).collect())
    }
}
