//! Which engines each relay is told of.
//!
//! A relay needs a few dozen engines of a service, not all: each of 836 relays that knew each of 10,000 engines would be
//! told a megabyte at its start, 13 s of the leader's link for all of them. Engines and relays stand at positions that
//! follow from their names; a relay is told of the engines whose positions begin with the same bits as its own. How many
//! bits follows from how many engines a place has: more of the relay's own zone, some of each other zone in case that the
//! own one is lost. Where there are few engines, every relay is told of all.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::EnginePlace;
use saddlerelay_types::instance::InstanceId;

/// Most engines of a place in the relay's own zone that it is told of, before a quarter of them has to do. 128 engines of 6
/// slots serve some thousand requests a second of 25 ms at half load; the largest deployment whose relays knew all of a
/// place's engines had 26 of them.
const MOST_NEAR: usize = 128;

/// Fewest of them, before four times as many are told: half of what is left right after a division, so that a place whose
/// size goes up and down does not change its share each time.
const LEAST_NEAR: usize = 16;

/// Likewise for a place in another zone.
const MOST_FAR: usize = 32;

/// Likewise for a place in another zone.
const LEAST_FAR: usize = 4;

/// Bits by which a share changes at once: a quarter, or four times as many.
const STEP_BITS: u8 = 2;

/// Where a name stands among all: the same for everyone who works it out.
pub fn position(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Where an engine stands.
pub(super) fn engine_position(id: &InstanceId) -> u64 {
    position(&id.name)
}

/// Where a relay stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPlace<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its position.
    pub position: u64,
}

impl<'a> RelayPlace<'a> {
    /// The place of a relay of this name.
    pub fn new(name: &str, zone: &'a str) -> Self {
        Self { zone, position: position(name) }
    }
}

/// The part of a place's engines that a relay is told of: one in two to the power of so many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(super) struct Shares {
    near_bits: u8,
    far_bits: u8,
}

impl Shares {
    /// Follows a place that has `engines` now; returns whether a share has changed.
    pub fn follow(&mut self, engines: usize) -> bool {
        let before = *self;
        self.near_bits = bits_for(self.near_bits, engines, LEAST_NEAR, MOST_NEAR);
        self.far_bits = bits_for(self.far_bits, engines, LEAST_FAR, MOST_FAR);
        *self != before
    }

    /// The positions of the engines at `place` that `relay` is told of, first and last.
    pub fn range(self, place: &EnginePlace, relay: RelayPlace<'_>) -> (u64, u64) {
        let bits = if place.zone == relay.zone { self.near_bits } else { self.far_bits };
        let rest = u64::MAX.checked_shr(u32::from(bits)).unwrap_or(0);
        (relay.position & !rest, relay.position | rest)
    }
}

fn bits_for(mut bits: u8, engines: usize, least: usize, most: usize) -> u8 {
    let told = |bits: u8| engines >> bits;
    while told(bits) > most {
        bits += STEP_BITS;
    }
    while bits > 0 && told(bits) < least {
        bits -= STEP_BITS;
    }
    bits
}
