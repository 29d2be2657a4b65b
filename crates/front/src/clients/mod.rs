//! What a process holds for its clients: one limit on bytes for all addresses, one on connections for each.
//!
//! Bytes are counted before they are allocated, as the capacity that is held. Where they or connections are short, the
//! connection that holds most for its progress is evicted, so that a client that behaves still gets in. A request that
//! has arrived as a whole is never evicted.

mod charge;
mod holding;
mod limits;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use derive_more::Display;
use log::{Level, info, log};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use myrtle_meter::Meter;

use crate::connection::Activity;
use crate::log_limit::LogLimit;

pub use charge::{Charge, NoRoom};
pub use holding::{Holding, choose};
pub use limits::{BodyPace, HostLimits, SOCKET_BUFFER, UNREAD_BYTES};

/// How long room is waited for while connections are evicted.
const ROOM_LIMIT: Duration = Duration::from_millis(500);

/// An address of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Endpoint {
    /// That for clients.
    #[display("clients")]
    Clients,
    /// That for readiness checks.
    #[display("checks")]
    Checks,
    /// That for readers of metrics.
    #[display("metrics")]
    Metrics,
}

/// Why a connection was evicted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The memory for clients was used up.
    #[display("memory")]
    Memory,
    /// The connections of its address were used up.
    #[display("connections")]
    Connections,
    /// A body came too slowly.
    #[display("slow-body")]
    SlowBody,
    /// A head was not complete in time, or the next request did not come.
    #[display("expired")]
    Expired,
}

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

impl State {
    /// The bytes of connections that are being evicted.
    fn leaving(&self) -> usize {
        self.open.values().filter(|e| e.evicted.is_cancelled()).map(|e| e.held).sum()
    }

    /// The connections at an address, and how many of them are being evicted.
    fn count(&self, endpoint: Endpoint) -> (usize, usize) {
        let here = self.open.values().filter(|e| e.endpoint == endpoint);
        here.fold((0, 0), |(all, leaving), e| {
            (all + 1, leaving + usize::from(e.evicted.is_cancelled()))
        })
    }

    /// The connection to evict, of those at `endpoint` or of all.
    fn choose(&self, endpoint: Option<Endpoint>) -> Option<u64> {
        let now = Instant::now();
        let open = self
            .open
            .iter()
            .filter(|(_, e)| endpoint.is_none_or(|endpoint| e.endpoint == endpoint));
        let staying = open.filter(|(_, e)| !e.evicted.is_cancelled());
        choose(staying.map(|(&number, e)| {
            let waits = e.activity.waits(now);
            Holding { number, held: e.held, waits }
        }))
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

    fn try_admit(&self, endpoint: Endpoint, bytes: usize, meter: &Meter) -> (Room, u64) {
        let mut state = self.lock();
        let number = state.next;
        let (open, leaving) = state.count(endpoint);
        let most = match endpoint {
            Endpoint::Clients => self.limits.client_sockets(),
            Endpoint::Checks | Endpoint::Metrics => self.limits.check_sockets(),
        };
        if open >= most {
            let enough = open - leaving < most;
            let room = self.make_room(
                &mut state,
                enough,
                Some(endpoint),
                None,
                Reason::Connections,
                meter,
            );
            return (room, number);
        }
        if state.held + bytes > self.limits.client_bytes() {
            let enough = state.held - state.leaving() + bytes <= self.limits.client_bytes();
            let room = self.make_room(&mut state, enough, None, None, Reason::Memory, meter);
            return (room, number);
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
        if state.held + bytes > limit {
            let enough = state.held - state.leaving() + bytes <= limit;
            return self.make_room(&mut state, enough, None, Some(number), Reason::Memory, meter);
        }
        let Some(entry) = state.open.get_mut(&number) else {
            return Room::Never;
        };
        entry.held += bytes;
        state.held += bytes;
        Room::Taken
    }

    /// Evicts a connection unless those that are being evicted are enough.
    fn make_room(
        &self,
        state: &mut State,
        enough: bool,
        endpoint: Option<Endpoint>,
        asks: Option<u64>,
        reason: Reason,
        meter: &Meter,
    ) -> Room {
        if enough {
            return Room::Coming;
        }
        let Some(chosen) = state.choose(endpoint).filter(|chosen| asks != Some(*chosen)) else {
            return Room::Never;
        };
        let Some(entry) = state.open.get(&chosen) else {
            return Room::Never;
        };
        entry.evicted.cancel();
        let (endpoint, held) = (entry.endpoint, entry.held);
        meter.count("myrtle_client_evictions", &reason.to_string());
        self.log(Level::Info, || {
            format!("event=client-evicted at={endpoint} reason={reason} held={held}")
        });
        Room::Coming
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
            let (open, _) = state.count(endpoint);
            meter.level("myrtle_client_connections", &endpoint.to_string(), open as i64);
        }
        meter.level("myrtle_client_bytes", "held", state.held as i64);
        meter.level("myrtle_client_bytes", "limit", self.limits.client_bytes() as i64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// An open connection; dropping the last reference ends what is held for it.
#[derive(Debug)]
pub struct OpenConnection {
    clients: Arc<Clients>,
    number: u64,
    /// What happens on it.
    pub activity: Arc<Activity>,
    evicted: CancellationToken,
}

impl OpenConnection {
    /// Waits until the connection is evicted.
    pub async fn wait_evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Whether the connection is being evicted; what arrives on it from then on is not carried out.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        if let Some(entry) = state.open.remove(&self.number) {
            state.held -= entry.held;
        }
        drop(state);
        self.clients.freed.notify_waiters();
    }
}
