//! Snapshots of the state, encoded once and shared without copying.
//!
//! The encoding consists of the state machine's bytes without segments, the metadata, the length of the metadata, and
//! a checksum of everything before.

use crate::membership::Membership;
use crate::segments::Segment;
use bitcode::{Decode, Encode};
use saddlerelay_types::feature_level::FeatureLevel;
use std::rc::Rc;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;

/// Metadata that the log needs to continue after a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotHeader {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of the last entry included.
    pub term: u64,
    /// Membership at that entry.
    pub membership: Membership,
    /// Segments that the state refers to, by ascending number.
    pub segments: Vec<Segment>,
}

/// A snapshot. Clones share the encoded bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Metadata that the log needs to continue.
    pub header: SnapshotHeader,
    /// Feature level at which the state is encoded. Not part of the encoded bytes.
    pub level: FeatureLevel,
    encoded: Rc<Vec<u8>>,
    state_bytes: usize,
}

impl Snapshot {
    /// A snapshot of the encoded state `state`, marked as the newest level.
    pub fn new(header: SnapshotHeader, state: Vec<u8>) -> Self {
        let state_bytes = state.len();
        let mut encoded = state;
        let trailer = bitcode::encode(&header);
        // Avoids a reallocation that would double the capacity.
        encoded.reserve_exact(trailer.len() + LENGTH_BYTES + CHECKSUM_BYTES);
        encoded.extend_from_slice(&trailer);
        encoded.extend_from_slice(&(trailer.len() as u32).to_le_bytes());
        let checksum = crc32fast::hash(&encoded);
        encoded.extend_from_slice(&checksum.to_le_bytes());
        Self { header, level: FeatureLevel::NEWEST, encoded: Rc::new(encoded), state_bytes }
    }

    /// The same snapshot, marked as encoded at `level`.
    pub fn at_level(self, level: FeatureLevel) -> Self {
        Self { level, ..self }
    }

    /// Decodes a snapshot and marks it as the newest level; `None` if it is corrupt.
    pub fn decode(encoded: Vec<u8>) -> Option<Self> {
        let (body, checksum) = encoded.split_at_checked(encoded.len().checked_sub(CHECKSUM_BYTES)?)?;
        if crc32fast::hash(body) != decode_u32(checksum) {
            return None;
        }
        let (body, length) = body.split_at_checked(body.len().checked_sub(LENGTH_BYTES)?)?;
        let state_bytes = body.len().checked_sub(decode_u32(length) as usize)?;
        let header = bitcode::decode(&body[state_bytes..]).ok()?;
        Some(Self { header, level: FeatureLevel::NEWEST, encoded: Rc::new(encoded), state_bytes })
    }

    /// The encoded snapshot, as sent and stored.
    pub fn encoded(&self) -> &Rc<Vec<u8>> {
        &self.encoded
    }

    /// The encoded snapshot. Copies the bytes only if they are shared.
    pub fn into_encoded(self) -> Vec<u8> {
        Rc::try_unwrap(self.encoded).unwrap_or_else(|shared| shared.to_vec())
    }

    /// The encoded state, without the metadata.
    pub fn state(&self) -> &[u8] {
        &self.encoded[..self.state_bytes]
    }
}

fn decode_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("the slice has four bytes"))
}
