//! Placement policies, and relief for a service that exceeds its target latency: without I/O, with
//! seeded randomness.

mod baseline;
mod costs;
mod fleet;
mod headroom;
mod learned;
mod relief;

pub use baseline::{BestFit, FirstFit, LeastLoaded};
pub use costs::{Costs, Sample};
pub use fleet::{Fleet, Machine, Placer, TaskRequest};
pub use headroom::Headroom;
pub use learned::Learned;
pub use relief::{Action, Neighbour, Relief};
