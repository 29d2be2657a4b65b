//! Words shared by every part: kinds of error, time, room, ownership hashing and events.

mod clock;
mod doubt;
mod event;
mod kind;
mod pick;
mod room;
mod span;

pub use clock::{Clock, Stamp};
pub use doubt::Doubt;
pub use event::{Event, Ring};
pub use kind::{Kind, Ran};
pub use pick::{rank, winner};
pub use room::Room;
pub use span::Millis;

/// How long a lease lasts after the log read that it rests on.
///
/// Source: the demo kills a worker and must see its tasks again within 15 s.
pub const LEASE: Millis = Millis(8_000);

/// The wait beyond a lease that covers clock drift between a worker and the log.
///
/// Two seconds in eight is far above any drift a synchronised clock shows.
pub const GUARD: Millis = Millis(2_000);
