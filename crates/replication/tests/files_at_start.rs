//! Opening files after a power loss: states that a power loss can cause are recovered, anything else is rejected with
//! the file and the position.

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

/// An entry of `size` nonzero bytes, as a sector of zeros counts as unwritten.
fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    let mut random = fastrand::Rng::with_seed(index * 1_000 + term);
    LogEntry { index, term, payload: EntryPayload::Command((0..size).map(|_| random.u8(1..)).collect()) }
}

fn entries(indexes: std::ops::RangeInclusive<u64>, size: usize) -> Vec<LogEntry> {
    indexes.map(|index| entry(index, 1, size)).collect()
}

fn open(disk: &MemoryDisk) -> Result<Recovered, StorageError> {
    block_on(Storage::open(disk.clone(), OWN, FileFormat::ANY_LEVEL)).map(|(_, recovered)| recovered)
}

fn open_valid(disk: &MemoryDisk) -> Recovered {
    open(disk).unwrap_or_else(|error| panic!("valid files were rejected: {error}"))
}

fn open_error(disk: &MemoryDisk) -> String {
    match open(disk) {
        Ok(recovered) => panic!("invalid files were opened, with a log up to index {}", recovered.log.last_index()),
        Err(error) => error.to_string(),
    }
}

fn length_of(disk: &MemoryDisk, file: &str) -> usize {
    disk.0.borrow().get(file).map_or(0, Vec::len)
}

fn write_file(disk: &MemoryDisk, file: &str, bytes: Vec<u8>) {
    disk.0.borrow_mut().insert(file.to_string(), bytes);
}

fn remove_file(disk: &MemoryDisk, file: &str) {
    disk.0.borrow_mut().remove(file).expect("the file exists");
}

/// Creates the files of a replica that voted in term 1 and appended `batches`, one write and sync each. Returns the
/// end offset of each batch.
fn write_batches(disk: &MemoryDisk, batches: &[Vec<LogEntry>]) -> Vec<usize> {
    block_on(async {
        let (mut storage, _) =
            Storage::open(disk.clone(), OWN, FileFormat::ANY_LEVEL).await.expect("an empty folder opens");
        storage.append(&[WalRecord::HardState { term: 1, voted_for: Some(OWN) }]).await.expect("the write succeeds");
        let mut ends = Vec::new();
        for batch in batches {
            let records: Vec<WalRecord> = batch.iter().cloned().map(WalRecord::Entry).collect();
            storage.append(&records).await.expect("the write succeeds");
            ends.push(length_of(disk, "wal"));
        }
        ends
    })
}

fn snapshot(index: u64, term: u64, segments: Vec<Segment>) -> Snapshot {
    let membership = Membership::default().with_learner(OWN, ([10, 0, 0, 1], 7_000).into()).with_voter(OWN);
    Snapshot::new(SnapshotHeader { index, term, membership, segments }, b"state".to_vec())
}

fn store_snapshot(disk: &MemoryDisk, snapshot: Snapshot) {
    block_on(write_snapshot(disk, snapshot, FileFormat::ANY_LEVEL)).expect("the write succeeds");
}

#[test]
fn an_empty_folder_opens_as_a_new_replica() {
    let disk = MemoryDisk::default();
    let recovered = open_valid(&disk);
    assert_eq!(recovered.identity, Identity { id: OWN, group: None });
    assert_eq!((recovered.term, recovered.log.last_index()), (0, 0));
    // The identity on disk takes precedence over a new one.
    let reopened = block_on(Storage::open(disk, ReplicaId(8), FileFormat::ANY_LEVEL)).expect("the files are valid").1;
    assert_eq!(reopened.identity.id, OWN);
}

/// Files that are replaced atomically cannot be left empty by a power loss.
#[test]
fn empty_format_identity_or_snapshot_is_rejected() {
    for file in ["format", "identity", "snapshot"] {
        let disk = MemoryDisk::default();
        write_batches(&disk, &[entries(1..=3, 10)]);
        write_file(&disk, file, Vec::new());
        assert!(open_error(&disk).contains(&format!("file `{file}` is corrupt at byte 0")), "{file}");
    }
}

/// The log file was created, and the power failed before the first write.
#[test]
fn an_empty_log_file_opens_without_entries() {
    let disk = MemoryDisk::default();
    open_valid(&disk);
    write_file(&disk, "wal", Vec::new());
    let recovered = open_valid(&disk);
    assert_eq!((recovered.log.last_index(), recovered.torn_bytes), (0, 0));
}

