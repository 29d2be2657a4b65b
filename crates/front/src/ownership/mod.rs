//! Ownership of cells: how hosts learn the owners, find cells without one, and become owners.
//!
//! The store's group of a cell decides who owns it. The directory is a topic that owners write and all hosts follow
//! with one waiting read. It is only a hint that saves queries for every cell; the store corrects a host that it
//! misleads.

mod directory;
mod entry;
pub mod member;
pub mod monitor;
pub mod owners;
mod query;
mod watch;

pub use directory::{announce_end, announce_free, announce_owner, follow};
pub use entry::{Directory, Entry};
pub use watch::{Candidate, OwnerStatus, Step, Watch};
