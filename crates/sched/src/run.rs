//! Starts all parts of a sched.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use myrtle_config::Settings;
use myrtle_daemon::announce;
use myrtle_peer::{SchedPeer, SchedPeerRequest, SchedPeerResponse, Wired};
use myrtle_platform::{Role, serve};

use crate::rpc::Server;
use crate::tables::Tables;
use crate::{admin, commit, duties, follow, peers, warden};

/// Orders that wait for the committer.
const ORDERS: usize = 1024;

/// A running sched; dropping it stops all its parts.
#[derive(Debug)]
pub struct Sched {
    /// Where it answers operators.
    pub http: SocketAddr,
    /// Where it answers peers.
    pub peer: SocketAddr,
    parts: JoinSet<()>,
}

impl Sched {
    /// Waits until a part ends, which none does by itself.
    pub async fn wait(&mut self) {
        self.parts.join_next().await;
    }
}

/// Starts a sched.
pub async fn start(settings: Settings) -> std::io::Result<Sched> {
    let (http, peer) =
        (TcpListener::bind(settings.http).await?, TcpListener::bind(settings.peer).await?);
    let (http_at, peer_at) = (http.local_addr()?, peer.local_addr()?);
    let (sender, orders) = mpsc::channel(ORDERS);
    let tables = Arc::new(Tables::new(settings, sender));
    info!("sched: {} answers at {http_at}, peers at {peer_at}", tables.name());
    tables.ring.add("sched", "started");

    let mut parts = JoinSet::new();
    let server = Server(tables.clone());
    parts.spawn(async move {
        let run = |channel: Wired<SchedPeerRequest, SchedPeerResponse>| {
            myrtle_peer::run!(channel, server.clone().serve());
        };
        myrtle_peer::listen(peer, run).await;
    });
    let shared = tables.clone();
    parts.spawn(serve(http, move |ask| admin::handle(shared.clone(), ask)));
    let (list, settings) = (&tables.list, &tables.settings);
    announce(list, settings, Role::Sched, http_at, peer_at).await;
    parts.spawn(peers::follow_list(tables.clone()));
    parts.spawn(peers::pulse(tables.clone()));
    parts.spawn(follow::follow_config(tables.clone()));
    parts.spawn(follow::follow_cell(tables.clone()));
    parts.spawn(follow::leave_snapshots(tables.clone()));
    parts.spawn(follow::leave_config_snapshots(tables.clone()));
    parts.spawn(commit::run(tables.clone(), orders));
    parts.spawn(warden::run(tables.clone()));
    parts.spawn(duties::run(tables.clone()));
    Ok(Sched { http: http_at, peer: peer_at, parts })
}
