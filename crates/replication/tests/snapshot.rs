//! Encoding of snapshots.

use quickcheck::QuickCheck;
use saddlerelay_replication::membership::{Member, Membership};
use saddlerelay_replication::segments::Segment;
use saddlerelay_replication::snapshot::{Snapshot, SnapshotHeader};
use saddlerelay_types::identity::ReplicaId;

fn header() -> SnapshotHeader {
    let member = Member { id: ReplicaId(7), address: ([10, 0, 0, 1], 1).into(), voter: true };
    SnapshotHeader {
        index: 9,
        term: 2,
        membership: Membership { members: vec![member] },
        segments: vec![Segment::of(3, b"text")],
    }
}

#[test]
fn a_snapshot_round_trips() {
    fn check(state: Vec<u8>) -> bool {
        let snapshot = Snapshot::new(header(), state.clone());
        let read = Snapshot::decode(snapshot.encoded().to_vec());
        read.is_some_and(|read| read == snapshot && read.state() == state && read.header == header())
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn a_corrupt_or_truncated_snapshot_is_rejected() {
    fn check(state: Vec<u8>, position: usize, bit: u8) -> bool {
        let encoded = Snapshot::new(header(), state).encoded().to_vec();
        let mut damaged = encoded.clone();
        let position = position % encoded.len();
        damaged[position] ^= 1 << (bit % 8);
        Snapshot::decode(damaged).is_none() && Snapshot::decode(encoded[..position].to_vec()).is_none()
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>, usize, u8) -> bool);
}
