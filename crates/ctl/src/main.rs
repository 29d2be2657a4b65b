//! `myrtlectl`: what operators do and ask.

/// Prints a line; whoever stopped reading has seen enough.
macro_rules! say {
    ($($word:tt)*) => {{
        use std::io::Write;
        if writeln!(std::io::stdout(), $($word)*).is_err() {
            std::process::exit(0);
        }
    }};
}

mod apply;
mod args;
mod ask;
mod cluster;
mod files;
mod job;
mod table;
mod timeline;

use std::process::ExitCode;

use crate::args::{Args, Command};
use crate::cluster::Cluster;

/// Why a command failed, and the exit code that says so; see docs/OPERATING.md.
#[derive(Debug)]
pub enum Failed {
    /// A file is wrong.
    File(String),
    /// It was turned down.
    Refused(String),
    /// The outcome is unknown.
    Unknown(String),
    /// Something cannot be reached.
    Away(String),
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::File(_) => 2,
            Failed::Refused(_) => 3,
            Failed::Unknown(_) => 4,
            Failed::Away(_) => 5,
        }
    }

    fn text(&self) -> &str {
        match self {
            Failed::File(t) | Failed::Refused(t) | Failed::Unknown(t) | Failed::Away(t) => t,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            eprintln!("error: {}", failed.text());
            ExitCode::from(failed.code())
        }
    }
}

async fn run(args: Args) -> Result<(), Failed> {
    let json = args.json;
    if let Command::Check(check) = &args.command {
        return files::check(&check.file, json);
    }
    if let Command::Job(asked) = &args.command {
        return job::show(asked.store, &asked.job, json).await;
    }
    let cluster = Cluster::new(args.log, args.hosts)?;
    match args.command {
        Command::Check(_) | Command::Job(_) => Ok(()),
        Command::Diff(diff) => apply::diff(&cluster, &diff.file, json).await,
        Command::Apply(apply) => apply::apply(&cluster, &apply, json).await,
        Command::Get(get) => ask::get(&cluster, &get.what, json).await,
        Command::Why(why) => ask::why(&cluster, &why.task, json).await,
        Command::Usage(_) => ask::usage(&cluster, json).await,
        Command::Status(_) => ask::status(&cluster, json).await,
        Command::Drain(drain) => ask::drain(&cluster, &drain.worker, !drain.off, json).await,
        Command::Evict(evict) => ask::task(&cluster, "evict", &evict.task, json).await,
        Command::Release(release) => ask::task(&cluster, "release", &release.task, json).await,
        Command::Cancel(cancel) => ask::cancel(&cluster, &cancel.jobs, json).await,
        Command::Timeline(t) => timeline::show(&cluster, &t, json).await,
    }
}
