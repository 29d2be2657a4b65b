//! Which process of a worker is meant: a worker may start again under the id that it had.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What parts a worker's id from its start, in logs and records.
const START: char = '@';

/// A worker from one start of its process to the next.
///
/// All that is known of a worker is known of one incarnation: the next one under its id holds nothing of it, and
/// its clock and the numbers of its ends begin anew.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Incarnation {
    id: Arc<str>,
    start: u64,
}

/// Who answers where an incarnation did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// The same worker, which started at this time, in milliseconds since 1970 by its own host.
    Restarted(u64),
    /// A worker with another id.
    Other,
}

impl Incarnation {
    /// The incarnation of a worker that started at a time, in milliseconds since 1970 by its own host; 0 if
    /// nothing tells.
    pub fn new(id: impl Into<Arc<str>>, start: u64) -> Self {
        Self { id: id.into(), start }
    }

    /// The worker's id, which later incarnations may have as well.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// When it started, in milliseconds since 1970 by its own host; 0 if nothing tells.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// The incarnation of the same worker that started at another time.
    pub fn started(&self, start: u64) -> Self {
        Self { id: self.id.clone(), start }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            0 => write!(f, "{}", self.id),
            start => write!(f, "{}{START}{start}", self.id),
        }
    }
}

impl FromStr for Incarnation {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        let parted = text.rsplit_once(START);
        let started = parted.and_then(|(id, start)| Some(Self::new(id, start.parse().ok()?)));
        Ok(started.unwrap_or_else(|| Self::new(text, 0)))
    }
}

// Records name an incarnation in its text form: those that were written before starts were told name an id only,
// and are read as one whose start nothing tells.
impl From<String> for Incarnation {
    fn from(text: String) -> Self {
        match text.parse() {
            Ok(life) => life,
        }
    }
}

impl From<Incarnation> for String {
    fn from(life: Incarnation) -> Self {
        life.to_string()
    }
}
