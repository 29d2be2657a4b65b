//! Routing policies compared on the same seeded traces, in virtual time.

mod event;
mod outcome;
mod report;
mod scene;
mod sim;

use std::path::PathBuf;

use argh::FromArgs;

pub use outcome::{Outcome, Policy};
pub use report::{Line, lines, table};
pub use scene::{CLASSES, Noise, Scene, scenes};
pub use sim::simulate;

/// compare routing policies on the same seeded traces and write a report
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct Routing {
    /// seeds for each scene
    #[argh(option, default = "3")]
    seeds: u64,
    /// seconds of virtual time for each run
    #[argh(option, default = "30")]
    seconds: u64,
    /// upstreams
    #[argh(option, default = "48")]
    upstreams: usize,
    /// the folder that the report goes to
    #[argh(option, default = "PathBuf::from(\"docs/report\")")]
    out: PathBuf,
}

/// Simulates all scenes, prints the report and writes it with its plot.
pub fn run(routing: &Routing) -> Result<bool, String> {
    let scenes = scenes(routing.upstreams, routing.seconds);
    let lines = lines(&scenes, routing.seeds);
    let text = table(&lines, routing.seeds);
    print!("{text}");
    report::write(&routing.out, &text, &lines).map_err(|e| e.to_string())?;
    Ok(true)
}