#[test]
fn a_last_write_truncated_at_any_byte_is_cut_off() {
    let disk = MemoryDisk::default();
    let ends = write_batches(&disk, &[entries(1..=3, 40), entries(4..=6, 300)]);
    let original = disk.0.borrow()["wal"].clone();
    for cut in ends[0]..ends[1] {
        write_file(&disk, "wal", original[..cut].to_vec());
        let recovered = open_valid(&disk);
        assert!((3..6).contains(&recovered.log.last_index()), "cut at {cut}");
        assert_eq!(length_of(&disk, "wal") + recovered.torn_bytes, cut);
        assert_eq!(open_valid(&disk).torn_bytes, 0, "cut at {cut}");
    }
}

#[test]
fn trailing_zeros_are_cut_off() {
    let disk = MemoryDisk::default();
    let ends = write_batches(&disk, &[entries(1..=3, 40), entries(4..=4, 1_700), entries(5..=5, 1_700)]);
    let original = disk.0.borrow()["wal"].clone();
    for zeros in [1, 11, SECTOR_BYTES, 5_000] {
        let mut bytes = original.clone();
        bytes.resize(original.len() + zeros, 0);
        write_file(&disk, "wal", bytes);
        assert_eq!(open_valid(&disk).log.last_index(), 5, "{zeros} zeros");
    }
    for sector in ends[1] / SECTOR_BYTES + 1..=(ends[2] - 1) / SECTOR_BYTES {
        let mut bytes = original.clone();
        bytes[sector * SECTOR_BYTES..].fill(0);
        write_file(&disk, "wal", bytes);
        assert_eq!(open_valid(&disk).log.last_index(), 4, "zeros from sector {sector} on");
    }
}

/// Power loss may leave any sectors of the last write unwritten.
#[test]
fn missing_sectors_in_the_last_write_cut_off_that_write_only() {
    let disk = MemoryDisk::default();
    let ends = write_batches(&disk, &[entries(1..=3, 700), entries(4..=6, 700)]);
    let original = disk.0.borrow()["wal"].clone();
    let first = ends[0] / SECTOR_BYTES;
    let sectors = (ends[1] - 1) / SECTOR_BYTES + 1 - first;
    for missing in 1..1_u32 << sectors {
        let mut bytes = original.clone();
        for sector in (0..sectors).filter(|sector| missing & (1 << sector) != 0) {
            let start = ((first + sector) * SECTOR_BYTES).max(ends[0]);
            let end = ((first + sector + 1) * SECTOR_BYTES).min(ends[1]);
            bytes[start..end].fill(0);
        }
        write_file(&disk, "wal", bytes);
        let last = open_valid(&disk).log.last_index();
        assert!((3..6).contains(&last), "missing sectors {missing:b}: recovered up to index {last}");
    }
}

/// Entries before a later write were synced and may have been acknowledged.
#[test]
fn a_missing_sector_before_a_later_write_is_rejected() {
    let disk = MemoryDisk::default();
    let ends = write_batches(&disk, &[entries(1..=3, 700), entries(4..=6, 700), entries(7..=7, 1)]);
    let original = disk.0.borrow()["wal"].clone();
    for sector in 1..ends[1] / SECTOR_BYTES {
        let mut bytes = original.clone();
        bytes[sector * SECTOR_BYTES..(sector + 1) * SECTOR_BYTES].fill(0);
        write_file(&disk, "wal", bytes);
        assert!(open_error(&disk).contains("file `wal` is corrupt at byte"), "sector {sector}");
    }
}

#[test]
fn a_wrong_checksum_is_rejected_with_its_offset() {
    let disk = MemoryDisk::default();
    let ends = write_batches(&disk, &[entries(1..=1, 40), entries(2..=2, 40)]);
    disk.0.borrow_mut().get_mut("wal").expect("the log file exists")[ends[1] - 1] ^= 1;
    let message = open_error(&disk);
    let offset = message
        .split("corrupt at byte ")
        .nth(1)
        .and_then(|suffix| suffix.split(';').next())
        .expect("the message contains an offset");
    let offset: usize = offset.parse().expect("the offset is a number");
    assert!((ends[0]..ends[1]).contains(&offset), "{message}");
}

#[test]
fn temporary_files_of_interrupted_replacements_are_ignored() {
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=3, 40)]);
    for file in ["format", "identity", "snapshot", "wal", "segment-0"] {
        write_file(&disk, &format!("{file}.new"), vec![1, 2, 3]);
    }
    assert_eq!(open_valid(&disk).log.last_index(), 3);
}

