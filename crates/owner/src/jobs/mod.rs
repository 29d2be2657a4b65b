//! Jobs as they come in, go on in other cells and end.

pub(crate) mod admit;
pub(crate) mod allowance;
pub(crate) mod balance;
pub(crate) mod bar;
pub(crate) mod delivery;
pub(crate) mod ends;
pub(crate) mod explain;
pub(crate) mod job;
pub(crate) mod offer;
pub(crate) mod over;
pub(crate) mod part;
pub(crate) mod unlogged;
