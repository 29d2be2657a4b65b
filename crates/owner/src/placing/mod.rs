//! Placement of waiting tasks on workers.

pub(crate) mod copy;
pub(crate) mod cost;
pub(crate) mod logging;
pub(crate) mod mean_work;
pub(crate) mod pass;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod reservation;
pub(crate) mod search;
pub(crate) mod short_share;
pub(crate) mod step;
pub(crate) mod tickets;
pub(crate) mod tolerance;
pub(crate) mod unplaceable;
