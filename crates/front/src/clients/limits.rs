//! How much a process may hold for its clients.

use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;

/// The memory of a host whose settings name none, in MB.
const DEFAULT_MEMORY: usize = 160;

/// The least memory with which a host works, in MB.
const MIN_MEMORY: usize = 32;

/// The descriptors that the platform keeps for files.
const FILES: usize = 200;

/// The fewest descriptors with which a host works.
const MIN_DESCRIPTORS: usize = 300;

/// The least time for a body, in milliseconds.
const MIN_BODY_TIME: u64 = 1_000;

/// The part of the memory that is held for clients; the rest is for jobs, the log and the program, and for what the
/// allocator keeps of buffers that are given back.
const CLIENT_SHARE: usize = 3;

/// The part of the sockets that clients may have; the rest is for the store, workers, other hosts and checks.
const CLIENT_SOCKETS: usize = 2;

/// The part of the sockets for checks, and as many for readers of metrics.
const CHECK_SOCKETS: usize = 16;

/// The most sockets for checks: the platform uses one or two.
const MAX_CHECK_SOCKETS: usize = 64;

/// The memory for each active run of an owner, in bytes, with the order that starts it.
const RUN_BYTES: usize = 2 << 10;

/// The part of the memory for the jobs that an owner keeps.
const JOB_SHARE: usize = 4;

/// The part of the memory for active runs.
const RUN_SHARE: usize = 4;

/// The connections that may wait to be accepted.
const MIN_BACKLOG: usize = 64;
const MAX_BACKLOG: usize = 1_024;

/// The part of the clients' memory for what connections have sent that are not accepted yet.
const BACKLOG_SHARE: usize = 4;

/// The size of a socket's buffer for what has arrived or is to be sent, in bytes.
pub const SOCKET_BUFFER: usize = 16 << 10;

/// What such a buffer holds at most, in bytes: the system doubles its size.
pub const UNREAD_BYTES: usize = 2 * SOCKET_BUFFER;

/// The limits of a host, as its settings name them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct HostLimits {
    /// The memory of the process, in MB.
    pub memory: usize,
    /// The descriptors of the process; those of the system if it has fewer, or if this is 0.
    pub descriptors: usize,
    /// The longest time in which a body has to arrive, in milliseconds.
    pub body_time: u64,
    /// The least progress of a body, in bytes a second.
    pub body_rate: u64,
    /// The time after which a body has to make that progress, in milliseconds.
    pub body_grace: u64,
}

impl Default for HostLimits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: 0,
            body_time: 60_000,
            body_rate: 1_024,
            body_grace: 10_000,
        }
    }
}

/// The limits of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyPace {
    /// The longest time for all of it.
    pub longest: Duration,
    /// The least progress, in bytes a second.
    pub rate: u64,
    /// The time after which it has to make that progress.
    pub grace: Duration,
}

impl BodyPace {
    /// How long after its begin a body may last, of which so many bytes have arrived.
    pub fn allows(&self, arrived: usize) -> Duration {
        let earned = Duration::from_millis(arrived as u64 * 1_000 / self.rate.max(1));
        self.longest.min(self.grace + earned)
    }
}

impl HostLimits {
    /// What is wrong with them, with the name of the setting and a hint.
    pub fn fault(&self) -> Option<(&'static str, String, &'static str)> {
        if self.memory < MIN_MEMORY {
            return Some(("memory", format!("{} MB are too few", self.memory), "give 32 or more"));
        }
        if (1..MIN_DESCRIPTORS).contains(&self.descriptors) {
            let what = format!("{} descriptors are too few", self.descriptors);
            return Some(("descriptors", what, "give 300 or more; 200 of them are for files"));
        }
        if self.body_time < MIN_BODY_TIME {
            return Some(("body_time", "bodies have no time".into(), "give 1000 ms or more"));
        }
        None
    }

    /// The memory that may be held for clients, in bytes.
    pub fn client_bytes(&self) -> usize {
        (self.memory << 20) / CLIENT_SHARE
    }

    /// The memory for the jobs of a cell, in bytes.
    pub fn job_bytes(&self) -> usize {
        (self.memory << 20) / JOB_SHARE
    }

    /// The number of active runs from which on an owner starts only a few of each job.
    pub fn max_runs(&self) -> usize {
        (self.memory << 20) / RUN_SHARE / RUN_BYTES
    }

    /// The connections that clients may have.
    pub fn client_sockets(&self) -> usize {
        self.sockets() / CLIENT_SOCKETS
    }

    /// The connections that checks may have, and as many that readers of metrics may have.
    pub fn check_sockets(&self) -> usize {
        (self.sockets() / CHECK_SOCKETS).min(MAX_CHECK_SOCKETS)
    }

    /// The connections that may wait to be accepted.
    pub fn backlog(&self) -> u32 {
        let fit = self.client_bytes() / BACKLOG_SHARE / UNREAD_BYTES;
        fit.clamp(MIN_BACKLOG, MAX_BACKLOG) as u32
    }

    /// The limits of a body.
    pub fn body_pace(&self) -> BodyPace {
        BodyPace {
            longest: Duration::from_millis(self.body_time),
            rate: self.body_rate,
            grace: Duration::from_millis(self.body_grace),
        }
    }

    /// The descriptors that are not for files.
    fn sockets(&self) -> usize {
        let system =
            getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
        let given = if self.descriptors == 0 { usize::MAX } else { self.descriptors };
        let all = given.min(system);
        // Without any limit there is nothing to divide.
        if all == usize::MAX { MAX_BACKLOG * CLIENT_SOCKETS } else { all.saturating_sub(FILES) }
    }
}
