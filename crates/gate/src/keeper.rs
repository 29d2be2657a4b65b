//! What this gate keeps: books of limits and buckets of keys.

use std::collections::BTreeMap;
use std::time::Duration;

use uuid::Uuid;

use myrtle_cell::{Keep, Unit};
use myrtle_peer::{HandOver, LendReply};
use myrtle_route::{Ask, Bucket, KeyTable, LOAN, Ledger, bucket_of};

use crate::tables::{Tables, wall};
use crate::view::View;

/// Slots of an upstream whose service is not configured.
const NO_SLOTS: u32 = 0;

/// After an unknown book was taken over, nothing is lent until earlier loans have run out.
const QUIET: Duration = LOAN.saturating_add(Duration::from_secs(2));

/// Books and buckets, with those that are on their way.
#[derive(Debug, Default)]
pub struct Books {
    ledgers: BTreeMap<Unit, Book>,
    keys: KeyTable,
    terms: BTreeMap<Unit, u64>,
    coming: BTreeMap<Unit, HandOver>,
}

#[derive(Debug)]
struct Book {
    ledger: Ledger,
    quiet: Duration,
}

impl Books {
    /// The bucket of a key, if it is kept here.
    pub fn bucket(&mut self, key: &Uuid) -> Option<&mut Bucket> {
        self.keys.bucket(bucket_of(key))
    }

    /// The units that are kept here.
    pub fn units(&self) -> Vec<Unit> {
        self.terms.keys().cloned().collect()
    }

    /// Forgets everything, since the lease has lapsed.
    pub fn clear(&mut self) {
        self.ledgers.clear();
        self.keys.clear();
        self.terms.clear();
        self.coming.clear();
    }

    /// Takes in what an earlier keeper knows; it is used once the cell says so.
    pub fn expect(&mut self, unit: Unit, over: HandOver, now: Duration) {
        let over = match over {
            HandOver::Ledger(mut ledger) => {
                ledger.rebase(Duration::ZERO, now);
                HandOver::Ledger(ledger)
            }
            bucket => bucket,
        };
        self.coming.insert(unit, over);
    }

    /// Stops keeping a unit and gives out what is known of it, with times from `now` on.
    pub fn close(&mut self, unit: &Unit, now: Duration) -> Option<HandOver> {
        self.terms.remove(unit)?;
        match unit {
            Unit::Keys(no) => self.keys.close(*no).map(HandOver::Bucket),
            _ => self.ledgers.remove(unit).map(|mut book| {
                book.ledger.rebase(now, Duration::ZERO);
                HandOver::Ledger(book.ledger)
            }),
        }
    }

    /// Answers a gate that asks for loans.
    pub fn lend(
        &mut self,
        gate: &str,
        boot: u64,
        seq: u64,
        asks: Vec<(Unit, Ask)>,
        now: Duration,
        bound: Duration,
    ) -> LendReply {
        let mut reply = LendReply { bound: bound.into(), offers: Vec::new() };
        for (unit, ask) in asks {
            let Some(book) = self.ledgers.get_mut(&unit) else { continue };
            if now < book.quiet {
                continue;
            }
            if let Some(offer) = book.ledger.ask(gate, boot, seq, ask, now) {
                reply.offers.push((unit, offer));
            }
        }
        reply
    }

    /// Brings what is kept in line with the cell.
    fn align(&mut self, view: &View, name: &str, now: Duration) {
        let own = |unit: &Unit| view.peering.units.get(unit).filter(|k| k.gate == name);
        let gone: Vec<Unit> = self.terms.keys().filter(|u| own(u).is_none()).cloned().collect();
        for unit in gone {
            self.close(&unit, now);
        }
        for (unit, keep) in view.peering.units.iter().filter(|(_, k)| k.gate == name) {
            let limit = limit(view, unit);
            if self.terms.get(unit) != Some(&keep.term) {
                self.open(unit, keep, limit, now);
            }
            if let Some(book) = self.ledgers.get_mut(unit) {
                book.ledger.set_limit(limit);
            }
        }
    }

    fn open(&mut self, unit: &Unit, keep: &Keep, limit: u32, now: Duration) {
        self.terms.insert(unit.clone(), keep.term);
        let known = self.coming.remove(unit).filter(|_| keep.handed);
        match (unit, known) {
            (Unit::Keys(no), Some(HandOver::Bucket(bucket))) => self.keys.open(*no, bucket),
            (Unit::Keys(no), _) if keep.handed => self.keys.open(*no, Bucket::since(wall())),
            (Unit::Keys(no), _) => self.keys.open(*no, Bucket::since(keep.since)),
            (_, Some(HandOver::Ledger(ledger))) => {
                let book = Book { ledger, quiet: Duration::ZERO };
                self.ledgers.insert(unit.clone(), book);
            }
            _ => {
                let quiet = if keep.handed { now + QUIET } else { Duration::ZERO };
                let ledger = Ledger::new(&unit.to_string(), limit);
                self.ledgers.insert(unit.clone(), Book { ledger, quiet });
            }
        }
    }
}

impl Tables {
    /// Brings what this gate keeps in line with its newest view.
    pub fn align_books(&self) {
        let view = self.view.load_full();
        let now = self.now();
        if !self.entered() {
            return self.books(|b| b.clear());
        }
        self.books(|b| b.align(&view, self.name(), now));
    }

    /// Answers a gate that asks for loans, unless this gate's lease has lapsed.
    pub fn lend(&self, gate: &str, boot: u64, seq: u64, asks: Vec<(Unit, Ask)>) -> LendReply {
        let bound = self.lease_left();
        if bound.is_zero() || !self.entered() {
            return LendReply::default();
        }
        let now = self.now();
        self.books(|b| b.lend(gate, boot, seq, asks, now, bound))
    }
}

/// The limit that a unit stands for.
fn limit(view: &View, unit: &Unit) -> u32 {
    match unit {
        Unit::Upstream(name) => {
            let upstream = view.peering.upstreams.iter().find(|u| u.name == *name);
            let service = upstream.and_then(|u| view.services.get(&u.service));
            service.map_or(NO_SLOTS, |s| s.slots)
        }
        Unit::Party(name) => {
            let party = view.parties.values().find(|p| p.name == *name);
            party.map_or(0, |p| p.rate)
        }
        Unit::Keys(_) => 0,
    }
}
