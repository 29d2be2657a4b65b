//! What the owner of a cell decides: where tasks run, what has ended, what is written first.
//!
//! No I/O and no clock of its own: times are handed in as milliseconds of the host's steady clock
//! (`now`) and, where clients name times of day, since 1970 (`wall`).

mod bounds;
mod cell;
mod disruption;
mod gist;
mod jobs;
mod orders;
mod placing;
mod workers;

pub use bounds::Bounds;
pub use cell::{Cell, Counts};
pub use disruption::harm::{Harm, pressure};
pub use disruption::sine::Guess;
pub use disruption::swing::Swings;
pub use gist::Gist;
pub use jobs::delivery::Delivery;
pub use jobs::job::Job;
pub use orders::commit::Batch;
pub use orders::flight::{Flight, Stage};
pub use orders::flights::Flights;
pub use orders::limbo::Limbo;
pub use orders::order::{Order, Outcome};
pub use placing::permit::Question;
pub use workers::lease::HoldArgs;
pub use workers::trace::Trace;
pub use workers::wave::{Upkeep, Wave};
pub use workers::worker::{Life, Worker};
