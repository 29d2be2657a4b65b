//! Decides which question the ticket service gets next, how many are under way, and when to ask
//! again.
//!
//! The service answers the questions of a host one after the other. Whatever is sent beyond what it
//! answers soon only waits there, and an answer whose caller has given up is lost work. So questions
//! wait here, where their order can still change and where those that become needless are dropped.
//!
//! Without I/O and clock: times are passed as milliseconds of the host's steady clock (`now`).

mod backlog;
mod shares;
mod step;
mod window;

pub use backlog::{Backlog, Need};
pub use step::{StepId, StepTickets};
pub use window::{CallEnd, CallId, Condition, Window};
