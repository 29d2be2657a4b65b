//! The orders that an owner sends to workers, and the active runs that they lead to.

pub(crate) mod commit;
pub(crate) mod flight;
pub(crate) mod flights;
pub(crate) mod limbo;
pub(crate) mod order;
pub(crate) mod replies;
pub(crate) mod withdraw;
