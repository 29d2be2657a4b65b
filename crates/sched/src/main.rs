//! `myrtle-sched`: places tasks, renews leases, keeps up with the log.

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
