//! Append-only archive of the texts of listed results.
//!
//! Texts are appended in log order to an open segment, which is part of the snapshot. A full segment is sealed, and
//! replication writes it to a separate file. Only the newest sealed segments stay in memory.

use bitcode::{Decode, Encode};
use saddlerelay_replication::segments::Segment;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Size in bytes at which the open segment is sealed.
pub const SEGMENT_BYTES: usize = 1024 * 1024;

/// Maximum bytes of segments that stay in memory after they are written to disk, for reads of recent results.
const CACHE_BYTES: u64 = 4 * 1024 * 1024;

/// Texts read from segments on disk, for one read of results.
#[derive(Clone, Debug, Default)]
pub struct LoadedTexts(BTreeMap<TextLocation, Vec<u8>>);

impl LoadedTexts {
    /// Copies the texts at those of `locations` that are in segment `number`, whose bytes are `segment`.
    pub fn copy_from_segment(&mut self, number: u64, segment: &[u8], locations: &[TextLocation]) {
        for location in locations.iter().filter(|location| location.segment == number) {
            if let Some(text) = location.slice(segment) {
                self.0.insert(*location, text.to_vec());
            }
        }
    }
}

/// Location of a text in the archive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TextLocation {
    segment: u64,
    offset: u32,
    length: u32,
}

impl TextLocation {
    /// Number of the segment that contains the text.
    pub fn segment(&self) -> u64 {
        self.segment
    }

    /// Length of the text in bytes.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    fn slice<'a>(&self, segment: &'a [u8]) -> Option<&'a [u8]> {
        let start = self.offset as usize;
        segment.get(start..start + self.length as usize)
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct SealedSegment {
    segment: Segment,
    /// Number of its texts that are still referenced.
    texts: u32,
}

#[derive(Clone, Debug)]
struct CachedSegment {
    bytes: Rc<Vec<u8>>,
    /// Whether the segment is not yet confirmed to be on disk.
    unreleased: bool,
}

/// The open segment, the sealed segments and the in-memory cache.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct TextArchive {
    sealed: BTreeMap<u64, SealedSegment>,
    /// Number of the open segment.
    open_segment: u64,
    /// Bytes of the open segment.
    open_bytes: Vec<u8>,
    /// Number of texts in the open segment that are still referenced.
    open_texts: u32,
    /// Sealed segments in memory, by number. Not replicated; differs among replicas.
    #[bitcode(skip)]
    cache: BTreeMap<u64, CachedSegment>,
}

impl PartialEq for TextArchive {
    /// Compares the replicated fields only.
    fn eq(&self, other: &Self) -> bool {
        let counters = |archive: &Self| (archive.open_segment, archive.open_texts);
        counters(self) == counters(other) && self.sealed == other.sealed && self.open_bytes == other.open_bytes
    }
}

impl TextArchive {
    /// Appends a text.
    pub fn append(&mut self, text: &[u8]) -> TextLocation {
        let location = TextLocation {
            segment: self.open_segment,
            offset: self.open_bytes.len() as u32,
            length: text.len() as u32,
        };
        self.open_bytes.extend_from_slice(text);
        self.open_texts += 1;
        if self.open_bytes.len() >= SEGMENT_BYTES {
            self.seal();
        }
        location
    }

    fn seal(&mut self) {
        let number = self.open_segment;
        let bytes = std::mem::take(&mut self.open_bytes);
        let texts = std::mem::take(&mut self.open_texts);
        self.open_segment += 1;
        if texts > 0 {
            self.sealed.insert(number, SealedSegment { segment: Segment::of(number, &bytes), texts });
            self.cache.insert(number, CachedSegment { bytes: Rc::new(bytes), unreleased: true });
        }
    }

    /// Drops the reference to a text. A sealed segment is dropped with its last reference.
    pub fn remove_reference(&mut self, location: &TextLocation) {
        if location.segment == self.open_segment {
            self.open_texts = self.open_texts.saturating_sub(1);
            return;
        }
        let Some(sealed) = self.sealed.get_mut(&location.segment) else {
            return;
        };
        sealed.texts = sealed.texts.saturating_sub(1);
        if sealed.texts == 0 {
            self.sealed.remove(&location.segment);
            self.cache.remove(&location.segment);
        }
    }

    /// Returns a text from memory or from `loaded`; `None` if its segment must first be read from disk.
    pub fn text<'a>(&'a self, location: &TextLocation, loaded: &'a LoadedTexts) -> Option<&'a [u8]> {
        if location.segment == self.open_segment {
            return location.slice(&self.open_bytes);
        }
        let cached = self.cache.get(&location.segment).and_then(|segment| location.slice(&segment.bytes));
        cached.or_else(|| loaded.0.get(location).map(Vec::as_slice))
    }

    /// The sealed segments, in ascending order of number.
    pub fn segments(&self) -> Vec<Segment> {
        self.sealed.values().map(|sealed| sealed.segment).collect()
    }

    /// A sealed segment's bytes, if they are in memory.
    pub fn segment_bytes(&self, number: u64) -> Option<Rc<Vec<u8>>> {
        self.cache.get(&number).map(|segment| segment.bytes.clone())
    }

    /// The oldest sealed segment that is not yet confirmed to be on disk.
    pub fn unreleased_segment(&self) -> Option<Segment> {
        let (number, _) = self.cache.iter().find(|(_, segment)| segment.unreleased)?;
        self.sealed.get(number).map(|sealed| sealed.segment)
    }

    /// Marks a segment as written to disk. It is evicted from memory once newer segments exceed `CACHE_BYTES`.
    pub fn release_segment(&mut self, number: u64) {
        if let Some(segment) = self.cache.get_mut(&number) {
            segment.unreleased = false;
        }
        let mut newer_bytes = 0;
        self.cache = std::mem::take(&mut self.cache)
            .into_iter()
            .rev()
            .filter(|(_, segment)| {
                newer_bytes += segment.bytes.len() as u64;
                segment.unreleased || newer_bytes <= CACHE_BYTES
            })
            .collect();
    }
}
