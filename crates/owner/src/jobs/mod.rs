//! Jobs: admission, transfers between cells and ends.

pub(crate) mod admit;
pub(crate) mod balance;
pub(crate) mod budget;
pub(crate) mod delivery;
pub(crate) mod early_cancel;
pub(crate) mod ends;
pub(crate) mod explain;
pub(crate) mod job;
pub(crate) mod offer;
pub(crate) mod removal;
pub(crate) mod room;
pub(crate) mod spread;
pub(crate) mod termination;
pub(crate) mod transfer;
pub(crate) mod unlogged;
