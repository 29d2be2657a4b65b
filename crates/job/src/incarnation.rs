//! Worker incarnations: a worker's id with the start time of its process, as ids are reused after a restart.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Separates a worker's id from its start time, in logs and records.
const START_SEPARATOR: char = '@';

/// A worker from one start of its process to the next.
///
/// The next incarnation with the same id has none of its runs, and its clock and the numbers of its run ends
/// restart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Incarnation {
    id: Arc<str>,
    start: u64,
}

/// The worker that replaced an incarnation at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replacement {
    /// The same worker, restarted at this time in milliseconds since 1970 by its own host's clock.
    Restarted(u64),
    /// A worker with another id.
    Other,
}

impl Incarnation {
    /// The incarnation of a worker that started at a time, in milliseconds since 1970 by its own host's clock;
    /// 0 if unknown.
    pub fn new(id: impl Into<Arc<str>>, start: u64) -> Self {
        Self { id: id.into(), start }
    }

    /// The worker's id, which later incarnations may reuse.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// The start time in milliseconds since 1970 by its own host's clock; 0 if unknown.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// The incarnation of the same worker with another start time.
    pub fn with_start(&self, start: u64) -> Self {
        Self { id: self.id.clone(), start }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            0 => write!(f, "{}", self.id),
            start => write!(f, "{}{START_SEPARATOR}{start}", self.id),
        }
    }
}

impl FromStr for Incarnation {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        let parts = text.rsplit_once(START_SEPARATOR);
        let started = parts.and_then(|(id, start)| Some(Self::new(id, start.parse().ok()?)));
        Ok(started.unwrap_or_else(|| Self::new(text, 0)))
    }
}

// Records hold an incarnation in its text form; those of earlier versions hold an id only, and are read as an
// incarnation with an unknown start.
impl From<String> for Incarnation {
    fn from(text: String) -> Self {
        match text.parse() {
            Ok(incarnation) => incarnation,
        }
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}
