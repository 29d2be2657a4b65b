//! The steps of the model.

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes by [`STEP`](super::STEP).
    Pass,
    /// A host reads the log.
    Read(usize),
    /// A host renews its worker's lease after its newest read.
    Renew(usize),
    /// Host 0 renews without the log, by its own promise and that of another host.
    RenewOffline(usize),
    /// A message to a worker arrives, the newest (0) or the one before (1).
    Arrive(usize, usize),
    /// A host appends the nth of its possible proposals.
    Append(usize, usize),
    /// The lapse in transit reaches the log.
    Land,
}

/// All steps.
pub const ACTIONS: [Action; 19] = [
    Action::Pass,
    Action::Read(0),
    Action::Read(1),
    Action::Read(2),
    Action::Renew(0),
    Action::Renew(1),
    Action::RenewOffline(1),
    Action::RenewOffline(2),
    Action::Arrive(0, 0),
    Action::Arrive(0, 1),
    Action::Arrive(1, 0),
    Action::Arrive(1, 1),
    Action::Append(0, 0),
    Action::Append(0, 1),
    Action::Append(0, 2),
    Action::Append(1, 0),
    Action::Append(1, 1),
    Action::Append(1, 2),
    Action::Land,
];

impl Action {
    /// The name in reports.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}
