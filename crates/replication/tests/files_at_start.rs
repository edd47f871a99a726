//! What a replica does with the files that it finds when it starts: what a loss of power can leave is used, anything else is
//! refused with the file and the place. `docs/design/replica-files.md` has a row for each.

mod memory_disk;

use futures::executor::block_on;
use memory_disk::MemoryDisk;
use saddlerelay_replication::file_format::FileFormat;
use saddlerelay_replication::log::{EntryPayload, LogEntry};
use saddlerelay_replication::membership::Membership;
use saddlerelay_replication::segments::Segment;
use saddlerelay_replication::snapshot::{Snapshot, SnapshotHeader};
use saddlerelay_replication::storage::{Identity, Recovered, Storage, StorageError, write_snapshot};
use saddlerelay_replication::wal::{self, WalRecord};
use saddlerelay_types::identity::ReplicaId;

const OWN: ReplicaId = ReplicaId(7);
const SECTOR_BYTES: usize = 512;

/// An entry of so many bytes, none of them zero: a whole sector of zeros was never written.
fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    let mut random = fastrand::Rng::with_seed(index * 1_000 + term);
    LogEntry { index, term, payload: EntryPayload::Command((0..size).map(|_| random.u8(1..)).collect()) }
}

fn entries(indexes: std::ops::RangeInclusive<u64>, size: usize) -> Vec<LogEntry> {
    indexes.map(|index| entry(index, 1, size)).collect()
}

fn open(disk: &MemoryDisk) -> Result<Recovered, StorageError> {
    block_on(Storage::open(disk.clone(), OWN, FileFormat::Raised)).map(|(_, recovered)| recovered)
}

fn opened(disk: &MemoryDisk) -> Recovered {
    open(disk).unwrap_or_else(|error| panic!("refused: {error}"))
}

fn refusal(disk: &MemoryDisk) -> String {
    match open(disk) {
        Ok(recovered) => panic!("opened with a log up to {}", recovered.log.last_index()),
        Err(error) => error.to_string(),
    }
}

fn length_of(disk: &MemoryDisk, file: &str) -> usize {
    disk.0.borrow().get(file).map_or(0, Vec::len)
}

fn put(disk: &MemoryDisk, file: &str, bytes: Vec<u8>) {
    disk.0.borrow_mut().insert(file.to_string(), bytes);
}

fn remove(disk: &MemoryDisk, file: &str) {
    disk.0.borrow_mut().remove(file).expect("the file is there");
}

/// Files of a replica that voted in term 1 and appended `batches`, one write and sync each. Returns where each ends.
fn written(disk: &MemoryDisk, batches: &[Vec<LogEntry>]) -> Vec<usize> {
    block_on(async {
        let (mut storage, _) = Storage::open(disk.clone(), OWN, FileFormat::Raised).await.expect("an empty folder");
        storage.append(&[WalRecord::HardState { term: 1, voted_for: Some(OWN) }]).await.expect("there is room");
        let mut ends = Vec::new();
        for batch in batches {
            let records: Vec<WalRecord> = batch.iter().cloned().map(WalRecord::Entry).collect();
            storage.append(&records).await.expect("there is room");
            ends.push(length_of(disk, "wal"));
        }
        ends
    })
}

fn snapshot(index: u64, term: u64, segments: Vec<Segment>) -> Snapshot {
    let membership = Membership::default().with_learner(OWN, ([10, 0, 0, 1], 7_000).into()).with_voter(OWN);
    Snapshot::new(SnapshotHeader { index, term, membership, segments }, b"state".to_vec())
}

fn with_snapshot(disk: &MemoryDisk, snapshot: Snapshot) {
    block_on(write_snapshot(disk, snapshot, FileFormat::Raised)).expect("there is room");
}

#[test]
fn an_empty_folder_is_a_new_replica() {
    let disk = MemoryDisk::default();
    let recovered = opened(&disk);
    assert_eq!(recovered.identity, Identity { id: OWN, group: None });
    assert_eq!((recovered.term, recovered.log.last_index()), (0, 0));
    // It keeps the identity that it has written.
    let again = block_on(Storage::open(disk, ReplicaId(8), FileFormat::Raised)).expect("its own files").1;
    assert_eq!(again.identity.id, OWN);
}

/// These are synced before they get their names: a loss of power does not leave them empty.
#[test]
fn empty_files_that_are_never_empty_are_refused_by_name() {
    for file in ["format", "identity", "snapshot"] {
        let disk = MemoryDisk::default();
        written(&disk, &[entries(1..=3, 10)]);
        put(&disk, file, Vec::new());
        assert!(refusal(&disk).contains(&format!("file `{file}` is corrupt at byte 0")), "{file}");
    }
}

