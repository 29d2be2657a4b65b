//! Basic types of all crates: error kinds, time, pauses, room, rendezvous hashing, events and detection of silent connections.

mod clock;
mod event;
mod kind;
mod pause;
mod rendezvous;
mod room;
mod silence;
mod span;

pub use clock::{Clock, Stamp};
pub use event::{Event, Ring};
pub use kind::{Kind, Ran};
pub use pause::growing_pause;
pub use rendezvous::{rank, winner};
pub use room::Room;
pub use silence::SilenceDetector;
pub use span::Millis;

/// The duration of a lease from the log read that it is based on.
///
/// The demo kills a worker and requires that its tasks restart within 15 s.
pub const LEASE: Millis = Millis(8_000);

/// The margin added to a lease for clock drift between a worker and the log; 2 s in 8 s is far above the drift of
/// a synchronised clock.
pub const GUARD: Millis = Millis(2_000);
