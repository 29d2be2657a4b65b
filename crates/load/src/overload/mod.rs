//! Simulates extreme load against the real owner of a cell, in virtual time.
//!
//! Jobs are random, workers are modelled, and the owner is the shipped code. Each pattern of load once
//! made users wait; the report has the credit earned by kind of job, and latencies of short jobs.

mod crash;
mod credit;
mod draw;
mod fleet;
mod machine;
mod report;
mod scene;
mod sim;

use argh::FromArgs;

pub use credit::{Account, Earned};
pub use draw::Kind;
pub use report::{Line, lines, table};
pub use scene::{Pattern, Scene};
pub use sim::{Outcome, replay};

/// Simulates extreme load against the owner of a cell.
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct Overload {
    /// seeds for each scene (10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// workers of the cell (60)
    #[argh(option, default = "60")]
    workers: u16,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Runs the command; always `Ok(true)`, since it checks no figure.
///
/// # Errors
///
/// Fails if the figures can't be serialized as JSON.
pub fn run(args: &Overload) -> Result<bool, String> {
    let lines = lines(&Scene::all(args.workers), args.seeds);
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&lines).map_err(|e| e.to_string())?),
        false => print!("{}", table(&lines, args.seeds)),
    }
    Ok(true)
}
