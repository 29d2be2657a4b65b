//! State shared by all loops of the process.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use myrtle_base::{Millis, Ring};
use myrtle_cell::{Cell, LogRead, Promise, Verdicts};
use myrtle_config::{Config, Settings};
use myrtle_meter::Meter;
use myrtle_peer::{GateContact, Link, SchedHealth, SchedPeerClient};
use myrtle_place::Learned;
use myrtle_platform::{Caller, Host, HostList, LogClient};

use crate::balance::Policy;
use crate::claims::Kinds;
use crate::commit::CommitRequest;
use crate::names::stream;
use crate::workers::WorkerLink;

/// Age of the newest log read beyond which this host counts as cut off from the log.
pub const MAX_AGE: Millis = Millis(2_500);

/// Number of kinds of tasks that the interference model distinguishes.
const MAX_KINDS: usize = 256;

/// Minimum time between two pulses.
const PULSE_PERIOD: Millis = Millis(700);

/// Time between two pulses per peer, so that traffic does not grow with the number of peers.
const PULSE_PER_PEER: Millis = Millis(250);

/// The cell as folded so far, and the log reads that it comes from.
#[derive(Debug, Default)]
pub struct CellTable {
    /// The state.
    pub cell: Cell,
    /// The newest read that showed the end of the stream.
    pub read: Option<LogRead>,
    /// The log's clock, and this host's clock when it was read.
    pub log_time: Option<(Millis, Millis)>,
    /// Verdicts on this writer's batches, by sequence number.
    pub verdicts: HashMap<u64, Verdicts>,
    /// Offset of the newest snapshot read.
    pub snapshot: u64,
}

/// Another sched of the data centre.
#[derive(Debug)]
pub struct Peer {
    /// The connection.
    pub link: Arc<Link<SchedPeerClient>>,
    /// Its newest pulse and when it arrived.
    pub pulse: Option<(SchedHealth, Millis)>,
    /// Whether it answered the last call.
    pub answers: bool,
}

/// State of other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// The host list as last read.
    pub hosts: Vec<Host>,
    /// Other scheds of the data centre, by name.
    pub scheds: BTreeMap<String, Peer>,
    /// Gates that renewed their lease here, with their incarnation and the time of the call.
    pub gates: BTreeMap<String, (u64, Millis)>,
}