/// A joining replica lost power between writing the snapshot and the log.
#[test]
fn without_a_log_file_the_log_starts_after_the_snapshot() {
    let disk = MemoryDisk::default();
    open_valid(&disk);
    store_snapshot(&disk, snapshot(9, 4, Vec::new()));
    let recovered = open_valid(&disk);
    assert_eq!((recovered.log.base_index(), recovered.log.last_index()), (9, 9));
    assert!(recovered.term >= 4, "a term below that of the last entry: {}", recovered.term);
}

#[test]
fn a_log_with_a_gap_after_the_snapshot_is_rejected() {
    for snapshot_index in [None, Some(2)] {
        let disk = MemoryDisk::default();
        open_valid(&disk);
        let bytes: Vec<u8> =
            entries(5..=6, 10).into_iter().map(WalRecord::Entry).flat_map(|record| wal::encode(&record)).collect();
        write_file(&disk, "wal", bytes);
        if let Some(index) = snapshot_index {
            store_snapshot(&disk, snapshot(index, 1, Vec::new()));
        }
        let message = open_error(&disk);
        assert!(message.contains("file `wal`") && message.contains("entry 5"), "{message}");
    }
}

/// A replica far behind lost power between writing the snapshot and the log.
#[test]
fn a_log_that_ends_before_the_snapshot_restarts_after_it() {
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=3, 40)]);
    store_snapshot(&disk, snapshot(9, 4, Vec::new()));
    let recovered = open_valid(&disk);
    assert_eq!((recovered.log.base_index(), recovered.log.last_index(), recovered.log.last_term()), (9, 9, 4));
    assert!(recovered.term >= 4, "a term below that of the last entry: {}", recovered.term);
}

/// Entry 4 of term 2 replaced entries 4 to 6 of term 1 and is included in the snapshot.
#[test]
fn replaced_entries_are_not_recovered_after_a_snapshot() {
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=6, 40), vec![entry(4, 2, 40)]]);
    store_snapshot(&disk, snapshot(4, 2, Vec::new()));
    assert_eq!(open_valid(&disk).log.last_index(), 4);
}

#[test]
fn a_missing_or_truncated_segment_is_rejected_with_its_number() {
    let bytes = vec![3; 100];
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=3, 40)]);
    store_snapshot(&disk, snapshot(3, 1, vec![Segment::of(4, &bytes)]));
    for length in [None, Some(99), Some(101)] {
        if let Some(length) = length {
            write_file(&disk, "segment-4", vec![3; length]);
        }
        assert!(open_error(&disk).contains("segment 4 is missing or cut short"), "{length:?}");
    }
    // The content is verified when it is read, and fetched from another replica if it is corrupt.
    write_file(&disk, "segment-4", vec![9; 100]);
    open_valid(&disk);
}

#[test]
fn a_missing_identity_is_rejected_if_there_is_a_log_or_a_snapshot() {
    let disk = MemoryDisk::default();
    open_valid(&disk);
    remove_file(&disk, "identity");
    assert_eq!(open_valid(&disk).identity.id, OWN);
    write_batches(&disk, &[entries(1..=3, 40)]);
    remove_file(&disk, "identity");
    assert!(open_error(&disk).contains("file `identity` is missing"));
    remove_file(&disk, "wal");
    store_snapshot(&disk, snapshot(9, 4, Vec::new()));
    assert!(open_error(&disk).contains("file `identity` is missing"));
}

#[test]
fn an_identity_without_a_format_is_rejected() {
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=3, 40)]);
    remove_file(&disk, "format");
    assert!(open_error(&disk).contains("the files are in format none"));
}

/// The vote must survive a power loss after the log was rewritten.
#[test]
fn rewriting_the_log_keeps_the_term_and_the_vote() {
    let disk = MemoryDisk::default();
    write_batches(&disk, &[entries(1..=3, 40)]);
    store_snapshot(&disk, snapshot(1, 1, Vec::new()));
    let vote = Some(ReplicaId(9));
    block_on(async {
        let (mut storage, _) =
            Storage::open(disk.clone(), OWN, FileFormat::ANY_LEVEL).await.expect("the files are valid");
        storage.rewrite(5, vote, &entries(2..=3, 40)).await.expect("the write succeeds");
    });
    let recovered = open_valid(&disk);
    assert_eq!((recovered.term, recovered.voted_for, recovered.log.last_index()), (5, vote, 3));
}
