//! `myrtle-gate`: takes requests of callers to slots of upstreams.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

use myrtle_config::Settings;

/// The settings are wrong; see docs/OPERATING.md for all exit codes.
const BAD_SETTINGS: u8 = 2;

/// The process cannot listen where the settings say.
const NO_PORT: u8 = 3;

/// A planned stop reached its limit with requests in flight.
const CUT_OFF: u8 = 4;

/// Takes requests of callers to slots of upstreams.
#[derive(FromArgs)]
struct Args {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn"))
        .init();
    let args: Args = argh::from_env();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("error: {f}"));
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("the settings are fine");
        return ExitCode::SUCCESS;
    }
    let gate = match myrtle_gate::start(settings).await {
        Ok(gate) => gate,
        Err(e) => {
            eprintln!("error: cannot listen: {e}\n  hint: use a free address of this host");
            return ExitCode::from(NO_PORT);
        }
    };
    wait_for_stop().await;
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
