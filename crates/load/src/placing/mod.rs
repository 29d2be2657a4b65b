//! Placement policies compared on the same seeded fleets, in virtual time.

mod report;
mod sim;
mod world;

use std::path::PathBuf;

use argh::FromArgs;

pub use report::{Line, line, table};
pub use sim::{Outcome, Policy, simulate};
pub use world::Site;

/// compare placement policies on the same seeded fleets and write a report
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "placing")]
pub struct Placing {
    /// seeds for each policy
    #[argh(option, default = "10")]
    seeds: u64,
    /// seconds of virtual time for each run
    #[argh(option, default = "1800")]
    seconds: u64,
    /// the folder that the report goes to
    #[argh(option, default = "PathBuf::from(\"docs/report\")")]
    out: PathBuf,
}

/// Compares the policies on both sites, prints the report and writes it to `PLACING.md`.
pub fn run(placing: &Placing) -> Result<bool, String> {
    let mut text = report::head(placing.seeds, placing.seconds);
    for site in [Site::GAS, Site::MARKET] {
        let lines = report::lines(&site, placing.seeds, placing.seconds);
        text.push_str(&table(&site, &lines));
    }
    print!("{text}");
    std::fs::create_dir_all(&placing.out).map_err(|e| e.to_string())?;
    std::fs::write(placing.out.join("PLACING.md"), text).map_err(|e| e.to_string())?;
    Ok(true)
}