/// The name was made and nothing was written yet.
#[test]
fn an_empty_log_is_a_log_without_entries() {
    let disk = MemoryDisk::default();
    opened(&disk);
    put(&disk, "wal", Vec::new());
    let recovered = opened(&disk);
    assert_eq!((recovered.log.last_index(), recovered.torn_bytes), (0, 0));
}

#[test]
fn the_last_write_torn_at_any_byte_is_cut_off_once() {
    let disk = MemoryDisk::default();
    let ends = written(&disk, &[entries(1..=3, 40), entries(4..=6, 300)]);
    let whole = disk.0.borrow()["wal"].clone();
    for cut in ends[0]..ends[1] {
        put(&disk, "wal", whole[..cut].to_vec());
        let recovered = opened(&disk);
        assert!((3..6).contains(&recovered.log.last_index()), "cut at {cut}");
        assert_eq!(length_of(&disk, "wal") + recovered.torn_bytes, cut);
        assert_eq!(opened(&disk).torn_bytes, 0, "cut at {cut}");
    }
}

#[test]
fn zeros_behind_the_last_write_torn_at_any_sector_are_cut_off() {
    let disk = MemoryDisk::default();
    let ends = written(&disk, &[entries(1..=3, 40), entries(4..=4, 1_700), entries(5..=5, 1_700)]);
    let whole = disk.0.borrow()["wal"].clone();
    for zeros in [1, 11, SECTOR_BYTES, 5_000] {
        let mut bytes = whole.clone();
        bytes.resize(whole.len() + zeros, 0);
        put(&disk, "wal", bytes);
        assert_eq!(opened(&disk).log.last_index(), 5, "{zeros} zeros");
    }
    for sector in ends[1] / SECTOR_BYTES + 1..=(ends[2] - 1) / SECTOR_BYTES {
        let mut bytes = whole.clone();
        bytes[sector * SECTOR_BYTES..].fill(0);
        put(&disk, "wal", bytes);
        assert_eq!(opened(&disk).log.last_index(), 4, "zeros from sector {sector} on");
    }
}

/// Any of the sectors of the last write may not have been written.
#[test]
fn sectors_missing_in_the_last_write_cut_it_off_and_nothing_before_it() {
    let disk = MemoryDisk::default();
    let ends = written(&disk, &[entries(1..=3, 700), entries(4..=6, 700)]);
    let whole = disk.0.borrow()["wal"].clone();
    let first = ends[0] / SECTOR_BYTES;
    let sectors = (ends[1] - 1) / SECTOR_BYTES + 1 - first;
    for missing in 1..1_u32 << sectors {
        let mut bytes = whole.clone();
        for sector in (0..sectors).filter(|sector| missing & (1 << sector) != 0) {
            let start = ((first + sector) * SECTOR_BYTES).max(ends[0]);
            let end = ((first + sector + 1) * SECTOR_BYTES).min(ends[1]);
            bytes[start..end].fill(0);
        }
        put(&disk, "wal", bytes);
        let last = opened(&disk).log.last_index();
        assert!((3..6).contains(&last), "sectors {missing:b}: up to {last}");
    }
}

/// What a later write stands behind was synced before it, and may have been acknowledged.
#[test]
fn a_sector_missing_before_a_later_write_is_refused() {
    let disk = MemoryDisk::default();
    let ends = written(&disk, &[entries(1..=3, 700), entries(4..=6, 700), entries(7..=7, 1)]);
    let whole = disk.0.borrow()["wal"].clone();
    for sector in 1..ends[1] / SECTOR_BYTES {
        let mut bytes = whole.clone();
        bytes[sector * SECTOR_BYTES..(sector + 1) * SECTOR_BYTES].fill(0);
        put(&disk, "wal", bytes);
        assert!(refusal(&disk).contains("file `wal` is corrupt at byte"), "sector {sector}");
    }
}

#[test]
fn a_wrong_checksum_is_refused_with_its_place() {
    let disk = MemoryDisk::default();
    let ends = written(&disk, &[entries(1..=1, 40), entries(2..=2, 40)]);
    disk.0.borrow_mut().get_mut("wal").expect("the log's file")[ends[1] - 1] ^= 1;
    let told = refusal(&disk);
    let place = told.split("corrupt at byte ").nth(1).and_then(|rest| rest.split(';').next()).expect("a place");
    let place: usize = place.parse().expect("a number");
    assert!((ends[0]..ends[1]).contains(&place), "{told}");
}

