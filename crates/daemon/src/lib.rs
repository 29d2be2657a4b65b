//! Start-up of daemons: arguments, settings, exit codes and registration in the host list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use log::warn;

use myrtle_base::Room;
use myrtle_config::{Announce, Settings};
use myrtle_platform::{Host, HostList, Role};

/// Exit code for invalid settings; docs/OPERATING.md lists all exit codes.
const INVALID_SETTINGS: u8 = 2;

/// Exit code for an address in the settings that cannot be bound.
const LISTEN_FAILED: u8 = 3;

/// Delay before the host list is called again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A daemon of myrtlepost; it takes everything else from its settings.
#[derive(Debug, FromArgs)]
struct Args {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// Sets up logging and loads the settings; returns an exit code if the process is to end here.
pub fn prepare() -> Result<Settings, ExitCode> {
    let level = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(level).init();
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.settings).map_err(|faults| {
        faults.iter().for_each(|f| eprintln!("error: {f}"));
        ExitCode::from(INVALID_SETTINGS)
    })?;
    if args.check {
        println!("the settings are fine");
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Prints why an address could not be bound and returns the exit code.
pub fn cannot_listen(e: &std::io::Error) -> ExitCode {
    eprintln!("error: cannot listen: {e}\n  hint: use a free address of this host");
    ExitCode::from(LISTEN_FAILED)
}

/// Registers the process in the host list if its settings ask for it, retrying until it succeeds.
pub async fn announce(
    list: &HostList,
    settings: &Settings,
    role: Role,
    http: SocketAddr,
    peer: SocketAddr,
) {
    if settings.announce != Announce::Itself {
        return;
    }
    let host = Host {
        name: settings.name.clone(),
        role,
        data_centre: settings.data_centre.clone(),
        rack: String::new(),
        http,
        peer,
        service: String::new(),
        room: Room::default(),
        leaving: false,
    };
    while let Err(e) = list.update(&host).await {
        warn!("{role:?}: cannot register in the host list, retrying: {e}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
