//! A front host: takes jobs, owns cells, and keeps what must last in the platform's store.

mod answer;
mod ask;
mod clock;
mod entry;
mod flush;
mod hold;
mod host;
mod intake;
mod layout;
mod lessons;
mod listen;
pub mod logs;
mod member;
mod names;
mod newest;
mod notices;
mod operator;
mod orders;
mod owned;
mod owners;
mod patience;
mod peers;
mod permits;
mod roster;
mod run;
mod settings;
mod takeover;
mod tick;
mod upkeep;
mod watch;

pub use layout::Layout;
pub use names::group as cell_group;
pub use owners::address as member_address;
pub use run::run;
pub use settings::{Cells, Settings};
