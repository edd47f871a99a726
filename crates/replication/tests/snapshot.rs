//! Snapshots as bytes.

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
fn a_snapshot_is_read_back_whatever_the_state() {
    fn check(state: Vec<u8>) -> bool {
        let snapshot = Snapshot::new(header(), state.clone());
        let read = Snapshot::decode(snapshot.encoded().to_vec());
        read.is_some_and(|read| read == snapshot && read.state() == state && read.header == header())
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn a_damaged_or_cut_snapshot_is_refused() {
    fn check(state: Vec<u8>, place: usize, bit: u8) -> bool {
        let encoded = Snapshot::new(header(), state).encoded().to_vec();
        let mut damaged = encoded.clone();
        let place = place % encoded.len();
        damaged[place] ^= 1 << (bit % 8);
        Snapshot::decode(damaged).is_none() && Snapshot::decode(encoded[..place].to_vec()).is_none()
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>, usize, u8) -> bool);
}
