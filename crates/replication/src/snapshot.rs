//! State up to an index, as bytes that are encoded once and never copied whole.
//!
//! Segments are left out. The state machine's own bytes come first. Behind them stand what the log needs to go on, its length, and a checksum
//! of everything before.

use crate::membership::Membership;
use crate::segments::Segment;
use bitcode::{Decode, Encode};
use saddlerelay_types::feature_level::FeatureLevel;
use std::rc::Rc;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;

/// What the log needs to go on after a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotHeader {
    /// Last entry included.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// The membership at that entry.
    pub membership: Membership,
    /// The segments that the state refers to, by rising number.
    pub segments: Vec<Segment>,
}

/// A snapshot. Clones share its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// What the log needs to go on.
    pub header: SnapshotHeader,
    /// The level at which the state is written. Whoever keeps or sends the snapshot says so beside it.
    pub level: FeatureLevel,
    encoded: Rc<Vec<u8>>,
    state_bytes: usize,
}

impl Snapshot {
    /// A snapshot of a state machine's bytes, at the newest level.
    pub fn new(header: SnapshotHeader, state: Vec<u8>) -> Self {
        let state_bytes = state.len();
        let mut encoded = state;
        let trailer = bitcode::encode(&header);
        // Else the first byte more would have all of it moved to twice the room.
        encoded.reserve_exact(trailer.len() + LENGTH_BYTES + CHECKSUM_BYTES);
        encoded.extend_from_slice(&trailer);
        encoded.extend_from_slice(&(trailer.len() as u32).to_le_bytes());
        let checksum = crc32fast::hash(&encoded);
        encoded.extend_from_slice(&checksum.to_le_bytes());
        Self { header, level: FeatureLevel::NEWEST, encoded: Rc::new(encoded), state_bytes }
    }

    /// The same bytes, written at `level`.
    pub fn at_level(self, level: FeatureLevel) -> Self {
        Self { level, ..self }
    }

    /// Reads an encoded snapshot, as of the newest level; `None` when it is damaged.
    pub fn decode(encoded: Vec<u8>) -> Option<Self> {
        let (body, checksum) = encoded.split_at_checked(encoded.len().checked_sub(CHECKSUM_BYTES)?)?;
        if crc32fast::hash(body) != number(checksum) {
            return None;
        }
        let (body, length) = body.split_at_checked(body.len().checked_sub(LENGTH_BYTES)?)?;
        let state_bytes = body.len().checked_sub(number(length) as usize)?;
        let header = bitcode::decode(&body[state_bytes..]).ok()?;
        Some(Self { header, level: FeatureLevel::NEWEST, encoded: Rc::new(encoded), state_bytes })
    }

    /// All of it, as it is sent and written.
    pub fn encoded(&self) -> &Rc<Vec<u8>> {
        &self.encoded
    }

    /// Its bytes; they are copied only while somebody else holds them, for example to send them.
    pub fn into_encoded(self) -> Vec<u8> {
        Rc::try_unwrap(self.encoded).unwrap_or_else(|shared| shared.to_vec())
    }

    /// The state machine's own bytes.
    pub fn state(&self) -> &[u8] {
        &self.encoded[..self.state_bytes]
    }
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}
