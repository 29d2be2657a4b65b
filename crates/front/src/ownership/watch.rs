//! When a host asks the store for the owner of a cell, and when it joins the group of a cell without one.
//!
//! Load pattern: if every host asks for every cell, the store's queries grow with hosts times cells, and cells grow
//! with the fleet. So a host's query interval grows with the number of hosts that monitor the same cell, which keeps
//! the rate of queries per cell constant. A host that finds a cell free announces it, and local hosts with the
//! capacity join first.

use std::net::SocketAddr;

/// The mean time between two queries for a cell by any of its local hosts, in milliseconds.
const QUERY_SPACING: u64 = 100;

/// The same for remote hosts, in milliseconds; they only matter once all local hosts are lost.
const REMOTE_SPACING: u64 = 400;

/// The shortest query interval of a local host, in milliseconds.
const MIN_INTERVAL: u64 = 450;

/// The shortest query interval of a remote host, in milliseconds.
const REMOTE_INTERVAL: u64 = 2_500;

/// The longest random delay before a host joins, in milliseconds, so that two hosts seldom join at once.
const JITTER: u64 = 500;

/// How much longer a host without the capacity for a cell delays its join, in milliseconds.
const UNDERSIZED_DELAY: u64 = 1_500;

/// How much longer a remote host delays its join, in milliseconds.
const REMOTE_DELAY: u64 = 2_000;

/// How long a host waits before it asks an undersized owner for the cell, in milliseconds, so that ownership settles
/// first when many hosts restart together.
const RELIEVE_DELAY: u64 = 2_700;

/// What decides how soon a host joins the group of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Whether the host is in one of the cell's data centres.
    pub local: bool,
    /// Whether the host has the capacity to own the cell.
    pub has_capacity: bool,
    /// The number of hosts that are local to the cell, if this one is, or else remote.
    pub hosts: usize,
}

/// Whether a cell has an owner, and whether that has the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// The cell has no owner.
    Vacant,
    /// The owner has the capacity.
    Capable,
    /// The owner lacks the capacity; with its peer address.
    Undersized(SocketAddr),
    /// The store did not answer.
    Unknown,
}

/// The next action for a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait until this time or until the directory has a new record.
    Wait(u64),
    /// Ask the store for the owner.
    Query,
    /// Announce that the cell is free.
    Announce,
    /// Join the group of the cell.
    Join,
    /// Ask the undersized owner at this address to give up the cell.
    Relieve(SocketAddr),
}

/// One host's monitoring state of one cell; times are in milliseconds of its steady clock.
#[derive(Debug)]
pub struct Watch {
    candidate: Candidate,
    /// When the next query is due.
    query_at: u64,
    /// When the host may join, if the cell is free.
    join_at: Option<u64>,
    /// Whether the last query found the cell still free at that time.
    vacant: bool,
    /// Whether it has been announced that the cell is free.
    announced: bool,
    /// The undersized owner, if the cell has one, and when it is asked to give up the cell.
    undersized: Option<(SocketAddr, u64)>,
}

impl Watch {
    /// Starts without a known owner; `draw` is a random number from 0 to 1, as in all methods.
    pub fn new(candidate: Candidate, now: u64, draw: f64) -> Self {
        let delay = if candidate.local && candidate.has_capacity {
            0
        } else {
            scale(candidate.interval(), draw)
        };
        Self {
            candidate,
            query_at: now + delay,
            join_at: None,
            vacant: false,
            announced: false,
            undersized: None,
        }
    }

    /// Returns the action that is due now.
    pub fn next(&mut self, now: u64) -> Step {
        if std::mem::take(&mut self.vacant) {
            return Step::Join;
        }
        if self.join_at.is_some() && !std::mem::replace(&mut self.announced, true) {
            return Step::Announce;
        }
        if let Some((at, query_at)) =
            self.undersized.filter(|_| self.candidate.has_capacity && self.candidate.local)
        {
            if query_at <= now {
                self.undersized = Some((at, now + RELIEVE_DELAY));
                return Step::Relieve(at);
            }
            if query_at < self.query_at {
                return Step::Wait(query_at);
            }
        }
        let query_at = self.join_at.unwrap_or(self.query_at);
        if query_at <= now { Step::Query } else { Step::Wait(query_at) }
    }

