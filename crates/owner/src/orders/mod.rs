//! The orders that an owner sends to workers, and the active runs that they lead to.

pub(crate) mod active_run;
pub(crate) mod active_runs;
pub(crate) mod commit;
pub(crate) mod order;
pub(crate) mod replies;
pub(crate) mod uncertain;
pub(crate) mod withdraw;
