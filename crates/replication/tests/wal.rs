//! Format of the write-ahead log: complete records are read back, torn writes are cut off, and corruption is rejected.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use saddlerelay_replication::log::{EntryPayload, LogEntry};
use saddlerelay_replication::wal::{self, WalError, WalRecord};
use saddlerelay_types::identity::ReplicaId;

#[derive(Clone, Debug)]
struct Record(WalRecord);

impl Arbitrary for Record {
    fn arbitrary(generator: &mut Gen) -> Self {
        let term = u64::arbitrary(generator) % 100;
        if bool::arbitrary(generator) {
            let voted_for = Option::<u64>::arbitrary(generator).map(ReplicaId);
            return Self(WalRecord::HardState { term, voted_for });
        }
        let payload = match u8::arbitrary(generator) % 3 {
            0 => EntryPayload::Empty,
            _ => EntryPayload::Command(Vec::arbitrary(generator)),
        };
        Self(WalRecord::Entry(LogEntry { index: u64::arbitrary(generator) % 1_000, term, payload }))
    }
}

fn records(records: &[Record]) -> Vec<WalRecord> {
    records.iter().map(|record| record.0.clone()).collect()
}

fn file(records: &[Record]) -> Vec<u8> {
    records.iter().flat_map(|record| wal::encode(&record.0)).collect()
}

fn check<T: quickcheck::Testable>(property: T) {
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 7)).tests(2_000).quickcheck(property);
}

#[test]
fn records_round_trip() {
    fn property(written: Vec<Record>) -> bool {
        let content = wal::read(&file(&written)).expect("the file is valid");
        content.records == records(&written) && content.torn_bytes == 0
    }
    check(property as fn(Vec<Record>) -> bool);
}

#[test]
fn a_truncated_file_keeps_complete_records_and_reports_the_torn_length() {
    fn property(written: Vec<Record>, cut: usize) -> bool {
        let bytes = file(&written);
        let cut = cut % (bytes.len() + 1);
        let content = wal::read(&bytes[..cut]).expect("a torn write is not corruption");
        let intact_bytes: usize = content.records.iter().map(|record| wal::encode(record).len()).sum();
        records(&written).starts_with(&content.records) && intact_bytes + content.torn_bytes == cut
    }
    check(property as fn(Vec<Record>, usize) -> bool);
}

/// A file system may extend a file before its data is written.
#[test]
fn zeros_at_the_end_are_a_torn_write() {
    fn property(written: Vec<Record>, zeros: u8) -> bool {
        let mut bytes = file(&written);
        bytes.extend(vec![0; usize::from(zeros)]);
        let content = wal::read(&bytes).expect("a torn write is not corruption");
        content.records == records(&written) && content.torn_bytes == usize::from(zeros)
    }
    check(property as fn(Vec<Record>, u8) -> bool);
}

/// Corruption of any byte must be detected. In particular, a corrupt length that points beyond the end of the file
/// must not look like a torn write, as acknowledged records would be dropped.
#[test]
fn a_changed_byte_is_rejected() {
    fn property(written: Vec<Record>, position: usize, change: u8) -> TestResult {
        let mut bytes = file(&written);
        if bytes.is_empty() || change == 0 {
            return TestResult::discard();
        }
        let position = position % bytes.len();
        bytes[position] ^= change;
        let rejected = matches!(wal::read(&bytes), Err(WalError::Corrupt { offset }) if offset <= position);
        TestResult::from_bool(rejected)
    }
    check(property as fn(Vec<Record>, usize, u8) -> TestResult);
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        // The result is irrelevant; the call must not panic.
        let _ = wal::read(&bytes);
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}