#[test]
fn files_that_were_not_renamed_yet_are_left_alone() {
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=3, 40)]);
    for file in ["format", "identity", "snapshot", "wal", "segment-0"] {
        put(&disk, &format!("{file}.new"), vec![1, 2, 3]);
    }
    assert_eq!(opened(&disk).log.last_index(), 3);
}

/// A replica that joins has written the snapshot and not its log yet.
#[test]
fn a_snapshot_without_its_log_is_a_log_that_begins_behind_it() {
    let disk = MemoryDisk::default();
    opened(&disk);
    with_snapshot(&disk, snapshot(9, 4, Vec::new()));
    let recovered = opened(&disk);
    assert_eq!((recovered.log.base_index(), recovered.log.last_index()), (9, 9));
    assert!(recovered.term >= 4, "a term below that of the last entry: {}", recovered.term);
}

#[test]
fn a_log_that_begins_behind_a_gap_is_refused() {
    for held in [None, Some(2)] {
        let disk = MemoryDisk::default();
        opened(&disk);
        let bytes: Vec<u8> =
            entries(5..=6, 10).into_iter().map(WalRecord::Entry).flat_map(|record| wal::encode(&record)).collect();
        put(&disk, "wal", bytes);
        if let Some(index) = held {
            with_snapshot(&disk, snapshot(index, 1, Vec::new()));
        }
        let told = refusal(&disk);
        assert!(told.contains("file `wal`") && told.contains("entry 5"), "{told}");
    }
}

/// A replica that was far behind has written the snapshot and not its log yet.
#[test]
fn a_log_that_ends_before_the_snapshot_is_a_log_that_begins_behind_it() {
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=3, 40)]);
    with_snapshot(&disk, snapshot(9, 4, Vec::new()));
    let recovered = opened(&disk);
    assert_eq!((recovered.log.base_index(), recovered.log.last_index(), recovered.log.last_term()), (9, 9, 4));
    assert!(recovered.term >= 4, "a term below that of the last entry: {}", recovered.term);
}

/// Entry 4 of term 2 replaced 4 to 6 of term 1, and the snapshot holds it.
#[test]
fn entries_that_were_replaced_do_not_come_back_behind_a_snapshot() {
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=6, 40), vec![entry(4, 2, 40)]]);
    with_snapshot(&disk, snapshot(4, 2, Vec::new()));
    assert_eq!(opened(&disk).log.last_index(), 4);
}

#[test]
fn a_segment_that_is_missing_or_of_another_length_is_refused_and_named() {
    let bytes = vec![3; 100];
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=3, 40)]);
    with_snapshot(&disk, snapshot(3, 1, vec![Segment::of(4, &bytes)]));
    for length in [None, Some(99), Some(101)] {
        if let Some(length) = length {
            put(&disk, "segment-4", vec![3; length]);
        }
        assert!(refusal(&disk).contains("segment 4 is missing or cut short"), "{length:?}");
    }
    // What it holds is checked when it is read, and another replica's taken if it is wrong.
    put(&disk, "segment-4", vec![9; 100]);
    opened(&disk);
}

#[test]
fn a_format_without_an_identity_is_a_new_replica_unless_there_is_a_log_or_a_snapshot() {
    let disk = MemoryDisk::default();
    opened(&disk);
    remove(&disk, "identity");
    assert_eq!(opened(&disk).identity.id, OWN);
    written(&disk, &[entries(1..=3, 40)]);
    remove(&disk, "identity");
    assert!(refusal(&disk).contains("file `identity` is missing"));
    remove(&disk, "wal");
    with_snapshot(&disk, snapshot(9, 4, Vec::new()));
    assert!(refusal(&disk).contains("file `identity` is missing"));
}

#[test]
fn an_identity_without_a_format_is_refused() {
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=3, 40)]);
    remove(&disk, "format");
    assert!(refusal(&disk).contains("the files are in format none"));
}

/// The vote binds the replica also when the power is lost before anything is appended to the new log.
#[test]
fn a_log_that_was_cut_keeps_the_term_and_the_vote() {
    let disk = MemoryDisk::default();
    written(&disk, &[entries(1..=3, 40)]);
    with_snapshot(&disk, snapshot(1, 1, Vec::new()));
    let vote = Some(ReplicaId(9));
    block_on(async {
        let (mut storage, _) = Storage::open(disk.clone(), OWN, FileFormat::Raised).await.expect("sound files");
        storage.rewrite(5, vote, &entries(2..=3, 40)).await.expect("there is room");
    });
    let recovered = opened(&disk);
    assert_eq!((recovered.term, recovered.voted_for, recovered.log.last_index()), (5, vote, 3));
}
