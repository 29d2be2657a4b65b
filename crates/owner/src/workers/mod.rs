//! What is known of workers: who is there, what they answer, when one is lost.

pub(crate) mod crash;
pub(crate) mod drain;
pub(crate) mod emptied;
pub(crate) mod health;
pub(crate) mod held;
pub(crate) mod lease;
pub(crate) mod list;
pub(crate) mod succession;
pub(crate) mod trace;
mod wait;
pub(crate) mod wave;
pub(crate) mod worker;
