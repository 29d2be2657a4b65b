//! The decisions of a gate: no sockets, no clock of its own, seeded randomness.
//!
//! Times are durations since the start of the process, handed in by the caller.

mod admit;
mod budget;
mod choose;
mod keys;
mod lend;
mod rate;
mod score;
mod shares;
mod table;

pub use admit::{Admit, Arrival, Dropped, Taken};
pub use budget::Budget;
pub use choose::{Choice, LeastBusy, Random, RoundRobin, Scored, TwoChoices};
pub use keys::{Begin, Bucket, Entry, KeyTable, MAX_SKEW, Saved, bucket_of, issued};
pub use lend::{Ask, LOAN, Ledger, Loan, Offer};
pub use rate::Rate;
pub use score::{Fault, Score};
pub use shares::{Share, Shares};
pub use table::{Free, Ticket, Upstreams};
