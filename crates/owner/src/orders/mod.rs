//! What is told to workers, and the runs that follow from it.

pub(crate) mod commit;
pub(crate) mod crowded;
pub(crate) mod flight;
pub(crate) mod flights;
pub(crate) mod limbo;
pub(crate) mod order;
pub(crate) mod told;
