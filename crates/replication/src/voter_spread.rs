//! Rates a set of voters by the zones of their machines: what remains after the loss of one zone or of several disks.
//!
//! Designed for groups of up to nine voters and for any number of zones. A rating counts voters only, so its cost does
//! not depend on the number of machines that could join.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Zones of replicas by address. An address without an entry is a zone of its own.
pub type Zones = BTreeMap<SocketAddr, String>;

/// What the loss of the zone with the most voters does to a group, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneLoss {
    /// A quorum remains.
    Survived,
    /// No quorum remains, although no zone holds a quorum. This is so with four voters of which two share a zone.
    Stops,
    /// The zone holds a quorum.
    TakesQuorum,
}

/// A set of voters by zones. A smaller value is a better spread; only sets of the same size compare meaningfully.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VoterSpread {
    zone_loss: ZoneLoss,
    /// Number of voters by zone, in descending order.
    counts: Vec<usize>,
}

/// The zone of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ZoneKey<'a> {
    Named(&'a str),
    /// A replica of unknown zone is a zone of its own.
    Unknown(SocketAddr),
}

impl<'a> ZoneKey<'a> {
    pub fn of(address: SocketAddr, zones: &'a Zones) -> Self {
        zones.get(&address).map_or(Self::Unknown(address), |zone| Self::Named(zone))
    }
}

fn count_by_zone<'a>(voters: &BTreeSet<SocketAddr>, zones: &'a Zones) -> BTreeMap<ZoneKey<'a>, usize> {
    let mut counts = BTreeMap::new();
    for address in voters {
        *counts.entry(ZoneKey::of(*address, zones)).or_default() += 1;
    }
    counts
}

fn most_crowded_named_zone<'a>(voters_by_zone: &BTreeMap<ZoneKey<'a>, usize>) -> Option<ZoneKey<'a>> {
    let named = voters_by_zone.iter().filter(|(zone, _)| matches!(zone, ZoneKey::Named(_)));
    named.max_by_key(|(_, count)| **count).map(|(zone, _)| *zone)
}

impl VoterSpread {
    /// The spread of the voters at these addresses. Several replicas at one address count once, as only the newest of
    /// them has a disk.
    pub fn of(voters: impl IntoIterator<Item = SocketAddr>, zones: &Zones) -> Self {
        Self::from_counts(count_by_zone(&voters.into_iter().collect(), zones))
    }

    /// The spread of the voters at these addresses and one more. If its zone is unknown while those of other voters are
    /// known, it may be in any of them and counts to the one with the most voters.
    pub fn with_added(voters: impl IntoIterator<Item = SocketAddr>, added: SocketAddr, zones: &Zones) -> Self {
        let voters: BTreeSet<SocketAddr> = voters.into_iter().collect();
        let mut voters_by_zone = count_by_zone(&voters, zones);
        if !voters.contains(&added) {
            let zone = match ZoneKey::of(added, zones) {
                named @ ZoneKey::Named(_) => named,
                unknown @ ZoneKey::Unknown(_) => most_crowded_named_zone(&voters_by_zone).unwrap_or(unknown),
            };
            *voters_by_zone.entry(zone).or_default() += 1;
        }
        Self::from_counts(voters_by_zone)
    }

    fn from_counts(voters_by_zone: BTreeMap<ZoneKey, usize>) -> Self {
        let mut counts: Vec<usize> = voters_by_zone.into_values().collect();
        counts.sort_unstable_by(|left, right| right.cmp(left));
        let voters: usize = counts.iter().sum();
        let quorum = voters / 2 + 1;
        let largest = counts.first().copied().unwrap_or_default();
        let zone_loss = if largest >= quorum {
            ZoneLoss::TakesQuorum
        } else if voters - largest < quorum {
            ZoneLoss::Stops
        } else {
            ZoneLoss::Survived
        };
        Self { zone_loss, counts }
    }

    /// What the loss of the zone with the most voters does.
    pub fn zone_loss(&self) -> ZoneLoss {
        self.zone_loss
    }
}

/// How many losses a group bears now without losing a quorum or committed entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of zones that may be lost, whichever they are.
    pub zones: usize,
    /// Number of disks that may be lost, whichever they are.
    pub disks: usize,
}

impl LossTolerance {
    /// The tolerance of a group with this quorum, of whose voters those at `sound` run and keep up.
    pub fn of(quorum: usize, sound: impl IntoIterator<Item = SocketAddr>, zones: &Zones) -> Self {
        let spread = VoterSpread::of(sound, zones);
        let sound: usize = spread.counts.iter().sum();
        let spare = sound.saturating_sub(quorum);
        let lost_with_zones = spread.counts.iter().scan(0, |lost, count| {
            *lost += count;
            Some(*lost)
        });
        Self { zones: lost_with_zones.take_while(|lost| *lost <= spare).count(), disks: spare }
    }
}
