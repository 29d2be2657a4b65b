//! What a process holds for its clients: one limit on bytes for all addresses, one on connections for each.
//!
//! Bytes are counted before they are allocated, as the capacity that is held. Where they or connections are short, the
//! connection that holds most for its progress is evicted, so that a client that behaves still gets in. A request that
//! has arrived as a whole is never evicted.

mod charge;
mod endpoint;
mod holding;
mod limits;
mod open_connection;
mod reason;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use log::{Level, info, log};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use myrtle_meter::Meter;

use crate::connection::Activity;
use crate::log_limit::LogLimit;

pub use charge::{Charge, NoRoom};
pub use endpoint::Endpoint;
pub use holding::{Holding, choose};
pub use limits::{BodyPace, HostLimits, SOCKET_BUFFER, UNREAD_BYTES};
pub use open_connection::OpenConnection;
pub use reason::Reason;

/// How long room is waited for while connections are evicted.
const ROOM_LIMIT: Duration = Duration::from_millis(500);

/// All connections of clients.
#[derive(Debug)]
pub struct Clients {
    limits: HostLimits,
    state: Mutex<State>,
    /// Wakes those that wait for room.
    freed: Notify,
    lines: LogLimit,
}

/// The connections, and what is held for them.
#[derive(Debug, Default)]
struct State {
    next: u64,
    held: usize,
    open: BTreeMap<u64, Entry>,
}

/// One connection.
#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    held: usize,
    activity: Arc<Activity>,
    /// Cancelled when it is evicted.
    evicted: CancellationToken,
}

/// What a request for room came to.
enum Room {
    Taken,
    /// Connections are being evicted for it.
    Coming,
    /// No connection can be evicted, or only the one that asks.
    Never,
}

/// What there is too little of.
#[derive(Debug, Clone, Copy)]
enum Shortage {
    /// Connections of an address, which may have `most`.
    Connections { endpoint: Endpoint, most: usize },
    /// Memory up to `limit`, of which `bytes` are wanted, perhaps for a connection that is open.
    Memory { bytes: usize, limit: usize, asks: Option<u64> },
}

impl Shortage {
    fn reason(&self) -> Reason {
        match self {
            Self::Connections { .. } => Reason::Connections,
            Self::Memory { .. } => Reason::Memory,
        }
    }
}

impl State {
    /// Whether there is too little of something, without what is being evicted if `soon`.
    fn is_short(&self, shortage: &Shortage, soon: bool) -> bool {
        let counted = |e: &&Entry| !(soon && e.evicted.is_cancelled());
        match *shortage {
            Shortage::Connections { endpoint, most } => {
                let here = self.open.values().filter(|e| e.endpoint == endpoint);
                here.filter(counted).count() >= most
            }
            Shortage::Memory { bytes, limit, .. } if !soon => self.held + bytes > limit,
            Shortage::Memory { bytes, limit, .. } => {
                let held: usize = self.open.values().filter(counted).map(|e| e.held).sum();
                held + bytes > limit
            }
        }
    }

    /// The connection to evict; none if the one that asks holds most itself.
    fn choose(&self, shortage: &Shortage) -> Option<&Entry> {
        let (endpoint, asks) = match *shortage {
            Shortage::Connections { endpoint, .. } => (Some(endpoint), None),
            Shortage::Memory { asks, .. } => (None, asks),
        };
        let now = Instant::now();
        let open = self.open.iter().filter(|(_, e)| endpoint.is_none_or(|at| e.endpoint == at));
        let staying = open.filter(|(_, e)| !e.evicted.is_cancelled());
        let holdings = staying.map(|(&number, e)| {
            let waits = e.activity.waits(now);
            Holding { number, held: e.held, waits }
        });
        let chosen = choose(holdings).filter(|chosen| asks != Some(*chosen))?;
        self.open.get(&chosen)
    }

    /// The number of connections at an address.
    fn count(&self, endpoint: Endpoint) -> usize {
        self.open.values().filter(|e| e.endpoint == endpoint).count()
    }
}

impl Clients {
    /// No connections, within the limits of a host.
    pub fn new(limits: HostLimits) -> Self {
        let (state, freed, lines) = (Mutex::default(), Notify::new(), LogLimit::default());
        Self { limits, state, freed, lines }
    }

