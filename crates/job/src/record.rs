//! What is written of a job, and how it is read back.

use std::io::{Read, Write};

use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, Policy};

/// The version of the records; a reader refuses others than this and [`PACKED`].
const VERSION: u8 = 1;

/// The version of records that are compressed.
const PACKED: u8 = 2;

/// The largest record, in bytes once it is unpacked: many times what the store takes in one call.
const LARGEST: u64 = 64 << 20;

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
    #[display("the record has version {_0}; this program reads versions 1 and 2")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// It is empty.
    #[display("the record is empty")]
    #[from(ignore)]
    Empty,
    /// It can't be unpacked, or would be too large.
    #[display("the record can't be unpacked: {_0}")]
    Torn(std::io::Error),
    /// Its bytes do not make sense.
    #[display("the record can't be read: {_0}")]
    Broken(postcard::Error),
}

/// Bytes of a record.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let start = vec![VERSION];
    postcard::to_extend(value, start).expect("memory holds a record")
}

/// Bytes of a record that says much the same many times over, as the progress of a job of many tasks does.
///
/// Load pattern: a job of 80 tasks is written anew with each start and each end, with the names of the workers.
pub fn encode_packed(value: &impl Serialize) -> Vec<u8> {
    let plain = encode(value);
    let mut packed = DeflateEncoder::new(vec![PACKED], Compression::default());
    let written = packed.write_all(&plain[1..]).and_then(|()| packed.finish());
    written.ok().filter(|packed| packed.len() < plain.len()).unwrap_or(plain)
}

/// Reads a record back.
///
/// # Errors
///
/// It is empty, of another version, can't be unpacked, or is no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    match bytes {
        [VERSION, rest @ ..] => Ok(postcard::from_bytes(rest)?),
        [PACKED, rest @ ..] => Ok(postcard::from_bytes(&unpack(rest)?)?),
        [other, ..] => Err(RecordError::Version(*other)),
        [] => Err(RecordError::Empty),
    }
}

fn unpack(packed: &[u8]) -> Result<Vec<u8>, std::io::Error> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(LARGEST).read_to_end(&mut plain)?;
    Ok(plain)
}
