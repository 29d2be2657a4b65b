//! What the owner of a cell decides: where tasks run, what has ended, what is written first.
//!
//! No I/O and no clock of its own: times are handed in as milliseconds of the host's steady clock
//! (`now`) and, where clients name times of day, since 1970 (`wall`).

mod admit;
mod balance;
mod bar;
mod bounds;
mod cell;
mod commit;
mod copy;
mod drain;
mod ends;
mod explain;
mod fit;
mod flight;
mod gist;
mod harm;
mod headroom;
mod health;
mod held;
mod job;
mod learn;
mod lease;
mod lessons;
mod list;
mod model;
mod order;
mod outlook;
mod over;
mod pace;
mod permit;
mod place;
mod plan;
mod pressure;
mod refused;
mod sine;
mod squares;
mod step;
mod swing;
mod told;
mod trace;
mod usual;
mod waits;
mod wave;
mod worker;

pub use balance::Delivery;
pub use bounds::Bounds;
pub use cell::{Cell, Counts};
pub use commit::Batch;
pub use flight::{Flight, Stage};
pub use gist::Gist;
pub use harm::{Harm, pressure};
pub use job::Job;
pub use lease::HoldArgs;
pub use order::{Order, Outcome};
pub use permit::Question;
pub use sine::Guess;
pub use swing::Swings;
pub use trace::Trace;
pub use wave::{Upkeep, Wave};
pub use worker::{Life, Worker};
