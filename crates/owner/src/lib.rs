//! The decisions of a cell's owner: where tasks run, which runs have ended, and what has to be in
//! the log first.
//!
//! Without I/O and clock: times are passed as milliseconds of the host's steady clock (`now`) and,
//! where clients give times of day, since 1970 (`wall`).

mod cell;
mod disruption;
mod jobs;
mod limits;
mod orders;
mod placing;
mod summary;
mod workers;

pub use cell::{Cell, Counts};
pub use disruption::harm::{Harm, pressure};
pub use disruption::sine::Guess;
pub use disruption::swing::Swings;
pub use jobs::delivery::Delivery;
pub use jobs::job::Job;
pub use limits::Bounds;
pub use orders::commit::Batch;
pub use orders::flight::{Flight, Stage};
pub use orders::flights::Flights;
pub use orders::limbo::Limbo;
pub use orders::order::{Order, Outcome};
pub use placing::tickets::Question;
pub use summary::Gist;
pub use workers::lease::HoldArgs;
pub use workers::trace::Trace;
pub use workers::wave::{Upkeep, Wave};
pub use workers::worker::{Life, Worker};
