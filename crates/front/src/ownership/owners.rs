//! Finds the owner of a cell and asks it.

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

/// The shortest time between two questions for the owner of a cell, in milliseconds.
const ASK_PAUSE: u64 = 150;

/// How long the store may take to name an owner.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// For how long an owner that could not be reached is not tried again, in milliseconds, unless the store or the
/// directory names it anew.
const DOUBT: u64 = 1_000;

/// An owner as last heard.
#[derive(Debug, Clone, Copy)]
struct Known {
    at: SocketAddr,
    /// Until when it is not tried.
    doubt: u64,
}

/// Who owns which cell, as last heard.
#[derive(Debug, Default)]
pub struct Owners {
    known: Mutex<HashMap<u32, Known>>,
    asked: Mutex<HashMap<u32, u64>>,
    links: Mutex<HashMap<SocketAddr, Arc<Link<FrontPeerClient>>>>,
}

impl Owners {
    /// Nobody is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The owner of a cell as last heard.
    pub fn known(&self, cell: u32) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        known.get(&cell).filter(|owner| owner.doubt <= now()).map(|owner| owner.at)
    }

    /// Notes that a cell has no owner.
    pub fn remove(&self, cell: u32) {
        self.known.lock().expect("no holder panics").remove(&cell);
    }

    /// Notes that the owner of a cell could not be reached, or is another one by now.
    pub fn doubt(&self, cell: u32) {
        if let Some(owner) = self.known.lock().expect("no holder panics").get_mut(&cell) {
            owner.doubt = now() + DOUBT;
        }
    }

    /// The owner of a cell, asked of the store if it is not known.
    pub async fn find(&self, host: &Host, cell: u32) -> Option<SocketAddr> {
        if let Some(at) = self.known(cell) {
            return Some(at);
        }
        {
            let mut asked = self.asked.lock().expect("no holder panics");
            let last = asked.entry(cell).or_default();
            if now() < *last + ASK_PAUSE {
                return None;
            }
            *last = now();
        }
        let rows = host.store.owners(&group(cell), ASK_LIMIT).await;
        let rows = match rows {
            Ok(rows) => rows,
            Err(e) => {
                debug!("event=owner-unknown cell={cell} reason=\"{e}\"");
                return None;
            }
        };
        let member = rows.into_iter().find(|r| r.part == cell)?.member;
        let at = address(&member)?;
        info!("event=owner-found cell={cell} owner={member}");
        self.learn(cell, at);
        Some(at)
    }

    /// Notes who owns a cell.
    pub fn learn(&self, cell: u32, at: SocketAddr) {
        self.known.lock().expect("no holder panics").insert(cell, Known { at, doubt: 0 });
    }

    /// Whether a peer can be reached; if not, nothing was sent to it.
    pub async fn reach(&self, at: SocketAddr) -> bool {
        self.link(at).reach().await
    }

    /// Calls a peer; nothing if it could not be reached or did not answer in time.
    pub async fn call<T, F, R>(&self, at: SocketAddr, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(FrontPeerClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        self.link(at).call(limit, call).await
    }

    fn link(&self, at: SocketAddr) -> Arc<Link<FrontPeerClient>> {
        let mut links = self.links.lock().expect("no holder panics");
        links.entry(at).or_insert_with(|| Arc::new(Link::new(at))).clone()
    }
}

/// Where the member of a group answers peers.
pub fn address(member: &str) -> Option<SocketAddr> {
    member.rsplit_once('@')?.1.parse().ok()
}

/// The largest cell that the member of a group can own, in workers.
pub fn carries(member: &str) -> Option<usize> {
    member.rsplit_once('@')?.0.rsplit_once('+')?.1.parse().ok()
}
