//! `myrtlectl`, the operator's command line.

/// Prints a line; exits successfully if standard output was closed, as by `head`.
macro_rules! say {
    ($($arg:tt)*) => {{
        use std::io::Write;
        if writeln!(std::io::stdout(), $($arg)*).is_err() {
            std::process::exit(0);
        }
    }};
}

mod apply;
mod args;
mod cluster;
mod commands;
mod files;
mod job;
mod table;
mod timeline;

use std::process::ExitCode;

use crate::args::{Args, Command};
use crate::cluster::Cluster;

/// Why a command failed; the variant sets the exit code, see docs/OPERATING.md.
#[derive(Debug)]
pub enum Error {
    /// A file or an argument is invalid.
    Input(String),
    /// The request was refused.
    Refused(String),
    /// It is unknown whether the command took effect.
    Unknown(String),
    /// A service or host cannot be reached.
    Unreachable(String),
}

impl Error {
    fn exit_code(&self) -> u8 {
        match self {
            Error::Input(_) => 2,
            Error::Refused(_) => 3,
            Error::Unknown(_) => 4,
            Error::Unreachable(_) => 5,
        }
    }

    fn message(&self) -> &str {
        match self {
            Error::Input(t) | Error::Refused(t) | Error::Unknown(t) | Error::Unreachable(t) => t,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {}", error.message());
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(args: Args) -> Result<(), Error> {
    let json = args.json;
    if let Command::Check(check) = &args.command {
        return files::check(&check.file, json);
    }
    if let Command::Job(job_args) = &args.command {
        return job::show(job_args.store, &job_args.job, json).await;
    }
    let cluster = Cluster::new(args.log, args.hosts)?;
    match args.command {
        Command::Check(_) | Command::Job(_) => Ok(()),
        Command::Diff(diff) => apply::diff(&cluster, &diff.file, json).await,
        Command::Apply(apply) => apply::apply(&cluster, &apply, json).await,
        Command::Get(get) => commands::get(&cluster, &get.what, json).await,
        Command::Why(why) => commands::why(&cluster, &why.task, json).await,
        Command::Usage(_) => commands::usage(&cluster, json).await,
        Command::Status(_) => commands::status(&cluster, json).await,
        Command::Drain(drain) => commands::drain(&cluster, &drain.worker, !drain.off, json).await,
        Command::Evict(evict) => commands::task(&cluster, "evict", &evict.task, json).await,
        Command::Release(release) => commands::task(&cluster, "release", &release.task, json).await,
        Command::Cancel(cancel) => commands::cancel(&cluster, &cancel.jobs, json).await,
        Command::Timeline(t) => timeline::show(&cluster, &t, json).await,
    }
}
