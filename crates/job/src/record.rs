//! What is written of a job, and how it is read back.

use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, Policy};

/// The version of the records; a reader refuses others.
const VERSION: u8 = 1;

/// An accepted job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// What the queue's configuration said when the job was taken.
    pub policy: Policy,
    /// What is to be run.
    pub spec: JobSpec,
    /// When the job came, in milliseconds since 1970 by the clock of the host that took it.
    pub taken: u64,
}

/// A record that can't be read.
#[derive(Debug, Display, Error, From)]
pub enum RecordError {
    /// It is of another version.
    #[display("the record has version {_0}; this program reads version 1")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// It is empty.
    #[display("the record is empty")]
    #[from(ignore)]
    Empty,
    /// Its bytes do not make sense.
    #[display("the record can't be read: {_0}")]
    Broken(postcard::Error),
}

/// Bytes of a record.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let start = vec![VERSION];
    postcard::to_extend(value, start).expect("memory holds a record")
}

/// Reads a record back.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    match bytes {
        [VERSION, rest @ ..] => Ok(postcard::from_bytes(rest)?),
        [other, ..] => Err(RecordError::Version(*other)),
        [] => Err(RecordError::Empty),
    }
}
