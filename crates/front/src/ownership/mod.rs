//! Who owns which cell: how hosts hear of it, find cells that nobody owns, and take them.
//!
//! The store's group of a cell decides. The directory, which owners write and all hosts follow by one waiting read, is
//! only a hint: it saves a host from asking about every cell, and a host that it misleads is corrected by the store.

mod directory;
mod entry;
pub mod lookout;
pub mod member;
pub mod owners;
mod standing;
mod watch;

pub use directory::{follow, tell_free, tell_held, tell_over};
pub use entry::{Directory, Entry};
pub use watch::{Place, Seen, Step, Watch};