    /// Admits a connection for which `bytes` are held as long as it is open; nothing if there is no room for it.
    pub async fn admit(
        self: &Arc<Self>,
        endpoint: Endpoint,
        bytes: usize,
        meter: &Meter,
    ) -> Option<Arc<OpenConnection>> {
        let end = Instant::now() + ROOM_LIMIT;
        loop {
            let freed = self.freed.notified();
            let (room, number) = self.try_admit(endpoint, bytes, meter);
            match room {
                Room::Taken => return self.connection(number),
                Room::Never => break,
                Room::Coming => {}
            }
            if timeout(end.saturating_duration_since(Instant::now()), freed).await.is_err() {
                break;
            }
        }
        meter.count("myrtle_client_refusals", &endpoint.to_string());
        None
    }

    fn connection(self: &Arc<Self>, number: u64) -> Option<Arc<OpenConnection>> {
        let state = self.lock();
        let Entry { activity, evicted, .. } = state.open.get(&number)?;
        let (activity, evicted) = (activity.clone(), evicted.clone());
        Some(Arc::new(OpenConnection { clients: self.clone(), number, activity, evicted }))
    }

    /// Admits a connection if there is room for it; returns its number.
    fn try_admit(&self, endpoint: Endpoint, bytes: usize, meter: &Meter) -> (Room, u64) {
        let mut state = self.lock();
        let number = state.next;
        let most = match endpoint {
            Endpoint::Clients => self.limits.client_sockets(),
            Endpoint::Checks | Endpoint::Metrics => self.limits.check_sockets(),
        };
        let connections = Shortage::Connections { endpoint, most };
        let memory = Shortage::Memory { bytes, limit: self.limits.client_bytes(), asks: None };
        for shortage in [connections, memory] {
            if state.is_short(&shortage, false) {
                return (self.make_room(&mut state, &shortage, meter), number);
            }
        }
        let (activity, evicted) = (Arc::new(Activity::new()), CancellationToken::new());
        state.open.insert(number, Entry { endpoint, held: bytes, activity, evicted });
        state.held += bytes;
        state.next += 1;
        (Room::Taken, number)
    }

    /// Counts more bytes for a connection, before they are allocated.
    fn try_take(&self, number: u64, bytes: usize, meter: &Meter) -> Room {
        let mut state = self.lock();
        let limit = self.limits.client_bytes();
        let shortage = Shortage::Memory { bytes, limit, asks: Some(number) };
        if state.is_short(&shortage, false) {
            return self.make_room(&mut state, &shortage, meter);
        }
        let Some(entry) = state.open.get_mut(&number) else {
            return Room::Never;
        };
        entry.held += bytes;
        state.held += bytes;
        Room::Taken
    }

    /// Evicts a connection unless those that are being evicted are enough.
    fn make_room(&self, state: &mut State, shortage: &Shortage, meter: &Meter) -> Room {
        if !state.is_short(shortage, true) {
            return Room::Coming;
        }
        let Some(Entry { endpoint, held, evicted, .. }) = state.choose(shortage) else {
            return Room::Never;
        };
        evicted.cancel();
        let reason = shortage.reason();
        meter.count("myrtle_client_evictions", &reason.to_string());
        self.log(Level::Info, || {
            format!("event=client-evicted at={endpoint} reason={reason} held={held}")
        });
        Room::Coming
    }

    /// Removes a connection and what is held for it.
    fn remove(&self, number: u64) {
        let mut state = self.lock();
        if let Some(entry) = state.open.remove(&number) {
            state.held -= entry.held;
        }
        drop(state);
        self.freed.notify_waiters();
    }

    /// Gives bytes of a connection back.
    fn give_back(&self, number: u64, bytes: usize) {
        let mut state = self.lock();
        if let Some(entry) = state.open.get_mut(&number) {
            entry.held -= bytes;
            state.held -= bytes;
        }
        drop(state);
        self.freed.notify_waiters();
    }

    /// Logs a line about a client at a level; of many lines only the first ones of each second.
    pub fn log(&self, level: Level, line: impl FnOnce() -> String) {
        if let Some(dropped) = self.lines.allow(Instant::now()) {
            if dropped > 0 {
                info!("event=client-lines-dropped count={dropped}");
            }
            log!(level, "{}", line());
        }
    }

    /// Updates the metrics.
    pub fn report(&self, meter: &Meter) {
        let state = self.lock();
        for endpoint in [Endpoint::Clients, Endpoint::Checks, Endpoint::Metrics] {
            let open = state.count(endpoint);
            meter.level("myrtle_client_connections", &endpoint.to_string(), open as i64);
        }
        meter.level("myrtle_client_bytes", "held", state.held as i64);
        meter.level("myrtle_client_bytes", "limit", self.limits.client_bytes() as i64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
