//! What the project's daemons share: arguments, settings, exit codes, the way into the host list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use log::warn;

use myrtle_base::Room;
use myrtle_config::{Announce, Settings};
use myrtle_platform::{Host, HostList, Role};

/// The settings are wrong; see docs/OPERATING.md for all exit codes.
const BAD_SETTINGS: u8 = 2;

/// The process cannot listen where the settings say.
const NO_PORT: u8 = 3;

/// The pause before the host list is asked again.
const PAUSE: Duration = Duration::from_millis(500);

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

/// Sets up logs and reads the settings; a process that may not go on gets its exit code.
pub fn prepare() -> Result<Settings, ExitCode> {
    let level = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(level).init();
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.settings).map_err(|faults| {
        faults.iter().for_each(|f| eprintln!("error: {f}"));
        ExitCode::from(BAD_SETTINGS)
    })?;
    if args.check {
        println!("the settings are fine");
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Says that the process cannot listen, and gives its exit code.
pub fn cannot_listen(e: &std::io::Error) -> ExitCode {
    eprintln!("error: cannot listen: {e}\n  hint: use a free address of this host");
    ExitCode::from(NO_PORT)
}

/// Enters the process into the host list if its settings say so; tries until the list takes it.
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
    while let Err(e) = list.enter(&host).await {
        warn!("{role:?}: the host list does not take this host: {e}");
        tokio::time::sleep(PAUSE).await;
    }
}
