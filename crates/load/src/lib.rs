//! Load generation, checks of the results, and experiments. Not shipped.

pub mod callers;
pub mod check;
pub mod demo;
pub mod overload;
pub mod placing;
pub mod policy;
pub mod slopes;
pub mod toll;
