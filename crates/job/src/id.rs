//! Identifiers of jobs and their tasks.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The number of hexadecimal digits in a job's id.
const DIGITS: usize = 16;

/// The id that the client chose for its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is no valid id of a job or task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("'{text}' is no name of a job or task; a job has 16 lower-case hexadecimal digits")]
pub struct InvalidId {
    /// The start of the text, at most 64 characters.
    text: String,
}

impl InvalidId {
    pub(crate) fn of(text: &str) -> Self {
        Self { text: text.chars().take(64).collect() }
    }
}

impl JobId {
    /// A 32-bit hash that spreads jobs evenly over cells.
    pub fn spread(self) -> u64 {
        // Fibonacci hashing, because clients may choose consecutive ids.
        self.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != DIGITS || !hex {
            return Err(InvalidId::of(text));
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| InvalidId::of(text))
    }
}

/// The id of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The repetition of the job, from 0.
    pub round: u32,
    /// The step of the job, from 0.
    pub step: u16,
    /// The task of the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.round, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(|| InvalidId::of(text));
        let job = next()?.parse()?;
        let round = next()?.parse().map_err(|_| InvalidId::of(text))?;
        let step = next()?.parse().map_err(|_| InvalidId::of(text))?;
        let index = next()?.parse().map_err(|_| InvalidId::of(text))?;
        match parts.next() {
            None => Ok(Self { job, round, step, index }),
            Some(_) => Err(InvalidId::of(text)),
        }
    }
}
