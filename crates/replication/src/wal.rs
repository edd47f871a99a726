//! Format of the write-ahead log: records of length, checksum of the length, checksum of the body, and body.
//!
//! An incomplete record at the end is a torn write, which was never acknowledged, and is cut off; so are zeros up to
//! the end of the file, which a file system may leave after a crash. A complete header or body with a wrong checksum
//! is corruption: it may have been acknowledged, so the file is rejected. The length has its own checksum, as a
//! corrupt length that points beyond the end of the file would otherwise look like a torn write.
//!
//! Power loss may also leave only some sectors of the last write, with zeros in place of the others. Each write is
//! synced before the next and starts with the hard state, so damage belongs to the last write if no hard state follows
//! it. It is cut off as a torn write if a sector from the damage on is all zeros; any other damage is rejected.

use crate::log::LogEntry;
use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 2 * CHECKSUM_BYTES;

/// Smallest unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// Upper bound of an encoded hard state.
const HARD_STATE_BYTES: usize = 64;

/// A record of the log file.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum WalRecord {
    /// Term and vote. First record of each write.
    HardState {
        /// Current term.
        term: u64,
        /// Candidate that received this replica's vote in the term.
        voted_for: Option<ReplicaId>,
    },
    /// A log entry; replaces earlier entries from its index on.
    Entry(LogEntry),
}

/// Why a file cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalError {
    /// The record at this offset fails its checksum or cannot be decoded.
    Corrupt {
        /// Byte offset of the record.
        offset: usize,
    },
}

/// Content of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WalContent {
    /// Records in file order.
    pub records: Vec<WalRecord>,
    /// Length of each record in bytes.
    pub lengths: Vec<u64>,
    /// Length in bytes of a torn write at the end.
    pub torn_bytes: usize,
}

/// Frames `body` with its length and checksums.
pub fn frame(body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&length_checksum(length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes `record` with its frame.
pub fn encode(record: &WalRecord) -> Vec<u8> {
    frame(&bitcode::encode(record))
}

/// Checksum of the length, inverted so that a header of zeros is invalid.
fn length_checksum(length: [u8; LENGTH_BYTES]) -> u32 {
    !crc32fast::hash(&length)
}

fn decode_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("the slice has four bytes"))
}

/// The framed body at the start of `bytes`; `Ok(None)` if it is incomplete.
pub fn unframe(bytes: &[u8]) -> Result<Option<&[u8]>, WalError> {
    let corrupt = Err(WalError::Corrupt { offset: 0 });
    if bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let (length, checksums) = header.split_at(LENGTH_BYTES);
    let (length_crc, body_crc) = checksums.split_at(CHECKSUM_BYTES);
    if length_checksum(length.try_into().expect("the slice has four bytes")) != decode_u32(length_crc) {
        return corrupt;
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + decode_u32(length) as usize) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != decode_u32(body_crc) {
        return corrupt;
    }
    Ok(Some(body))
}

/// Decodes the content of a log file. A torn write at the end is left out and counted in `torn_bytes`.
pub fn read(bytes: &[u8]) -> Result<WalContent, WalError> {
    let mut records = Vec::new();
    let mut lengths = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let corrupt = WalError::Corrupt { offset };
        let body = match unframe(&bytes[offset..]) {
            Ok(Some(body)) => body,
            Ok(None) => break,
            Err(_) if is_torn_write(bytes, offset) => break,
            Err(_) => return Err(corrupt),
        };
        records.push(bitcode::decode(body).map_err(|_| corrupt)?);
        let length = HEADER_BYTES + body.len();
        lengths.push(length as u64);
        offset += length;
    }
    Ok(WalContent { records, lengths, torn_bytes: bytes.len() - offset })
}

/// Whether the damage at `offset` is a torn write: it is in the last write of the file, and a sector was not written.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    has_unwritten_sector(bytes, offset) && !is_followed_by_write(bytes, offset)
}

/// Whether any sector from `offset` on is all zeros.
fn has_unwritten_sector(bytes: &[u8], offset: usize) -> bool {
    let mut start = offset;
    while start < bytes.len() {
        let end = bytes.len().min((start / SECTOR_BYTES + 1) * SECTOR_BYTES);
        if bytes[start..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        start = end;
    }
    false
}

/// Whether a valid hard state starts anywhere after `offset`. All offsets are tried, as record lengths are not
/// reliable after the damage.
fn is_followed_by_write(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| is_hard_state(&bytes[start..]))
}

fn is_hard_state(bytes: &[u8]) -> bool {
    let Some(length) = bytes.get(..LENGTH_BYTES) else {
        return false;
    };
    if decode_u32(length) as usize > HARD_STATE_BYTES {
        return false;
    }
    let body = unframe(bytes).ok().flatten();
    body.is_some_and(|body| matches!(bitcode::decode(body), Ok(WalRecord::HardState { .. })))
}
