//! `myrtle-sched`: follows the log, places tasks and renews leases.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match myrtle_daemon::prepare() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let mut sched = match myrtle_sched::start(settings).await {
        Ok(sched) => sched,
        Err(e) => return myrtle_daemon::cannot_listen(&e),
    };
    tokio::select! {
        () = sched.wait() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    ExitCode::SUCCESS
}
