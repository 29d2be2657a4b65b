//! Arguments of the command line; doc comments of `argh` items are its help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Drives myrtlepost: applies files, asks what runs and why, follows events.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// the log service, or MYRTLE_LOG
    #[argh(option)]
    pub log: Option<SocketAddr>,
    /// the host list, or MYRTLE_HOSTS
    #[argh(option)]
    pub hosts: Option<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a file.
    Check(Check),
    /// Shows what a file would change.
    Diff(Diff),
    /// Applies a file.
    Apply(Apply),
    /// Lists services, jobs, workers, parties or config.
    Get(Get),
    /// Explains the state of a task.
    Why(Why),
    /// Shows usage and cost.
    Usage(Usage),
    /// Shows the status of hosts.
    Status(Status),
    /// Drains a worker.
    Drain(Drain),
    /// Evicts a task.
    Evict(Evict),
    /// Releases a task.
    Release(Release),
    /// Cancels jobs.
    Cancel(Cancel),
    /// Shows the time line.
    Timeline(Timeline),
    /// Shows the progress of a job on the users' platform.
    Job(Job),
}

/// say how far a job on the users' platform is, and what it waits for
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// the platform's store
    #[argh(positional)]
    pub store: SocketAddr,
    /// the job: 16 hexadecimal digits
    #[argh(positional)]
    pub job: String,
}

/// check a file without applying it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// show what applying a file would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// apply a file, as a whole or not at all
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
    /// wait until it is in force on every reachable host
    #[argh(switch)]
    pub wait: bool,
    /// the version it was made from; the current one if absent
    #[argh(option)]
    pub base: Option<u64>,
    /// the operator's name, or USER
    #[argh(option)]
    pub by: Option<String>,
}

/// list services, jobs, workers, parties or config
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// services, jobs, workers, parties or config
    #[argh(positional)]
    pub what: String,
}

/// say why a task is pending, evicted or rejected
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct Why {
    /// JOB.INDEX
    #[argh(positional)]
    pub task: String,
}

/// show what each party used and pays
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "usage")]
pub struct Usage {}

/// show how every host is
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// let a worker take nothing new, or a gate finish and end
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the worker or gate
    #[argh(positional)]
    pub worker: String,
    /// let it take work again
    #[argh(switch)]
    pub off: bool,
}

/// stop a task after a checkpoint, so that it resumes elsewhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evict")]
pub struct Evict {
    /// JOB.INDEX
    #[argh(positional)]
    pub task: String,
}

/// give your word that a task of a lapsed worker runs nowhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "release")]
pub struct Release {
    /// JOB.INDEX
    #[argh(positional)]
    pub task: String,
}

/// cancel jobs, all in one go
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// the jobs; '-' reads them from standard input, one a line
    #[argh(positional)]
    pub jobs: Vec<String>,
}

/// show events of all processes in causal order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// only events of the last so many seconds
    #[argh(option)]
    pub since: Option<u64>,
    /// go on showing new events
    #[argh(switch)]
    pub follow: bool,
}
