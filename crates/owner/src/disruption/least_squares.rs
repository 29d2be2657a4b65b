//! Shared functions of the fits by recursive least squares.

/// Errors are clamped to this many standard deviations, since single spikes have other causes.
const OUTLIER: f64 = 3.0;

/// The dot product of two rows.
pub(crate) fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// The error clamped to `OUTLIER` standard deviations of a fit with this variance.
pub(crate) fn clamp_error(error: f64, variance: f64) -> f64 {
    let limit = OUTLIER * variance.sqrt();
    error.clamp(-limit, limit)
}
