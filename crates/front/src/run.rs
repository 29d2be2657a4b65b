//! Starts all parts of a front host and stops it as planned.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use myrtle_peer::{FrontPeer, FrontPeerRequest, FrontPeerResponse, Wired};

use crate::host::Host;
use crate::layout::Layout;
use crate::ownership::{self, lookout, member};
use crate::peers::Server;
use crate::settings::Settings;
use crate::{discover, intake, listen, operator};

/// How long new connections still come after a host says that it is not ready: two checks of a
/// second each, and some.
const NOTICED: Duration = Duration::from_millis(2_300);

/// The time between two lines on calls to the store.
const TELL_EVERY: Duration = Duration::from_secs(30);

/// What is kept of the time before the end by force.
const SPARE: Duration = Duration::from_millis(700);

/// Runs a front host until it is told to stop.
pub async fn run(settings: Settings, path: PathBuf) -> std::io::Result<()> {
    crate::clock::now();
    let clients = TcpListener::bind(settings.clients).await?;
    let checks = TcpListener::bind(settings.checks).await?;
    let peers = TcpListener::bind(settings.peer()).await?;
    info!(
        "event=start version={} data_centre={} clients={} peer={}",
        env!("CARGO_PKG_VERSION"),
        settings.data_centre,
        settings.clients,
        settings.peer()
    );
    let metrics = match settings.metrics {
        Some(at) => Some(TcpListener::bind(at).await?),
        None => None,
    };
    let host = Arc::new(Host::new(settings));
    let closing = CancellationToken::new();
    let tracker = TaskTracker::new();
    tokio::spawn(operator::follow(host.clone()));
    tokio::spawn(listen::clients(host.clone(), clients, closing.clone(), tracker.clone()));
    tokio::spawn(listen::checks(host.clone(), checks));
    if let Some(listener) = metrics {
        tokio::spawn(listen::checks(host.clone(), listener));
    }
    tokio::spawn(answer_peers(host.clone(), peers));
    tokio::spawn(serve_cells(host.clone()));
    tokio::spawn(reload(path));
    tokio::spawn(tell_calls(host.clone()));
    signal(SignalKind::terminate())?.recv().await;
    stop(&host, &closing, &tracker).await;
    Ok(())
}

/// Takes jobs for every cell, and takes part in owning those that it may.
async fn serve_cells(host: Arc<Host>) {
    let layout = host.lay_out(discover::find(&host).await);
    for cell in 0..layout.count() {
        tokio::spawn(intake::run(host.clone(), cell));
        tokio::spawn(lookout::run(host.clone(), cell));
    }
    ownership::follow(host).await;
}

/// Writes how often the store was called into the log, by kind.
async fn tell_calls(host: Arc<Host>) {
    loop {
        sleep(TELL_EVERY).await;
        for (kind, sum) in host.store.tally().sums() {
            info!("event=store-calls kind=\"{kind}\" calls={} bytes={}", sum.calls, sum.bytes);
        }
    }
}

/// Answers the calls of other front hosts.
async fn answer_peers(host: Arc<Host>, listener: TcpListener) {
    let run = |channel: Wired<FrontPeerRequest, FrontPeerResponse>| {
        myrtle_peer::run!(channel, Server(host.clone()).serve());
    };
    myrtle_peer::listen(listener, run).await;
}

/// Says what a changed settings file holds; the figures in force stay until the next start.
async fn reload(path: PathBuf) {
    let Ok(mut signals) = signal(SignalKind::hangup()) else {
        warn!("event=no-reload reason=\"the signal can't be taken\"");
        return;
    };
    while signals.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(_) => info!("event=reload outcome=read"),
            Err(fault) => warn!("event=reload outcome=refused reason=\"{fault}\""),
        }
    }
}

/// Hands cells over, lets clients finish, and ends before it is ended by force.
async fn stop(host: &Arc<Host>, closing: &CancellationToken, tracker: &TaskTracker) {
    info!("event=stop open={}", tracker.len());
    host.stop();
    let grace = host.settings.grace().saturating_sub(SPARE);
    let end = tokio::time::Instant::now() + grace;
    for cell in 0..host.layout().map_or(0, Layout::count) {
        member::hand_over(host, cell, "the host stops").await;
    }
    sleep(NOTICED).await;
    closing.cancel();
    tracker.close();
    host.handing_on.close();
    let left = end.saturating_duration_since(tokio::time::Instant::now());
    let finish = async { tokio::join!(tracker.wait(), host.handing_on.wait()) };
    let finished = timeout(left, finish).await.is_ok();
    info!("event=stopped finished={finished}");
    // The last lines go out by a thread of their own.
    sleep(Duration::from_millis(50)).await;
}
