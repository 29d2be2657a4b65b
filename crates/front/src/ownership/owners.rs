//! Finds the owner of a cell and calls it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{debug, info};

use myrtle_peer::{FrontPeerClient, Link};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::clock::now;
use crate::host::Host;
use crate::names::group;

/// The shortest time between two requests to the store for the owner of a cell, in milliseconds.
const FIND_PAUSE: u64 = 150;

/// The time limit for such a request.
const FIND_LIMIT: Duration = Duration::from_millis(500);

/// How long an unreachable owner is not called again, in milliseconds, unless the store or the directory names it anew.
const RETRY_AFTER: u64 = 1_000;

/// How long a peer that did not answer a call that earlier builds don't know is not asked again, in milliseconds.
const NEWER_RETRY: u64 = 5_000;

/// A cached owner.
#[derive(Debug, Clone, Copy)]
struct Owner {
    at: SocketAddr,
    /// When it may be called again, in milliseconds of the steady clock.
    retry_at: u64,
}

/// The cached owners of cells, and the connections to them.
#[derive(Debug, Default)]
pub struct Owners {
    known: Mutex<HashMap<u32, Owner>>,
    asked: Mutex<HashMap<u32, u64>>,
    links: Mutex<HashMap<SocketAddr, Arc<Link<FrontPeerClient>>>>,
    /// Connections for calls that earlier builds don't know: such a host closes the connection, and with it all
    /// calls that are in progress there.
    newer: Mutex<HashMap<SocketAddr, Newer>>,
}

/// The connection to a peer for calls that earlier builds don't know.
#[derive(Debug)]
struct Newer {
    link: Arc<Link<FrontPeerClient>>,
    /// When the peer may be called again, in milliseconds of the steady clock.
    retry_at: u64,
}

impl Owners {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// The cached address of a cell's owner, unless it was unreachable a moment ago.
    pub fn known(&self, cell: u32) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        known.get(&cell).filter(|owner| owner.retry_at <= now()).map(|owner| owner.at)
    }

    /// Forgets the owner of a cell that has none.
    pub fn remove(&self, cell: u32) {
        self.known.lock().expect("no holder panics").remove(&cell);
    }

    /// Marks the owner of a cell as unreachable or outdated.
    pub fn suspect(&self, cell: u32) {
        if let Some(owner) = self.known.lock().expect("no holder panics").get_mut(&cell) {
            owner.retry_at = now() + RETRY_AFTER;
        }
    }

    /// The owner of a cell, from the store if it is not cached; nothing if the store was asked a moment ago.
    pub async fn find(&self, host: &Host, cell: u32) -> Option<SocketAddr> {
        if let Some(at) = self.known(cell) {
            return Some(at);
        }
        {
            let mut asked = self.asked.lock().expect("no holder panics");
            let last = asked.entry(cell).or_default();
            if now() < *last + FIND_PAUSE {
                return None;
            }
            *last = now();
        }
        let rows = host.store.owners(&group(cell), FIND_LIMIT).await;
        let rows = match rows {
            Ok(rows) => rows,
            Err(e) => {
                debug!("event=owner-unknown cell={cell} reason=\"{e}\"");
                return None;
            }
        };
        let member = rows.into_iter().find(|r| r.partition == cell)?.member;
        let at = address(&member)?;
        info!("event=owner-found cell={cell} owner={member}");
        self.learn(cell, at);
        Some(at)
    }

    /// Caches the owner of a cell.
    pub fn learn(&self, cell: u32, at: SocketAddr) {
        self.known.lock().expect("no holder panics").insert(cell, Owner { at, retry_at: 0 });
    }

    /// Whether a peer can be reached; sends it nothing.
    pub async fn reach(&self, at: SocketAddr) -> bool {
        self.link(at).connect().await
    }

    /// Calls a peer; returns nothing if it was unreachable or did not answer in time.
    pub async fn call<T, F, R>(&self, at: SocketAddr, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(FrontPeerClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        self.link(at).call(limit, call).await
    }

    /// Makes a call that earlier builds don't know; returns nothing if the peer did not answer in time, now or a moment
    /// ago.
    pub async fn call_newer<T, F, R>(&self, at: SocketAddr, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(FrontPeerClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let link = {
            let mut newer = self.newer.lock().expect("no holder panics");
            let newer = newer
                .entry(at)
                .or_insert_with(|| Newer { link: Arc::new(Link::new(at)), retry_at: 0 });
            if now() < newer.retry_at {
                return None;
            }
            newer.link.clone()
        };
        let answer = link.call(limit, call).await;
        if answer.is_none() {
            let mut newer = self.newer.lock().expect("no holder panics");
            if let Some(newer) = newer.get_mut(&at) {
                newer.retry_at = now() + NEWER_RETRY;
            }
        }
        answer
    }

    fn link(&self, at: SocketAddr) -> Arc<Link<FrontPeerClient>> {
        let mut links = self.links.lock().expect("no holder panics");
        links.entry(at).or_insert_with(|| Arc::new(Link::new(at))).clone()
    }
}

/// The peer address in a member name.
pub fn address(member: &str) -> Option<SocketAddr> {
    member.rsplit_once('@')?.1.parse().ok()
}

/// The capacity in a member name, in workers.
pub fn max_workers(member: &str) -> Option<usize> {
    member.rsplit_once('@')?.0.rsplit_once('+')?.1.parse().ok()
}
