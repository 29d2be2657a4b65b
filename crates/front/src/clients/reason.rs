//! Why a host closes a connection by itself.

use derive_more::Display;

/// Why a connection was evicted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The memory for clients was used up.
    #[display("memory")]
    Memory,
    /// The connections of its address were used up.
    #[display("connections")]
    Connections,
    /// A body came too slowly.
    #[display("slow-body")]
    SlowBody,
    /// A head was not complete in time, or the next request did not come.
    #[display("expired")]
    Expired,
}
