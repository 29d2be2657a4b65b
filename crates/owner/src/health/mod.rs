//! Which workers are sound: evidence from the runs that end there, shared within racks, data centres
//! and software versions.
//!
//! Load pattern: a part of the workers of one data centre fails two runs in five while their health
//! checks are good, and queues allow two attempts. The first attempts fail as they come; the last
//! ones must not go to such a worker, before a single worker has failed often enough to be known by
//! itself.

pub(crate) mod book;
pub(crate) mod evidence;
pub(crate) mod groups;
pub(crate) mod learned;
pub(crate) mod refresh;
pub(crate) mod speed;
pub(crate) mod standing;
pub(crate) mod tally;
