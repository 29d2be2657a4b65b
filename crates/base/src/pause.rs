//! Pauses that double with each failure in a row.

/// The number of doublings after which a pause stays the same.
const MAX_DOUBLINGS: u32 = 5;

/// The pause after some failures in a row, in the unit of `first`; none without a failure.
pub fn growing_pause(first: u64, max: u64, failures: u32) -> u64 {
    match failures {
        0 => 0,
        n => (first << (n - 1).min(MAX_DOUBLINGS)).min(max),
    }
}
