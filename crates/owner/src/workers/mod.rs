//! The state of workers: which are present, what they reply, and when one is lost.

pub(crate) mod crash;
pub(crate) mod drain;
pub(crate) mod evacuated;
pub(crate) mod late_starts;
pub(crate) mod lease;
pub(crate) mod list;
pub(crate) mod quarantine;
pub(crate) mod record;
pub(crate) mod renewal;
pub(crate) mod restarts;
pub(crate) mod stalled;
pub(crate) mod unproven;
mod wait;
pub(crate) mod wave;
pub(crate) mod worker;
