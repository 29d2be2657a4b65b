//! `myrtle-gate`: routes requests of callers to slots of upstreams.

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a planned stop that reached its limit with requests in flight; see
/// docs/OPERATING.md.
const CUT_OFF: u8 = 4;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match myrtle_daemon::prepare() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let gate = match myrtle_gate::start(settings).await {
        Ok(gate) => gate,
        Err(e) => return myrtle_daemon::cannot_listen(&e),
    };
    tokio::select! {
        () = wait_for_stop() => {}
        () = gate.asked_to_stop() => {}
    }
    if gate.drain().await { ExitCode::SUCCESS } else { ExitCode::from(CUT_OFF) }
}

/// Waits for the signal of a planned stop.
async fn wait_for_stop() {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
