//! Shares the room of a cell between short and long-running tasks when both ask for more than there
//! is.
//!
//! Load pattern: workers are lost or leave, long-running tasks that ran there start again wherever
//! there is room, and short jobs of the same priority, which take a second, find none for as long as
//! those run. Short tasks keep the room that they use, up to their fair share, and long-running
//! steps give way to them by as many tasks as their clients allow to be unavailable.

pub(crate) mod demand;
pub(crate) mod fair;
pub(crate) mod give_way;
pub(crate) mod in_use;
pub(crate) mod press;
