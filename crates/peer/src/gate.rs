//! What gates ask of each other.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use myrtle_base::{Millis, Stamp};
use myrtle_cell::Unit;
use myrtle_route::{Ask, Begin, Bucket, Ledger, Offer, Saved};

/// A keeper's answer to asks for loans.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LendReply {
    /// How long the keeper's own lease still runs; no loan outlives it.
    pub bound: Millis,
    /// Offers for the units that it keeps.
    pub offers: Vec<(Unit, Offer)>,
}

/// How a keyed request ended at the gate that ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Done {
    /// The upstream answered.
    Answered(Saved),
    /// No upstream was given it.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// What a keeper knows of a unit, handed to the next one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HandOver {
    /// The book of a limit.
    Ledger(Ledger),
    /// The keys of a bucket.
    Bucket(Bucket),
}

/// What a gate does for its peers.
#[tarpc::service]
pub trait GatePeer {
    /// Asks a keeper for loans; `seq` grows with each call of a gate's life.
    async fn lend(gate: String, boot: u64, seq: u64, asks: Vec<(Unit, Ask)>) -> LendReply;

    /// Asks the keeper of a key whether to run a request; passed on once if it is another's.
    async fn begin(stamp: Stamp, key: Uuid, hash: u64, holder: u64, passed: bool) -> Begin;

    /// Tells the keeper of a key how its request ended.
    async fn end(stamp: Stamp, key: Uuid, done: Done, passed: bool);

    /// Asks for a planned stop; an operator's order, which callers' ports do not take.
    async fn stop() -> bool;

    /// Hands what is known of a unit to its next keeper; true if it is taken.
    async fn take(unit: Unit, from: String, over: HandOver) -> bool;
}
