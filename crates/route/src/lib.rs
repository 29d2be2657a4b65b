//! Decides for a gate which request runs where, without sockets or a clock, and with seeded
//! randomness.
//!
//! Times are durations since the start of the process and come from the caller.

mod admit;
mod allocations;
mod budget;
mod choose;
mod keys;
mod ledger;
mod rate;
mod score;
mod table;

pub use admit::{Admission, Admitted, Arrival, Rejected};
pub use allocations::{Allocations, Held};
pub use budget::Budget;
pub use choose::{Choice, LeastBusy, Random, RoundRobin, Scored, TwoChoices};
pub use keys::{Bucket, Decision, KeyState, KeyTable, MAX_SKEW, SavedAnswer, bucket_of, issued_at};
pub use ledger::{ALLOCATION_TTL, Allocation, AllocationReply, AllocationRequest, Ledger};
pub use rate::Rate;
pub use score::{Fault, Score};
pub use table::{Ticket, UpstreamState, Upstreams};
