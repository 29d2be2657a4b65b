//! `myrtle-front`: accepts jobs, owns cells, and keeps durable state in the platform's store.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use myrtle_front::{Settings, logs, run};

/// The exit code if the settings are invalid.
const BAD_SETTINGS: u8 = 2;

/// The exit code if an address of the settings can't be bound.
const BIND_FAILED: u8 = 3;

/// The environment variable with the path of the settings file, used without the argument.
const SETTINGS_VAR: &str = "MYRTLEPOST_CONFIG";

/// A front host of myrtlepost; it takes everything else from its settings.
#[derive(Debug, FromArgs)]
struct Args {
    /// the settings file; else the variable MYRTLEPOST_CONFIG names it
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let Some(path) = args.settings.or_else(|| std::env::var_os(SETTINGS_VAR).map(PathBuf::from))
    else {
        eprintln!("error: no settings\n  hint: name a settings file, or set {SETTINGS_VAR}");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("error: {fault}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("the settings are fine");
        return ExitCode::SUCCESS;
    }
    logs::start(&settings.name);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system gives a process its timers");
    match runtime.block_on(run(settings, path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: cannot listen: {e}\n  hint: use free addresses of this host");
            ExitCode::from(BIND_FAILED)
        }
    }
}
