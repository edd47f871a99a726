//! Reading entries that are no longer in memory from the log file.

mod memory_disk;

use futures::executor::block_on;
use memory_disk::MemoryDisk;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_replication::file_format::FileFormat;
use saddlerelay_replication::log::{EntryPayload, LogEntry};
use saddlerelay_replication::storage::Storage;
use saddlerelay_replication::wal::WalRecord;
use saddlerelay_types::identity::ReplicaId;

const NO_LIMIT: u64 = u64::MAX / 2;

fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    let mut random = fastrand::Rng::with_seed(index * 1_000 + term);
    LogEntry { index, term, payload: EntryPayload::Command((0..size).map(|_| random.u8(..)).collect()) }
}

fn indexes(entries: &[LogEntry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

async fn open(disk: &MemoryDisk) -> Storage<MemoryDisk> {
    Storage::open(disk.clone(), ReplicaId(1), FileFormat::ANY_LEVEL).await.expect("the files are valid").0
}

async fn append(storage: &mut Storage<MemoryDisk>, entries: &[LogEntry]) {
    let records: Vec<WalRecord> = entries.iter().cloned().map(WalRecord::Entry).collect();
    storage.append(&records).await.expect("the write succeeds");
}

#[test]
fn at_least_two_entries_are_read_regardless_of_size() {
    block_on(async {
        let disk = MemoryDisk::default();
        let mut storage = open(&disk).await;
        let entries: Vec<LogEntry> = (1..=5).map(|index| entry(index, 1, 1_000)).collect();
        append(&mut storage, &entries).await;
        let read = async |first, bytes| storage.entries_from(first, bytes).await.expect("the file is valid");
        assert_eq!(indexes(&read(2, 10).await), [2, 3]);
        assert_eq!(indexes(&read(2, 3_500).await), [2, 3, 4]);
        assert_eq!(indexes(&read(5, 10).await), [5]);
        assert!(read(6, 10).await.is_empty() && read(0, 10).await.is_empty());
    });
}

#[test]
fn a_corrupt_entry_is_an_error() {
    block_on(async {
        let disk = MemoryDisk::default();
        let mut storage = open(&disk).await;
        append(&mut storage, &[entry(1, 1, 100), entry(2, 1, 100)]).await;
        disk.0.borrow_mut().get_mut("wal").expect("the log file exists")[60] ^= 1;
        assert!(storage.entries_from(1, NO_LIMIT).await.is_err());
        assert_eq!(storage.entries_from(2, NO_LIMIT).await.expect("this entry is valid"), [entry(2, 1, 100)]);
    });
}

/// An operation on the log.
#[derive(Clone, Debug)]
enum Change {
    /// Replaces the last `replaced` entries and appends `count + 1` entries of `size` bytes.
    Append { replaced: u8, count: u8, size: u8 },
    /// Writes a hard state.
    Vote,
    /// Removes the first `fraction / 256` of the entries, as after a snapshot.
    Compact(u8),
    /// Opens the files again.
    Reopen,
}

impl Arbitrary for Change {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 6 {
            0 => Self::Vote,
            1 => Self::Compact(u8::arbitrary(random)),
            2 => Self::Reopen,
            _ => Self::Append {
                replaced: u8::arbitrary(random) % 4,
                count: u8::arbitrary(random) % 5,
                size: u8::arbitrary(random),
            },
        }
    }
}

async fn returns_last_written_entries(changes: Vec<Change>) -> bool {
    let disk = MemoryDisk::default();
    let mut storage = open(&disk).await;
    let mut expected: Vec<LogEntry> = Vec::new();
    let mut next = 1;
    for (term, change) in (1..).zip(changes) {
        match change {
            Change::Append { replaced, count, size } => {
                let first = next - u64::from(replaced).min(expected.len() as u64);
                let new: Vec<LogEntry> =
                    (first..=first + u64::from(count)).map(|index| entry(index, term, size.into())).collect();
                append(&mut storage, &new).await;
                expected.retain(|entry| entry.index < first);
                expected.extend(new);
                next = first + u64::from(count) + 1;
            }
            Change::Vote => {
                let record = WalRecord::HardState { term, voted_for: None };
                storage.append(&[record]).await.expect("the write succeeds");
            }
            Change::Compact(fraction) => {
                let removed = expected.len() * usize::from(fraction) / 256;
                expected.drain(..removed);
                storage.rewrite(term, None, &expected).await.expect("the write succeeds");
            }
            // A compacted log can be opened only together with its snapshot, which this test does not write.
            Change::Reopen
                if expected.first().is_none_or(|first| first.index == 1) && next == expected.len() as u64 + 1 =>
            {
                storage = open(&disk).await;
            }
            Change::Reopen => {}
        }
        for (position, first) in expected.iter().enumerate() {
            let read = storage.entries_from(first.index, NO_LIMIT).await.expect("the file is valid");
            if read != expected[position..] {
                return false;
            }
        }
    }
    true
}

#[test]
fn the_file_returns_the_entries_last_written() {
    fn property(changes: Vec<Change>) -> bool {
        block_on(returns_last_written_entries(changes))
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<Change>) -> bool);
}
