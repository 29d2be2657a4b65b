//! Starts all tasks of a gate and stops it as planned.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Either;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use log::info;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use myrtle_config::Settings;
use myrtle_daemon::announce;
use myrtle_peer::{GatePeer, GatePeerRequest, GatePeerResponse, ServerChannel};
use myrtle_platform::Role;

use crate::rpc::Server;
use crate::serve::{Reply, serve};
use crate::tables::Tables;
use crate::{acquire, admin, drain, follow, rebalance, usage};

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long connections of callers may take to close at a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running gate; dropping it stops all its tasks at once.
#[derive(Debug)]
pub struct Gate {
    /// The address for callers and operators.
    pub http: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    tables: Arc<Tables>,
    stop: watch::Sender<bool>,
    accepting: JoinSet<GracefulShutdown>,
    _tasks: JoinSet<()>,
}

impl Gate {
    /// Whether it serves.
    pub fn ready(&self) -> bool {
        self.tables.ready()
    }

    /// Whether every bucket of keys has a coordinator and nothing has to be transferred among
    /// `gates` gates, according to this gate's view.
    pub fn settled(&self, gates: usize) -> bool {
        self.tables.view.load().peering.gates.len() == gates && rebalance::settled(&self.tables)
    }

    /// Waits until an operator asks for a planned stop.
    pub async fn asked_to_stop(&self) {
        self.tables.stop.notified().await;
    }

    /// Stops as planned; returns whether all requests in flight were finished.
    pub async fn drain(mut self) -> bool {
        drain::announce(&self.tables).await;
        let _ = self.stop.send(true);
        let finished = drain::finish(&self.tables).await;
        drain::leave(&self.tables).await;
        if let Some(Ok(connections)) = self.accepting.join_next().await {
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, connections.shutdown()).await;
        }
        finished
    }
}

/// Starts a gate.
pub async fn start(settings: Settings) -> std::io::Result<Gate> {
    let (http, peer) =
        (TcpListener::bind(settings.http).await?, TcpListener::bind(settings.peer).await?);
    let (http_at, peer_at) = (http.local_addr()?, peer.local_addr()?);
    let tables = Arc::new(Tables::new(settings));
    info!("gate: {} answers at {http_at}, peers at {peer_at}", tables.name());
    tables.ring.add("gate", "started");

    let mut tasks = JoinSet::new();
    let server = Server(tables.clone());
    tasks.spawn(async move {
        let run = |channel: ServerChannel<GatePeerRequest, GatePeerResponse>| {
            myrtle_peer::run!(channel, server.clone().serve());
        };
        myrtle_peer::listen(peer, run).await;
    });
    let (list, settings) = (&tables.list, &tables.settings);
    announce(list, settings, Role::Gate, http_at, peer_at).await;
    tasks.spawn(follow::follow_list(tables.clone()));
    tasks.spawn(follow::follow_view(tables.clone()));
    tasks.spawn(follow::renew(tables.clone()));
    tasks.spawn(rebalance::run(tables.clone()));
    tasks.spawn(acquire::run(tables.clone()));
    tasks.spawn(usage::run(tables.clone()));
    let (stop, stopped) = watch::channel(false);
    let mut accepting = JoinSet::new();
    accepting.spawn(accept(tables.clone(), http, stopped));
    Ok(Gate { http: http_at, peer: peer_at, tables, stop, accepting, _tasks: tasks })
}

/// Accepts callers until the gate stops; returns the connections that are still open.
async fn accept(
    tables: Arc<Tables>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) -> GracefulShutdown {
    let connections = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_caller(&tables, stream, &connections);
                }
            }
            _ = stopped.changed() => return connections,
        }
    }
}

fn serve_caller(tables: &Arc<Tables>, stream: TcpStream, connections: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let tables = tables.clone();
    let service = service_fn(move |request| answer(tables.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(connections.watch(connection));
}

async fn answer(tables: Arc<Tables>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let query = request.uri().query().unwrap_or_default();
    match admin::handle(&tables, request.uri().path(), query) {
        Some(answer) => Ok(answer.map(Either::Left)),
        None => serve(tables, request).await,
    }
}
