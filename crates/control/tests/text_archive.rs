//! The text archive: a referenced text stays readable and unchanged while segments are sealed, written to disk, dropped
//! and restored.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::state::text_archive::{LoadedTexts, TextArchive, TextLocation};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Text sizes with which a few texts fill a segment of 1 MiB.
const SIZES: [usize; 5] = [0, 10, 70_000, 300_000, 1_500_000];

#[derive(Clone, Copy, Debug)]
enum Step {
    Append {
        size: usize,
    },
    RemoveReference {
        which: usize,
    },
    /// Writes the oldest unreleased segment to disk.
    Store,
    /// Restarts the process from a snapshot.
    Restore,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 12 {
            0 => Self::Restore,
            1..=2 => Self::RemoveReference { which: usize::arbitrary(generator) },
            3..=5 => Self::Store,
            _ => Self::Append { size: *generator.choose(&SIZES).expect("the list of sizes is not empty") },
        }
    }
}

/// An archive with a simulated disk.
#[derive(Default)]
struct ArchiveWithDisk {
    archive: TextArchive,
    disk: BTreeMap<u64, Rc<Vec<u8>>>,
}

impl ArchiveWithDisk {
    fn store_one(&mut self) -> bool {
        let Some(segment) = self.archive.unreleased_segment() else {
            return false;
        };
        let bytes = self.archive.segment_bytes(segment.number).expect("an unreleased segment is in memory");
        assert!(segment.matches(&bytes));
        self.disk.insert(segment.number, bytes);
        self.archive.release_segment(segment.number);
        true
    }

    /// Writes all segments before the snapshot that refers to them.
    fn restore(&mut self) {
        while self.store_one() {}
        let copy: TextArchive = bitcode::decode(&bitcode::encode(&self.archive)).expect("a snapshot decodes");
        assert_eq!(copy, self.archive);
        self.archive = copy;
    }

    fn read(&self, location: &TextLocation) -> Vec<u8> {
        let mut loaded = LoadedTexts::default();
        if let Some(text) = self.archive.text(location, &loaded) {
            return text.to_vec();
        }
        let segment = self.disk.get(&location.segment()).expect("a released segment is on disk");
        loaded.copy_from_segment(location.segment(), segment, &[*location]);
        self.archive.text(location, &loaded).expect("the text was loaded").to_vec()
    }
}

fn text_of(size: usize, seed: u64) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..size).map(|_| random.u8(..)).collect()
}

#[test]
fn every_referenced_text_is_read_unchanged() {
    fn check(steps: Vec<Step>) -> bool {
        let mut store = ArchiveWithDisk::default();
        let mut texts: Vec<(TextLocation, Vec<u8>)> = Vec::new();
        for (count, step) in steps.into_iter().enumerate() {
            match step {
                Step::Append { size } => {
                    let text = text_of(size, count as u64);
                    texts.push((store.archive.append(&text), text));
                }
                Step::RemoveReference { which } if !texts.is_empty() => {
                    let (location, _) = texts.swap_remove(which % texts.len());
                    store.archive.remove_reference(&location);
                }
                Step::RemoveReference { .. } => {}
                Step::Store => {
                    store.store_one();
                }
                Step::Restore => store.restore(),
            }
        }
        texts.iter().all(|(location, text)| store.read(location) == *text)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 7)).tests(150).quickcheck(check as fn(Vec<Step>) -> bool);
}

#[test]
fn memory_and_snapshot_sizes_are_bounded_while_the_disk_grows() {
    let mut store = ArchiveWithDisk::default();
    let text = text_of(100_000, 1);
    let mut snapshot_bytes = Vec::new();
    for _ in 0..400 {
        store.archive.append(&text);
        while store.store_one() {}
        snapshot_bytes.push(bitcode::encode(&store.archive).len());
    }
    let segments = store.archive.segments();
    let in_memory = segments.iter().filter_map(|segment| store.archive.segment_bytes(segment.number));
    assert!(in_memory.map(|bytes| bytes.len()).sum::<usize>() <= 8 * 1024 * 1024);
    assert_eq!(store.disk.values().map(|bytes| bytes.len()).sum::<usize>() / 1_000_000, 39);
    let largest = snapshot_bytes.iter().max().expect("there are snapshots");
    assert!(*largest < 1_200_000, "a snapshot of {largest} bytes");
}

#[test]
fn segment_is_dropped_with_its_last_reference() {
    let mut store = ArchiveWithDisk::default();
    let text = text_of(600_000, 1);
    let first = store.archive.append(&text);
    let second = store.archive.append(&text);
    let third = store.archive.append(&text);
    assert_eq!(store.archive.segments().len(), 1);
    store.archive.remove_reference(&first);
    assert_eq!(store.archive.segments().len(), 1);
    store.archive.remove_reference(&second);
    assert!(store.archive.segments().is_empty() && store.archive.unreleased_segment().is_none());
    assert_eq!(store.read(&third), text);
}
