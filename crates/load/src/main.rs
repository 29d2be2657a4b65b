//! `myrtle-load`: runs the demo, checks its results, and runs experiments. Not shipped.

use std::process::ExitCode;

use argh::FromArgs;

use myrtle_load::{demo, overload, placing, policy, slopes, toll};

/// Puts load on a running system and checks the results.
#[derive(FromArgs)]
struct Args {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

/// The subcommand.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    /// Runs the demo.
    Demo(demo::Demo),
    /// Compares routing policies.
    Routing(policy::Routing),
    /// Compares placement policies.
    Placing(placing::Placing),
    /// Simulates extreme load against the owner of a cell.
    Overload(overload::Overload),
    /// Measures the marginal costs in docs/CAPACITY.md.
    Slopes(slopes::Slopes),
    /// Measures the overhead of a gate.
    Toll(toll::Toll),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let passed = match args.command {
        Command::Demo(demo) => demo::run(&demo).await,
        Command::Routing(routing) => policy::run(&routing),
        Command::Placing(placing) => placing::run(&placing),
        Command::Overload(overload) => overload::run(&overload),
        Command::Slopes(_) => slopes::run(),
        Command::Toll(toll) => toll::run(&toll).await,
    };
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::from(2)
        }
    }
}
