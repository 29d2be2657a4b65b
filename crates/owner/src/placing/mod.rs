//! What waits and where it goes.

pub(crate) mod booking;
pub(crate) mod copy;
pub(crate) mod fit;
pub(crate) mod pass;
pub(crate) mod permit;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod refused;
pub(crate) mod reserve;
pub(crate) mod search;
pub(crate) mod step;
pub(crate) mod takes;
pub(crate) mod usual;
pub(crate) mod waits;