    /// Applies the result of a query; this host owns `owned` cells.
    pub fn on_query(&mut self, status: OwnerStatus, owned: usize, now: u64, draw: f64) {
        match status {
            OwnerStatus::Vacant if self.join_at.is_some_and(|at| at <= now) => self.vacant = true,
            OwnerStatus::Vacant => self.set_free(false, owned, now, draw),
            OwnerStatus::Capable => self.owner_found(None, now, draw),
            OwnerStatus::Undersized(at) => self.owner_found(Some(at), now, draw),
            OwnerStatus::Unknown => {
                self.join_at = self.join_at.map(|at| at.max(now + MIN_INTERVAL));
                self.query_at = now + self.candidate.interval();
            }
        }
    }

    /// Applies an announcement that the cell is free.
    pub fn on_free(&mut self, owned: usize, now: u64, draw: f64) {
        self.set_free(true, owned, now, draw);
    }

    /// Applies an announcement of an owner; `undersized` is its address if it lacks the capacity.
    pub fn on_owner(&mut self, undersized: Option<SocketAddr>, now: u64, draw: f64) {
        self.set_owned(undersized, now, draw);
    }

    /// Resets the state after the host tried to join, or was the owner.
    pub fn on_attempt(&mut self, now: u64, draw: f64) {
        self.set_owned(None, now, draw);
        self.query_at = now + scale(MIN_INTERVAL, draw);
    }

    /// Applies a query that found an owner, and schedules the next one after those of other hosts.
    fn owner_found(&mut self, undersized: Option<SocketAddr>, now: u64, draw: f64) {
        let interval = self.candidate.interval();
        self.query_at = now + 4 * interval / 5 + scale(2 * interval / 5, draw);
        self.set_owned(undersized, now, draw);
    }

    fn set_free(&mut self, announced: bool, owned: usize, now: u64, draw: f64) {
        self.undersized = None;
        self.announced |= announced;
        if self.join_at.is_none() {
            self.join_at = Some(now + self.candidate.join_delay(owned, draw));
        }
    }

    // An announcement reaches all hosts, so it must not move their queries: none would be made for a while after it.
    fn set_owned(&mut self, undersized: Option<SocketAddr>, now: u64, draw: f64) {
        (self.join_at, self.announced, self.vacant) = (None, false, false);
        let asked = |at| Some((at, now + RELIEVE_DELAY + scale(JITTER, draw)));
        self.undersized = match (undersized, self.undersized) {
            (Some(at), Some((before, query_at))) if at == before => Some((at, query_at)),
            (undersized, _) => undersized.and_then(asked),
        };
    }
}

impl Candidate {
    /// The mean time between two queries of this host, in milliseconds.
    pub fn interval(&self) -> u64 {
        let (spacing, least) = if self.local {
            (QUERY_SPACING, MIN_INTERVAL)
        } else {
            (REMOTE_SPACING, REMOTE_INTERVAL)
        };
        (spacing * self.hosts as u64).max(least)
    }

    /// How long this host delays its join to a free cell, in milliseconds.
    fn join_delay(&self, owned: usize, draw: f64) -> u64 {
        // Hosts that own cells leave the next one to others.
        let join_delay = scale(JITTER, draw) + JITTER * owned as u64;
        let undersized = if self.has_capacity { 0 } else { UNDERSIZED_DELAY };
        let remote = if self.local { 0 } else { REMOTE_DELAY };
        join_delay + undersized + remote
    }
}

/// Returns the fraction `draw` of a time.
fn scale(time: u64, draw: f64) -> u64 {
    (time as f64 * draw) as u64
}
