//! The decisions of a cell's owner: where tasks run, which runs have ended, and what has to be in
//! the log first.
//!
//! Without I/O and clock: times are passed as milliseconds of the host's steady clock (`now`) and,
//! where clients give times of day, since 1970 (`wall`).

mod account;
mod cell;
mod decay;
mod disruption;
mod health;
mod jobs;
mod limits;
mod orders;
mod placing;
mod summary;
mod workers;

pub use account::phase::Phase;
pub use account::report::{EndedJob, Verdict};
pub use account::spans::Spans;
pub use cell::{Cell, Counts};
pub use disruption::interference::{InterferenceModel, pressure};
pub use disruption::load_cycle::LoadCycles;
pub use disruption::sine::Prediction;
pub use jobs::delivery::Delivery;
pub use jobs::job::Job;
pub use jobs::removal::{History, RemovalGroup};
pub use jobs::room::JobRoom;
pub use limits::TimeLimits;
pub use orders::active_run::{ActiveRun, Stage};
pub use orders::active_runs::ActiveRuns;
pub use orders::commit::Batch;
pub use orders::order::{Order, Outcome};
pub use orders::uncertain::UncertainRuns;
pub use placing::tickets::{Answer, Question, TicketQueue};
pub use summary::CellSummary;
pub use workers::lease::RenewalArgs;
pub use workers::record::WorkerRecord;
pub use workers::wave::{Maintenance, TurnRecord, Wave, WaveChange, WaveRecord};
pub use workers::worker::{Presence, Worker};
