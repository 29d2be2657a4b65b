//! The fair share of short work.

/// The largest share of a cell that long-running tasks which ran before leave to short ones: users
/// miss those tasks, so a flood of short jobs costs them little.
const MAX_SHARE: f64 = 0.15;

/// The room that short work gets of a cell in which more is asked for than there is; all figures in
/// thousandths of a core.
///
/// By max-min fairness: who asks for less than half gets all of it, and the rest goes to the other.
pub(crate) fn short_share(room: f64, long_running: f64, short: f64) -> f64 {
    let fair = (room / 2.0).max(room - long_running);
    short.min(fair).min(MAX_SHARE * room).max(0.0)
}
