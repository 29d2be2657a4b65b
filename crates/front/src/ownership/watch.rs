//! When a host looks whether a cell has an owner, and when it takes one that has none.
//!
//! Load pattern: a fleet in which every host looks at every cell asks the store as often as hosts times cells, and cells
//! grow with the fleet. So hosts take turns: the time between two looks of a host grows with the number of those that
//! look after the same cell, so that each cell is looked at as often however many they are. Who finds a cell free tells
//! all, and the strong ones of its data centres go first.

use std::net::SocketAddr;

/// The time between two looks at a cell by any of the hosts that look after it, in milliseconds.
const SPACING: u64 = 100;

/// The same by those of other data centres: they only matter once all hosts at home are lost.
const SPACING_ABROAD: u64 = 400;

/// The shortest time between two looks of one host, in milliseconds.
const LOOK: u64 = 450;

/// The same of a host of another data centre.
const LOOK_ABROAD: u64 = 2_500;

/// The longest wait of a host that finds a cell without an owner, in milliseconds, so that seldom
/// two join at once.
const JITTER: u64 = 500;

/// How long a host that is too weak for a cell leaves it to stronger ones, in milliseconds.
const WEAK_WAIT: u64 = 1_500;

/// How long a host of another data centre leaves a cell to those at home, in milliseconds.
const ABROAD_WAIT: u64 = 2_000;

/// For how long a weak owner is known before a stronger host asks for the cell, in milliseconds, so
/// that hosts that come back together settle first.
const WEAK_FOR: u64 = 2_700;

/// What a host is to a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Whether it is in one of the cell's data centres.
    pub home: bool,
    /// Whether it can own the cell.
    pub strong: bool,
    /// How many hosts there are that are at home as it is, or abroad.
    pub hosts: usize,
}

/// Who holds a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Nobody.
    Vacant,
    /// A host that can own it.
    Held,
    /// A host that is too weak for it, where it answers peers.
    Weak(SocketAddr),
    /// The store does not tell.
    Unknown,
}

/// What is to be done next about a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing until this time, or until the directory has news.
    Rest(u64),
    /// Ask the store who holds it.
    Look,
    /// Tell all hosts that it is free.
    Tell,
    /// Take it.
    Take,
    /// Ask its owner, which is too weak for it, to give it up.
    Relieve(SocketAddr),
}

/// What one host knows and intends of one cell; times are in milliseconds of its steady clock.
#[derive(Debug)]
pub struct Watch {
    place: Place,
    /// When the next look is due.
    due: u64,
    /// When it may be taken, if it is free.
    take: Option<u64>,
    /// Whether the last look showed that it may be taken now.
    sure: bool,
    /// Whether all hosts have been told that it is free.
    told: bool,
    /// Its owner, if that is too weak for it, and when that is asked to give it up.
    weak: Option<(SocketAddr, u64)>,
}

impl Watch {
    /// Knows nothing yet; `draw` is from 0 to 1, another one for each host.
    pub fn new(place: Place, now: u64, draw: f64) -> Self {
        let due = if place.home && place.strong { 0 } else { portion(place.every(), draw) };
        Self { place, due: now + due, take: None, sure: false, told: false, weak: None }
    }

    /// What is to be done now.
    pub fn next(&mut self, now: u64) -> Step {
        if std::mem::take(&mut self.sure) {
            return Step::Take;
        }
        if self.take.is_some() && !std::mem::replace(&mut self.told, true) {
            return Step::Tell;
        }
        if let Some((at, due)) = self.weak.filter(|_| self.place.strong && self.place.home) {
            if due <= now {
                self.weak = Some((at, now + WEAK_FOR));
                return Step::Relieve(at);
            }
            if due < self.due {
                return Step::Rest(due);
            }
        }
        let due = self.take.unwrap_or(self.due);
        if due <= now { Step::Look } else { Step::Rest(due) }
    }

    /// Takes in what a look showed; `owned` cells are this host's already.
    pub fn saw(&mut self, seen: Seen, owned: usize, now: u64, draw: f64) {
        match seen {
            Seen::Vacant if self.take.is_some_and(|at| at <= now) => self.sure = true,
            Seen::Vacant => self.free(false, owned, now, draw),
            Seen::Held => self.looked(None, now, draw),
            Seen::Weak(at) => self.looked(Some(at), now, draw),
            Seen::Unknown => {
                self.take = self.take.map(|at| at.max(now + LOOK));
                self.due = now + self.place.every();
            }
        }
    }

    /// The directory says that the cell is free.
    pub fn hear_free(&mut self, owned: usize, now: u64, draw: f64) {
        self.free(true, owned, now, draw);
    }

    /// The directory names an owner; too weak for the cell if `weak` tells where it answers.
    pub fn hear_held(&mut self, weak: Option<SocketAddr>, now: u64, draw: f64) {
        self.held(weak, now, draw);
    }

    /// The host has tried to take the cell, or has had it.
    pub fn tried(&mut self, now: u64, draw: f64) {
        self.held(None, now, draw);
        self.due = now + portion(LOOK, draw);
    }

    /// Its own look has shown an owner; the next one comes after those of the others.
    fn looked(&mut self, weak: Option<SocketAddr>, now: u64, draw: f64) {
        let every = self.place.every();
        self.due = now + 4 * every / 5 + portion(2 * every / 5, draw);
        self.held(weak, now, draw);
    }

    fn free(&mut self, told: bool, owned: usize, now: u64, draw: f64) {
        self.weak = None;
        self.told |= told;
        if self.take.is_none() {
            self.take = Some(now + self.place.wait(owned, draw));
        }
    }

    // News that all hosts hear must not move their looks, or none would come for a while after it.
    fn held(&mut self, weak: Option<SocketAddr>, now: u64, draw: f64) {
        (self.take, self.told, self.sure) = (None, false, false);
        let asked = |at| Some((at, now + WEAK_FOR + portion(JITTER, draw)));
        self.weak = match (weak, self.weak) {
            (Some(at), Some((before, due))) if at == before => Some((at, due)),
            (weak, _) => weak.and_then(asked),
        };
    }
}

impl Place {
    /// The mean time between two looks of this host.
    pub fn every(&self) -> u64 {
        let (spacing, least) =
            if self.home { (SPACING, LOOK) } else { (SPACING_ABROAD, LOOK_ABROAD) };
        (spacing * self.hosts as u64).max(least)
    }

    /// How long this host leaves a free cell to others.
    fn wait(&self, owned: usize, draw: f64) -> u64 {
        // Hosts that own a cell already leave the next one to others.
        let wait = portion(JITTER, draw) + JITTER * owned as u64;
        let weak = if self.strong { 0 } else { WEAK_WAIT };
        let abroad = if self.home { 0 } else { ABROAD_WAIT };
        wait + weak + abroad
    }
}

/// A part of a time.
fn portion(time: u64, draw: f64) -> u64 {
    (time as f64 * draw) as u64
}
