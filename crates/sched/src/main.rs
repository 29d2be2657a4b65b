//! `myrtle-sched`: places tasks, renews leases, keeps up with the log.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use myrtle_config::Settings;

/// The settings are wrong; see docs/OPERATING.md for all exit codes.
const BAD_SETTINGS: u8 = 2;

/// The process cannot listen where the settings say.
const NO_PORT: u8 = 3;

/// Places tasks on workers, renews leases and keeps up with the platform's log.
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
    let mut sched = match myrtle_sched::start(settings).await {
        Ok(sched) => sched,
        Err(e) => {
            eprintln!("error: cannot listen: {e}\n  hint: use a free address of this host");
            return ExitCode::from(NO_PORT);
        }
    };
    tokio::select! {
        () = sched.wait() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    ExitCode::SUCCESS
}
