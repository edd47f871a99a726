//! Deterministic subsetting: which engines each relay receives.
//!
//! Engines and relays are hashed by name to 64-bit positions. A relay receives the engines whose positions share a
//! prefix with its own. The prefix grows with the number of engines in the engine pool, and is shorter for the relay's
//! own zone than for other zones, whose engines serve as failover. In a small engine pool every relay receives all
//! engines. This bounds the size of full updates when many relays connect to the leader at once: 10,000 engines sent to
//! each of 836 relays, a megabyte each, would occupy the leader's link for 13 s.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::EnginePool;
use saddlerelay_types::instance::InstanceId;

/// Average subset size in the relay's own zone above which the prefix grows. 128 engines of 6 slots serve several
/// thousand requests of 25 ms a second at half load.
const MAX_LOCAL_ENGINES: usize = 128;

/// Average subset size in the relay's own zone below which the prefix shrinks. Half of the size right after the prefix
/// has grown, so that small changes of the number of engines do not change the prefix (hysteresis).
const MIN_LOCAL_ENGINES: usize = 16;

/// As [`MAX_LOCAL_ENGINES`], for each other zone.
const MAX_REMOTE_ENGINES: usize = 32;

/// As [`MIN_LOCAL_ENGINES`], for each other zone.
const MIN_REMOTE_ENGINES: usize = 4;

/// Number of bits by which a prefix grows or shrinks; 2 bits change the subset size by a factor of four.
const STEP_BITS: u8 = 2;

/// Hash position of an engine's or relay's name; the same on every node.
pub fn hash_position(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Hash position of an engine; all starts of an engine have the same one.
pub(super) fn engine_position(id: &InstanceId) -> u64 {
    hash_position(&id.name)
}

/// The zone and hash position of a relay, which determine its subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLocation<'a> {
    /// The relay's zone.
    pub zone: &'a str,
    /// Hash position of the relay's name.
    pub hash_position: u64,
}

impl<'a> RelayLocation<'a> {
    /// Computes the hash position from the relay's name.
    pub fn new(name: &str, zone: &'a str) -> Self {
        Self { zone, hash_position: hash_position(name) }
    }
}

/// Lengths in bits of the hash position prefix that an engine of a pool must share with a relay. With n bits a relay
/// receives about one engine in 2^n.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(super) struct SubsetPrefixes {
    local_bits: u8,
    remote_bits: u8,
}

impl SubsetPrefixes {
    /// Adjusts the prefixes to the current number of engines; returns whether one changed.
    pub fn update(&mut self, engines: usize) -> bool {
        let before = *self;
        self.local_bits = bits_for(self.local_bits, engines, MIN_LOCAL_ENGINES, MAX_LOCAL_ENGINES);
        self.remote_bits = bits_for(self.remote_bits, engines, MIN_REMOTE_ENGINES, MAX_REMOTE_ENGINES);
        *self != before
    }

    /// First and last hash position, inclusive, of the engines of `pool` in the subset of `relay`.
    pub fn range(self, pool: &EnginePool, relay: RelayLocation<'_>) -> (u64, u64) {
        let bits = if pool.zone == relay.zone { self.local_bits } else { self.remote_bits };
        let suffix_mask = u64::MAX.checked_shr(u32::from(bits)).unwrap_or(0);
        (relay.hash_position & !suffix_mask, relay.hash_position | suffix_mask)
    }
}

fn bits_for(mut bits: u8, engines: usize, min: usize, max: usize) -> u8 {
    let subset_size = |bits: u8| engines >> bits;
    while subset_size(bits) > max {
        bits += STEP_BITS;
    }
    while bits > 0 && subset_size(bits) < min {
        bits -= STEP_BITS;
    }
    bits
}
