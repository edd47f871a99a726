//! The write-ahead log's file format: records of length, checksum of the length, checksum of the body, and body.
//!
//! An incomplete last record is a torn write, which was never acknowledged, and is cut off; so are zeros up to the end
//! of the file, which a file system may leave after a crash. A whole header or body whose checksum is wrong is
//! corruption: it may have been acknowledged, so the file is refused. The length has a checksum of its own, or a
//! damaged one that points beyond the end of the file would pass for a torn write.
//!
//! A loss of power may also leave only some sectors of the last write, with zeros where the others belong. Each write is
//! synced before the next and begins with the hard state, so damage is the last write's if no hard state follows it. It is
//! then cut off like a torn write if a sector behind the damage was never written; all else that is damaged is refused.

use crate::log::LogEntry;
use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 2 * CHECKSUM_BYTES;

/// Bytes that a disk writes wholly or not at all: the smallest sector of common disks.
const SECTOR_BYTES: usize = 512;

/// Bytes that the body of a hard state stays below: a term and a replica are 8 each, and some tags.
const HARD_STATE_BYTES: usize = 64;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum WalRecord {
    /// The term and the vote given in it. Begins each write.
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
    /// The length of each in the file, in bytes.
    pub lengths: Vec<u64>,
    /// Bytes of a torn last record that follow them.
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

/// Encodes `record` as it stands in the file.
pub fn encode(record: &WalRecord) -> Vec<u8> {
    frame(&bitcode::encode(record))
}

/// Inverted, so that a header of zeros is not a valid one.
fn length_checksum(length: [u8; LENGTH_BYTES]) -> u32 {
    !crc32fast::hash(&length)
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

/// One framed body at the start of `bytes`: `Ok(None)` when it is torn.
pub fn unframe(bytes: &[u8]) -> Result<Option<&[u8]>, WalError> {
    let corrupt = Err(WalError::Corrupt { offset: 0 });
    if bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let (length, checksums) = header.split_at(LENGTH_BYTES);
    let (of_length, of_body) = checksums.split_at(CHECKSUM_BYTES);
    if length_checksum(length.try_into().expect("four bytes")) != number(of_length) {
        return corrupt;
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + number(length) as usize) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != number(of_body) {
        return corrupt;
    }
    Ok(Some(body))
}

/// Reads a whole file.
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

/// Whether the damage at `offset` is that of the file's last write, of which not all sectors were written.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    lacks_a_sector(bytes, offset) && !a_write_begins_behind(bytes, offset)
}

/// Whether a sector from `offset` on, or what the file has of it, is all zeros.
fn lacks_a_sector(bytes: &[u8], offset: usize) -> bool {
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

/// Whether a whole hard state stands anywhere behind `offset`. Records cannot be followed there: any place may be damaged.
fn a_write_begins_behind(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|place| is_hard_state(&bytes[place..]))
}

fn is_hard_state(bytes: &[u8]) -> bool {
    let Some(length) = bytes.get(..LENGTH_BYTES) else {
        return false;
    };
    if number(length) as usize > HARD_STATE_BYTES {
        return false;
    }
    let body = unframe(bytes).ok().flatten();
    body.is_some_and(|body| matches!(bitcode::decode(body), Ok(WalRecord::HardState { .. })))
}
