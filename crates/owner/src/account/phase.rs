//! The phases of a job's time.

use myrtle_job::EndReason;

/// What a task was doing, or what it waited for.
///
/// The comment on each phase ends with its key in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// From the acceptance of the job until this owner knew of it: `accept`.
    Accept,
    /// Before this owner began: `earlier`.
    Earlier,
    /// Ready, and not yet considered or between two attempts: `queue`.
    Queue,
    /// No worker accepted new work: `no_worker`.
    NoWorker,
    /// No worker with its labels had room: `no_room`.
    NoRoom,
    /// Free room was set aside for other tasks: `set_aside`.
    SetAside,
    /// It would have slowed serving tasks, or been slowed itself: `interference`.
    Interference,
    /// A task that may crash workers had just started wherever there was room: `isolation`.
    Isolation,
    /// No worker that is known to be sound had room: `unsound`.
    Unsound,
    /// No worker with room had a ticket: `ticket`.
    Ticket,
    /// Assigned, while the record was written; at the end, the record of the job's end: `log`.
    Log,
    /// From the written record until the worker ran the task: `start`.
    Start,
    /// The runs that succeeded: `run`.
    Run,
    /// Runs that failed: `failed`.
    Failed,
    /// Runs that were stopped to continue elsewhere: `stopped`.
    Stopped,
    /// Starts that were refused or withdrawn: `refused`.
    Refused,
    /// Runs that were lost with their worker or its lease: `lost`.
    Lost,
}

impl Phase {
    /// All phases, in the order in which they are logged.
    pub const ALL: [Self; 17] = [
        Self::Accept,
        Self::Earlier,
        Self::Queue,
        Self::NoWorker,
        Self::NoRoom,
        Self::SetAside,
        Self::Interference,
        Self::Isolation,
        Self::Unsound,
        Self::Ticket,
        Self::Log,
        Self::Start,
        Self::Run,
        Self::Failed,
        Self::Stopped,
        Self::Refused,
        Self::Lost,
    ];

    /// What the time of a run that ended without success counts as.
    pub(crate) fn of_end(reason: EndReason) -> Self {
        match reason {
            EndReason::Failed => Self::Failed,
            EndReason::Stopped => Self::Stopped,
            _ => Self::Lost,
        }
    }

    /// The key in log lines and metrics.
    pub fn key(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Earlier => "earlier",
            Self::Queue => "queue",
            Self::NoWorker => "no_worker",
            Self::NoRoom => "no_room",
            Self::SetAside => "set_aside",
            Self::Interference => "interference",
            Self::Isolation => "isolation",
            Self::Unsound => "unsound",
            Self::Ticket => "ticket",
            Self::Log => "log",
            Self::Start => "start",
            Self::Run => "run",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }
}
