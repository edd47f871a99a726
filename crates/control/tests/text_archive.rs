//! The texts of results outside snapshots: whatever is sealed, released, expired or restored, a text that is referred to
//! reads as it was listed.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::state::text_archive::{LoadedTexts, TextArchive, TextPlace};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Sizes around what fills a segment of one MiB within a few texts.
const SIZES: [usize; 5] = [0, 10, 70_000, 300_000, 1_500_000];

#[derive(Clone, Copy, Debug)]
enum Step {
    Append {
        size: usize,
    },
    Forget {
        which: usize,
    },
    /// The oldest segment that only memory holds goes to disk.
    Store,
    /// The process starts again from a snapshot.
    Restore,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 12 {
            0 => Self::Restore,
            1..=2 => Self::Forget { which: usize::arbitrary(generator) },
            3..=5 => Self::Store,
            _ => Self::Append { size: *generator.choose(&SIZES).expect("there are sizes") },
        }
    }
}

/// An archive with a disk beside it.
#[derive(Default)]
struct Kept {
    archive: TextArchive,
    disk: BTreeMap<u64, Rc<Vec<u8>>>,
}

impl Kept {
    fn store_one(&mut self) -> bool {
        let Some(segment) = self.archive.unreleased_segment() else {
            return false;
        };
        let bytes = self.archive.segment_bytes(segment.number).expect("it is in memory until it is released");
        assert!(segment.matches(&bytes));
        self.disk.insert(segment.number, bytes);
        self.archive.release_segment(segment.number);
        true
    }

    /// A snapshot is written after the segments that it refers to.
    fn restore(&mut self) {
        while self.store_one() {}
        let copy: TextArchive = bitcode::decode(&bitcode::encode(&self.archive)).expect("a snapshot can be read");
        assert_eq!(copy, self.archive);
        self.archive = copy;
    }

    fn read(&self, place: &TextPlace) -> Vec<u8> {
        let mut loaded = LoadedTexts::default();
        if let Some(text) = self.archive.text(place, &loaded) {
            return text.to_vec();
        }
        let segment = self.disk.get(&place.segment()).expect("a released segment is on disk");
        loaded.take_from(place.segment(), segment, &[*place]);
        self.archive.text(place, &loaded).expect("it was loaded").to_vec()
    }
}

fn text_of(size: usize, seed: u64) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..size).map(|_| random.u8(..)).collect()
}

#[test]
fn every_text_that_is_referred_to_reads_as_it_was_listed() {
    fn check(steps: Vec<Step>) -> bool {
        let mut kept = Kept::default();
        let mut texts: Vec<(TextPlace, Vec<u8>)> = Vec::new();
        for (count, step) in steps.into_iter().enumerate() {
            match step {
                Step::Append { size } => {
                    let text = text_of(size, count as u64);
                    texts.push((kept.archive.append(&text), text));
                }
                Step::Forget { which } if !texts.is_empty() => {
                    let (place, _) = texts.swap_remove(which % texts.len());
                    kept.archive.forget(&place);
                }
                Step::Forget { .. } => {}
                Step::Store => {
                    kept.store_one();
                }
                Step::Restore => kept.restore(),
            }
        }
        texts.iter().all(|(place, text)| kept.read(place) == *text)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 7)).tests(150).quickcheck(check as fn(Vec<Step>) -> bool);
}

#[test]
fn memory_and_snapshots_do_not_grow_with_what_is_on_disk() {
    let mut kept = Kept::default();
    let text = text_of(100_000, 1);
    let mut snapshot_bytes = Vec::new();
    for _ in 0..400 {
        kept.archive.append(&text);
        while kept.store_one() {}
        snapshot_bytes.push(bitcode::encode(&kept.archive).len());
    }
    let segments = kept.archive.segments();
    let in_memory = segments.iter().filter_map(|segment| kept.archive.segment_bytes(segment.number));
    assert!(in_memory.map(|bytes| bytes.len()).sum::<usize>() <= 8 * 1024 * 1024);
    assert_eq!(kept.disk.values().map(|bytes| bytes.len()).sum::<usize>() / 1_000_000, 39);
    let largest = snapshot_bytes.iter().max().expect("there are snapshots");
    assert!(*largest < 1_200_000, "a snapshot of {largest} bytes");
}

#[test]
fn a_segment_goes_with_the_last_text_that_is_referred_to() {
    let mut kept = Kept::default();
    let text = text_of(600_000, 1);
    let first = kept.archive.append(&text);
    let second = kept.archive.append(&text);
    let third = kept.archive.append(&text);
    assert_eq!(kept.archive.segments().len(), 1);
    kept.archive.forget(&first);
    assert_eq!(kept.archive.segments().len(), 1);
    kept.archive.forget(&second);
    assert!(kept.archive.segments().is_empty() && kept.archive.unreleased_segment().is_none());
    assert_eq!(kept.read(&third), text);
}
