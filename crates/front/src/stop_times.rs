//! When a stopping host closes connections and ends.

use std::time::Duration;

use tokio::time::Instant;

/// How long new connections still arrive after the host reports that it is not ready: two checks of a second each plus
/// a margin.
const ARRIVALS: Duration = Duration::from_millis(2_300);

/// The margin before the process would be killed: on a busy machine timers fire late.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// The time for writing the last answers.
pub const WRITE_TIME: Duration = Duration::from_millis(300);

/// The time in which a request is answered that arrives just before its connection would be closed.
const SERVE_TIME: Duration = Duration::from_millis(700);

/// The times of a stop, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When new connections no longer arrive.
    pub all_left: Instant,
    /// When idle connections are closed.
    pub close_idle: Instant,
    /// When requests in progress get their last answers.
    pub answer_all: Instant,
    /// When the process ends.
    pub end: Instant,
}

impl StopTimes {
    /// The times of a stop that begins at `began` in a process that would be killed after `grace`; with a short grace
    /// all of them come earlier.
    pub fn new(began: Instant, grace: Duration) -> Self {
        let whole = KILL_MARGIN + WRITE_TIME + SERVE_TIME;
        // Half of a short grace is left for requests that arrive in it.
        let scale = (grace.as_secs_f64() / 2.0 / whole.as_secs_f64()).min(1.0);
        let before_kill = |time: Duration| began + grace.saturating_sub(time.mul_f64(scale));
        let close_idle = before_kill(whole);
        Self {
            all_left: close_idle.min(began + ARRIVALS),
            close_idle,
            answer_all: before_kill(KILL_MARGIN + WRITE_TIME),
            end: before_kill(KILL_MARGIN),
        }
    }
}
