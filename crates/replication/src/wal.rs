//! The write-ahead log's file format: records of length, checksum and body.
//!
//! An incomplete last record is a torn write, which was never acknowledged, and is cut off. A whole record whose
//! checksum is wrong is corruption: it may have been acknowledged, so the file is refused.

use crate::log::LogEntry;
use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;

const HEADER_BYTES: usize = 8;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum WalRecord {
    /// The term and the vote given in it.
    HardState {
        /// The term.
        term: u64,
        /// Who got this replica's vote.
        voted_for: Option<ReplicaId>,
    },
    /// An entry; replaces any earlier entry at or after its index.
    Entry(LogEntry),
}

/// Why a file cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalError {
    /// The record at this byte offset fails its checksum or cannot be decoded.
    Corrupt {
        /// Byte offset of the record.
        offset: usize,
    },
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WalContent {
    /// The records, in order.
    pub records: Vec<WalRecord>,
    /// Bytes of a torn last record that follow them.
    pub torn_bytes: usize,
}

/// Frames `body` with its length and checksum.
pub fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes `record` as it stands in the file.
pub fn encode(record: &WalRecord) -> Vec<u8> {
    frame(&bitcode::encode(record))
}

/// The length is part of the checksum, so that a zeroed header is not a valid empty record.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// One framed body at the start of `bytes`: `Ok(None)` when it is torn.
pub fn unframe(bytes: &[u8]) -> Result<Option<&[u8]>, WalError> {
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(header[..4].try_into().expect("four bytes")) as usize;
    let expected = u32::from_le_bytes(header[4..].try_into().expect("four bytes"));
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    if checksum(body) != expected {
        return Err(WalError::Corrupt { offset: 0 });
    }
    Ok(Some(body))
}

/// Reads a whole file.
pub fn read(bytes: &[u8]) -> Result<WalContent, WalError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let corrupt = WalError::Corrupt { offset };
        let Some(body) = unframe(&bytes[offset..]).map_err(|_| corrupt)? else {
            break;
        };
        records.push(bitcode::decode(body).map_err(|_| corrupt)?);
        offset += HEADER_BYTES + body.len();
    }
    Ok(WalContent { records, torn_bytes: bytes.len() - offset })
}
