//! Configuration: files of operators, validation, differences and the fold of the `config` stream.

mod check;
mod desired;
mod diff;
mod fold;
mod read;
mod settings;
mod token;
mod unit;

pub use check::{PLATFORM, check_refs};
pub use desired::{Class, Customer, DataCentre, Desired, Job, OnUnreachable, Service};
pub use diff::{Edit, diff};
pub use fold::{Change, Config, ConfigRecord, Refusal, ScopeState, Verdict};
pub use read::{Fault, MAX_FILE_BYTES, check_end, read, read_file};
pub use settings::{Announce, Platform, Settings};
pub use token::hash_token;
pub use unit::{Megabytes, Span};