/// State shared by all loops.
#[derive(Debug)]
pub struct Tables {
    /// The process's settings.
    pub settings: Settings,
    /// Recent events for the time line.
    pub events: Ring,
    /// Metrics of this process.
    pub metrics: Meter,
    /// Client of the log service.
    pub log: LogClient,
    /// Client of the host list.
    pub list: HostList,
    /// HTTP client.
    pub caller: Caller,
    /// Number of this process as a writer to the log.
    pub writer: u64,
    /// Counts changes of the fold, the configuration or the host list.
    pub changed: watch::Sender<u64>,
    /// Requests to the committer.
    pub commits: mpsc::Sender<CommitRequest>,
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
    /// Creates empty tables.
    pub fn new(settings: Settings, commits: mpsc::Sender<CommitRequest>) -> Self {
        let caller = Caller::default();
        let log = LogClient::new(caller.clone(), settings.platform.log);
        let list = HostList::new(caller.clone(), settings.platform.hosts);
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            events: Ring::new(&settings.name),
            metrics: Meter::default(),
            log,
            list,
            caller,
            // The start time gives each incarnation of a host its own number.
            writer: myrtle_base::rank(&settings.name, &started_at.as_nanos().to_string()),
            changed: watch::Sender::new(0),
            commits,
            start: Instant::now(),
            config: Mutex::default(),
            cell: Mutex::default(),
            promise: Mutex::new(Promise::new(Millis(0))),
            peers: Mutex::default(),
            links: Mutex::default(),
            policy: Mutex::new(Policy {
                placer: Learned::new(1, MAX_KINDS, started_at.as_nanos() as u64),
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
        /// The folded cell; second in the lock order.
        cell: CellTable
    );
    table!(
        /// The promises; third in the lock order.
        promise: Promise
    );
    table!(
        /// State of other hosts; fourth in the lock order.
        peers: Peers
    );
    table!(
        /// Links to workers; fifth in the lock order.
        links: BTreeMap<String, WorkerLink>
    );
    table!(
        /// State of the placement policy; last in the lock order.
        policy: Policy
    );

    /// Time since the start of the process.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// The name of this host.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The name of the data centre, which is also the cell's.
    pub fn centre(&self) -> &str {
        &self.settings.data_centre
    }

    /// The name of the cell's stream.
    pub fn stream(&self) -> String {
        stream(self.centre())
    }

    /// The age of the newest log read.
    pub fn log_age(&self) -> Millis {
        let now = self.now();
        self.cell(|c| c.read.map_or(Millis(u64::MAX), |r| now.since(r.sent_at)))
    }

    /// Whether this host is in contact with the log.
    pub fn online(&self) -> bool {
        self.log_age() < MAX_AGE
    }

    /// Estimates the log's current clock; `None` before the first read.
    pub fn log_now(&self) -> Option<Millis> {
        let now = self.now();
        self.cell(|c| c.log_time.map(|(log, at)| log + now.since(at)))
    }

    /// Logs a change of contact with the log or a peer and adds it to the time line.
    pub fn record_contact(&self, was: &mut bool, is: bool, with: &str) {
        if *was != is {
            let change = if is { "in contact with" } else { "no contact with" };
            log::info!("log: {change} {with}");
            self.events.add("log", format!("{change} {with}"));
        }
        *was = is;
    }

    /// Time between two pulses, proportional to the number of peers to keep traffic constant.
    pub fn pulse_period(&self) -> Millis {
        let peers = self.peers(|p| p.scheds.len() as u64);
        PULSE_PERIOD.max(Millis(peers * PULSE_PER_PEER.0))
    }

    /// Age beyond which a peer's pulse is ignored.
    fn max_pulse_age(&self) -> Millis {
        MAX_AGE.max(Millis(3 * self.pulse_period().0))
    }

    /// Wakes the loops that wait for a change.
    pub fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the scheds of the data centre among which duties are divided.
    ///
    /// A host in contact with the log leaves out peers that are not; a host without contact counts
    /// all peers that answer, so that an outage of the log moves no duties.
    pub fn live(&self) -> Vec<String> {
        let now = self.now();
        let online = self.online();
        let limit = self.max_pulse_age();
        let mut live = self.peers(|p| {
            let fresh = |peer: &Peer| {
                let pulse = peer.pulse.as_ref();
                pulse.is_some_and(|(p, at)| now.since(*at) < limit && (!online || p.age < MAX_AGE))
            };
            let peers = p.scheds.iter().filter(|(_, peer)| fresh(peer));
            peers.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        });
        live.push(self.name().into());
        live
    }

    /// Whether this host is elected for the duty named by `key`.
    pub fn elected(&self, key: &str) -> bool {
        let live = self.live();
        myrtle_base::winner(live.iter().map(String::as_str), key) == Some(self.name())
    }

    /// Returns the gates that called any sched within the given time, with their incarnations.
    pub fn gates_seen(&self, within: Millis) -> Vec<GateContact> {
        let now = self.now();
        self.peers(|p| {
            let own = p.gates.iter().map(|(name, (boot, at))| GateContact {
                name: name.clone(),
                incarnation: *boot,
                age: now.since(*at),
            });
            let reported = p.scheds.values().filter_map(|s| s.pulse.as_ref());
            let reported = reported.flat_map(|(pulse, at)| {
                let more = now.since(*at);
                pulse.gates.iter().map(move |g| GateContact { age: g.age + more, ..g.clone() })
            });
            own.chain(reported).filter(|g| g.age < within).collect()
        })
    }

    /// Returns links to the other scheds of the data centre.
    pub fn peer_links(&self) -> Vec<(String, Arc<Link<SchedPeerClient>>)> {
        self.peers(|p| p.scheds.iter().map(|(n, s)| (n.clone(), s.link.clone())).collect())
    }
}
