//! The addresses at which a host accepts connections that it doesn't control.

use derive_more::Display;

/// An address of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Endpoint {
    /// That for clients.
    #[display("clients")]
    Clients,
    /// That for readiness checks.
    #[display("checks")]
    Checks,
    /// That for readers of metrics.
    #[display("metrics")]
    Metrics,
}
