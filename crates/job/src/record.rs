//! The encoding of job records.

use std::io::{Read, Write};

use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, Policy};

/// The version of uncompressed records; a reader refuses versions other than this and [`COMPRESSED`].
const VERSION: u8 = 1;

/// The version of compressed records.
const COMPRESSED: u8 = 2;

/// The largest decompressed record, in bytes; many times the store's limit for one call.
const MAX_BYTES: u64 = 64 << 20;

/// An accepted job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue's policy at the time of acceptance.
    pub policy: Policy,
    /// The job's specification.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since 1970 by the accepting host's clock.
    pub accepted_at: u64,
}

/// Why a record can't be read.
#[derive(Debug, Display, Error, From)]
pub enum RecordError {
    /// The version is unknown.
    #[display("the record has version {_0}; this program reads versions 1 and 2")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The record is empty.
    #[display("the record is empty")]
    #[from(ignore)]
    Empty,
    /// Decompression failed.
    #[display("the record can't be decompressed: {_0}")]
    Compression(std::io::Error),
    /// The bytes are no value of the expected type.
    #[display("the record can't be decoded: {_0}")]
    Encoding(postcard::Error),
}

/// Encodes a record.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let prefix = vec![VERSION];
    postcard::to_extend(value, prefix).expect("memory holds a record")
}

/// Encodes a record with compression, unless that makes it longer.
///
/// Load pattern: each start and each end of a task rewrites the record of its job, with the names of all workers.
pub fn encode_compressed(value: &impl Serialize) -> Vec<u8> {
    let plain = encode(value);
    let mut compressed = DeflateEncoder::new(vec![COMPRESSED], Compression::default());
    let finished = compressed.write_all(&plain[1..]).and_then(|()| compressed.finish());
    finished.ok().filter(|bytes| bytes.len() < plain.len()).unwrap_or(plain)
}

/// Decodes a record.
///
/// # Errors
///
/// The record is empty, has an unknown version, can't be decompressed, or is no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    match bytes {
        [VERSION, rest @ ..] => Ok(postcard::from_bytes(rest)?),
        [COMPRESSED, rest @ ..] => Ok(postcard::from_bytes(&decompress(rest)?)?),
        [other, ..] => Err(RecordError::Version(*other)),
        [] => Err(RecordError::Empty),
    }
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, std::io::Error> {
    let mut plain = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_BYTES).read_to_end(&mut plain)?;
    Ok(plain)
}
