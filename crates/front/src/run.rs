//! Starts all tasks of a front host and stops them in order.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use myrtle_peer::{FrontPeer, FrontPeerRequest, FrontPeerResponse, ServerChannel};

use crate::clients::Endpoint;
use crate::host::Host;
use crate::layout::Layout;
use crate::ownership::{self, member, monitor};
use crate::peers::Server;
use crate::settings::Settings;
use crate::stop_times::{StopTimes, WRITE_TIME};
use crate::{discover, intake, listen, operator, regain, tickets};

/// The time between two log lines on calls to the store.
const LOG_EVERY: Duration = Duration::from_secs(30);

/// Runs a front host until SIGTERM.
///
/// # Errors
///
/// Fails if an address can't be bound or a signal handler can't be installed.
pub async fn run(settings: Settings, path: PathBuf) -> std::io::Result<()> {
    crate::clock::now();
    // Until a handler is installed, a signal ends the process with whatever has arrived at it.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let backlog = settings.limits.backlog();
    let clients = listen::bind(settings.clients, backlog)?;
    let checks = listen::bind(settings.checks, backlog)?;
    let peers = TcpListener::bind(settings.peer()).await?;
    info!(
        "event=start version={} data_centre={} clients={} peer={}",
        env!("CARGO_PKG_VERSION"),
        settings.data_centre,
        settings.clients,
        settings.peer()
    );
    let metrics = match settings.metrics {
        Some(at) => Some(listen::bind(at, backlog)?),
        None => None,
    };
    let host = Arc::new(Host::new(settings));
    let closing = CancellationToken::new();
    let tracker = TaskTracker::new();
    tokio::spawn(operator::follow(host.clone()));
    tokio::spawn(listen::clients(host.clone(), clients, closing.clone(), tracker.clone()));
    tokio::spawn(listen::checks(host.clone(), checks, Endpoint::Checks));
    if let Some(listener) = metrics {
        tokio::spawn(listen::checks(host.clone(), listener, Endpoint::Metrics));
    }
    tokio::spawn(answer_peers(host.clone(), peers));
    tokio::spawn(serve_cells(host.clone()));
    tokio::spawn(regain::run(host.clone()));
    tokio::spawn(reload(path, hangup));
    tokio::spawn(log_calls(host.clone()));
    tokio::spawn(tickets::run(host.clone()));
    terminate.recv().await;
    stop(&host, &closing, &tracker).await;
    Ok(())
}

/// Accepts jobs for every cell and monitors the ownership of each.
async fn serve_cells(host: Arc<Host>) {
    let layout = host.set_layout(discover::find(&host).await);
    for cell in 0..layout.count() {
        tokio::spawn(intake::run(host.clone(), cell));
        tokio::spawn(monitor::run(host.clone(), cell));
    }
    ownership::follow(host).await;
}

/// Logs the number and size of calls to the store, by kind.
async fn log_calls(host: Arc<Host>) {
    loop {
        sleep(LOG_EVERY).await;
        for (kind, sum) in host.store.call_counts().totals() {
            info!("event=store-calls kind=\"{kind}\" calls={} bytes={}", sum.calls, sum.bytes);
        }
    }
}

/// Serves calls of other front hosts.
async fn answer_peers(host: Arc<Host>, listener: TcpListener) {
    let run = |channel: ServerChannel<FrontPeerRequest, FrontPeerResponse>| {
        myrtle_peer::run!(channel, Server(host.clone()).serve());
    };
    myrtle_peer::listen(listener, run).await;
}

/// Checks the settings file on SIGHUP; the settings in force stay until the next start.
async fn reload(path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(_) => info!("event=reload outcome=read"),
            Err(fault) => warn!("event=reload outcome=refused reason=\"{fault}\""),
        }
    }
}

/// Releases cells and lets clients finish, all before the process would be killed.
async fn stop(host: &Arc<Host>, closing: &CancellationToken, tracker: &TaskTracker) {
    let times = StopTimes::new(Instant::now(), host.settings.grace());
    info!("event=stop open={}", tracker.len());
    host.stop();
    let release = async {
        for cell in 0..host.layout().map_or(0, Layout::count) {
            member::hand_over(host, cell, "the host stops").await;
        }
        host.successor_calls.close();
        host.successor_calls.wait().await;
    };
    let serve = async {
        let connections = close_connections(closing, tracker, &times);
        let finished = timeout_at(times.answer_all, connections).await.is_ok();
        closing.cancel();
        host.ending.cancel();
        // All of them have an answer now, which only has to be written; after a stall what has arrived is read first.
        let end = times.end.max(Instant::now() + WRITE_TIME);
        (finished, timeout_at(end, tracker.wait()).await.is_ok())
    };
    let (released, (finished, answered)) = tokio::join!(timeout_at(times.end, release), serve);
    let released = released.is_ok();
    info!("event=stopped released={released} finished={finished} answered={answered}");
    // A separate thread writes the last log lines.
    sleep(Duration::from_millis(50)).await;
}

/// Waits until clients have left, and from some time on closes idle connections.
///
/// A client whose request was answered while the host stops has left. One that is idle may send its next request at any
/// moment, so its connection is kept for as long as such a request could still be answered.
async fn close_connections(closing: &CancellationToken, tracker: &TaskTracker, times: &StopTimes) {
    sleep_until(times.all_left).await;
    tracker.close();
    if timeout_at(times.close_idle, tracker.wait()).await.is_ok() {
        return;
    }
    info!("event=connections-closing open={}", tracker.len());
    closing.cancel();
    tracker.wait().await;
}
