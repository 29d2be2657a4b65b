//! Predicts how tasks on one worker slow each other, and throttles fillers accordingly.

pub(crate) mod blame;
pub(crate) mod forecast;
pub(crate) mod headroom;
pub(crate) mod interference;
pub(crate) mod learn;
pub(crate) mod learned;
pub(crate) mod least_squares;
pub(crate) mod load_cycle;
pub(crate) mod model;
pub(crate) mod pressure;
pub(crate) mod sine;
pub(crate) mod throttle;
