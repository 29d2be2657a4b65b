//! Starts all loops of a sched.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use myrtle_config::Settings;
use myrtle_daemon::announce;
use myrtle_peer::{SchedPeer, SchedPeerRequest, SchedPeerResponse, ServerChannel};
use myrtle_platform::{Role, serve};

use crate::rpc::Server;
use crate::tables::Tables;
use crate::{admin, commit, duties, follow, peers, workers};

/// Number of requests that may wait for the committer.
const COMMIT_QUEUE: usize = 1024;

/// A running sched; dropping it stops all its loops.
#[derive(Debug)]
pub struct Sched {
    /// Address for operators.
    pub http: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    loops: JoinSet<()>,
}

impl Sched {
    /// Waits until a loop ends, which none does by itself.
    pub async fn wait(&mut self) {
        self.loops.join_next().await;
    }
}

/// Binds the addresses, registers the host and starts all loops; fails if a bind fails.
pub async fn start(settings: Settings) -> std::io::Result<Sched> {
    let (http, peer) =
        (TcpListener::bind(settings.http).await?, TcpListener::bind(settings.peer).await?);
    let (http_at, peer_at) = (http.local_addr()?, peer.local_addr()?);
    let (sender, requests) = mpsc::channel(COMMIT_QUEUE);
    let tables = Arc::new(Tables::new(settings, sender));
    info!("sched: {} listens at {http_at}, for peers at {peer_at}", tables.name());
    tables.events.add("sched", "started");

    let mut loops = JoinSet::new();
    let server = Server(tables.clone());
    loops.spawn(async move {
        let run = |channel: ServerChannel<SchedPeerRequest, SchedPeerResponse>| {
            myrtle_peer::run!(channel, server.clone().serve());
        };
        myrtle_peer::listen(peer, run).await;
    });
    let shared = tables.clone();
    loops.spawn(serve(http, move |ask| admin::handle(shared.clone(), ask)));
    let (list, settings) = (&tables.list, &tables.settings);
    announce(list, settings, Role::Sched, http_at, peer_at).await;
    loops.spawn(peers::follow_list(tables.clone()));
    loops.spawn(peers::pulse_peers(tables.clone()));
    loops.spawn(follow::follow_config(tables.clone()));
    loops.spawn(follow::follow_cell(tables.clone()));
    loops.spawn(follow::write_snapshots(tables.clone()));
    loops.spawn(follow::write_config_snapshots(tables.clone()));
    loops.spawn(commit::run(tables.clone(), requests));
    loops.spawn(workers::run(tables.clone()));
    loops.spawn(duties::run(tables.clone()));
    Ok(Sched { http: http_at, peer: peer_at, loops })
}
