//! `myrtle-standin`: the stand-ins for the platform as a separate process. Not shipped.

use std::time::Duration;

use argh::FromArgs;

use myrtle_standin::{World, WorldConfig};

/// Stands in for the platform on loopback.
#[derive(FromArgs)]
struct Args {
    /// data centres, separated by commas
    #[argh(option, default = "String::from(\"attiki-a,attiki-b,attiki-c\")")]
    centres: String,
    /// workers in each data centre
    #[argh(option, default = "16")]
    workers: usize,
    /// the service that the workers run
    #[argh(option, default = "String::from(\"nomgate\")")]
    service: String,
    /// records that the log keeps of each stream
    #[argh(option, default = "20000")]
    kept: usize,
    /// how late the host list is, in milliseconds
    #[argh(option, default = "500")]
    lag: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let args: Args = argh::from_env();
    let plan = WorldConfig {
        centres: args.centres.split(',').map(String::from).collect(),
        workers: args.workers,
        service: args.service,
        lag: Duration::from_millis(args.lag),
        retained: args.kept,
        ..WorldConfig::default()
    };
    let world = World::start(&plan).await?;
    println!("log={} hosts={}", world.log_at, world.hosts_at);
    tokio::signal::ctrl_c().await
}
