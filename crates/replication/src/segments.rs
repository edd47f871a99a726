//! Segments: immutable parts of the state that are not included in snapshots. Each is written to its own file once,
//! and fetched once by a replica that lacks it, so that the cost of a snapshot does not grow with them.
//!
//! All replicas seal the same segments, as they apply the same commands. A snapshot is written only after the segments
//! that it refers to, and a segment's file is removed only after a snapshot that no longer refers to it. While a
//! leader sends a snapshot, it keeps the files of that snapshot's segments, as the receiver needs them to install it.

use crate::replica::Replica;
use crate::state::StateMachine;
use crate::storage::StorageError;
use bitcode::{Decode, Encode};
use saddlerelay_runtime::{Disk, Runtime};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::rc::{Rc, Weak};

/// Metadata of a segment, included in snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Segment {
    /// Sequence number in the order of sealing.
    pub number: u64,
    /// Length in bytes.
    pub bytes: u64,
    /// CRC-32 of the content.
    pub checksum: u32,
}

impl Segment {
    /// Metadata of a segment with the content `bytes`.
    pub fn of(number: u64, bytes: &[u8]) -> Self {
        Self { number, bytes: bytes.len() as u64, checksum: crc32fast::hash(bytes) }
    }

    /// Whether `bytes` are the content of this segment.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        Self::of(self.number, bytes) == *self
    }

    /// Whether `disk` has a file of the right length. The content is verified when it is read.
    pub(crate) async fn is_stored<D: Disk>(&self, disk: &D) -> io::Result<bool> {
        let end = disk.read_range(&file_name(self.number), self.bytes.saturating_sub(1), 2).await?;
        Ok(end.len() as u64 == self.bytes.min(1))
    }
}

fn file_name(number: u64) -> String {
    format!("segment-{number}")
}

/// Why a segment cannot be read.
#[derive(Debug)]
pub enum SegmentError {
    /// The state does not refer to this segment.
    Unknown,
    /// The file is missing or does not match the checksum.
    Damaged,
    /// An I/O operation failed.
    Io(io::Error),
}

impl fmt::Display for SegmentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => write!(formatter, "the state does not refer to it"),
            Self::Damaged => write!(formatter, "its file is missing or damaged"),
            Self::Io(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for SegmentError {}

/// Segments stored on this replica's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredSegments(BTreeMap<u64, Segment>);

impl StoredSegments {
    pub fn new(segments: &[Segment]) -> Self {
        Self(segments.iter().map(|segment| (segment.number, *segment)).collect())
    }

    pub fn contains(&self, segment: &Segment) -> bool {
        self.0.get(&segment.number) == Some(segment)
    }

    /// Numbers of segments older than the newest in `kept` that are in neither `kept` nor `being_sent`.
    fn obsolete(&self, kept: &[Segment], being_sent: &[Segment]) -> Vec<u64> {
        let newest = kept.last().map_or(0, |segment| segment.number);
        let is_kept = |number: &u64| kept.iter().chain(being_sent).any(|segment| segment.number == *number);
        self.0.keys().copied().filter(|number| *number < newest && !is_kept(number)).collect()
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Writes and syncs a segment. Serialized, as two writers of one file would share its temporary file.
    pub(crate) async fn store_segment(&self, segment: Segment, bytes: Vec<u8>) -> Result<(), StorageError> {
        let _guard = self.inner.segment_files.lock().await;
        self.inner.platform.disk().replace(&file_name(segment.number), bytes).await?;
        self.inner.segments.borrow_mut().0.insert(segment.number, segment);
        Ok(())
    }

    /// Writes sealed segments that are only in memory, and releases them.
    pub(crate) async fn store_new_segments(&self) -> Result<(), StorageError> {
        loop {
            let Some(segment) = self.inner.state.borrow().state_machine.unreleased_segment() else {
                return Ok(());
            };
            let bytes = self.inner.state.borrow().state_machine.segment_bytes(segment.number);
            let is_stored = self.inner.segments.borrow().contains(&segment);
            if let (Some(bytes), false) = (bytes, is_stored) {
                self.store_segment(segment, bytes.to_vec()).await?;
            }
            self.inner.state.borrow_mut().state_machine.release_segment(segment.number);
        }
    }

    /// Removes files of segments that are no longer needed for a snapshot with the segments `kept`. Segments of a
    /// snapshot that is being sent are kept until a later call.
    pub(crate) async fn remove_obsolete_segments(&self, kept: &[Segment]) {
        let outgoing: Vec<_> = self.inner.outgoing_snapshots.borrow().iter().filter_map(Weak::upgrade).collect();
        let being_sent: Vec<Segment> =
            outgoing.iter().flat_map(|snapshot| &snapshot.header.segments).copied().collect();
        let obsolete = self.inner.segments.borrow().obsolete(kept, &being_sent);
        for number in obsolete {
            if let Err(error) = self.inner.platform.disk().remove(&file_name(number)).await {
                // Retried after the next snapshot.
                spdlog::warn!("segment removal failed", kv: { number = number, reason = error.to_string().as_str() });
                continue;
            }
            self.inner.segments.borrow_mut().0.remove(&number);
        }
    }

    /// The segment with this number, if the state refers to it.
    pub fn segment(&self, number: u64) -> Option<Segment> {
        let segments = self.inner.state.borrow().state_machine.segments();
        segments.into_iter().find(|segment| segment.number == number)
    }

    /// Content of a segment, from memory or from this replica's disk.
    pub(crate) async fn read_own_segment(&self, number: u64) -> Result<Rc<Vec<u8>>, SegmentError> {
        self.read_verified(number, self.segment(number)).await
    }

    /// Like `read_own_segment`, but also reads segments to which the state no longer refers, as long as their files
    /// exist.
    pub(crate) async fn read_kept_segment(&self, number: u64) -> Result<Rc<Vec<u8>>, SegmentError> {
        let kept = || self.inner.segments.borrow().0.get(&number).copied();
        self.read_verified(number, self.segment(number).or_else(kept)).await
    }

    /// Whether the file of a segment that this replica is to receive is complete on its disk, left by a transfer before
    /// a restart. The segment then counts as stored.
    pub(crate) async fn adopt_stored_segment(&self, segment: Segment) -> bool {
        let _guard = self.inner.segment_files.lock().await;
        let is_complete = read_file(&self.inner.platform.disk(), &segment).await.is_ok();
        if is_complete {
            self.inner.segments.borrow_mut().0.insert(segment.number, segment);
        }
        is_complete
    }

    async fn read_verified(&self, number: u64, segment: Option<Segment>) -> Result<Rc<Vec<u8>>, SegmentError> {
        if let Some(bytes) = self.inner.state.borrow().state_machine.segment_bytes(number) {
            return Ok(bytes);
        }
        let segment = segment.ok_or(SegmentError::Unknown)?;
        let read = read_file(&self.inner.platform.disk(), &segment).await;
        if let Err(error) = &read {
            spdlog::warn!("segment read failed", kv: { number = number, reason = error.to_string().as_str() });
        }
        read.map(Rc::new)
    }
}

async fn read_file<D: Disk>(disk: &D, segment: &Segment) -> Result<Vec<u8>, SegmentError> {
    let read = disk.read(&file_name(segment.number)).await.map_err(SegmentError::Io)?;
    read.filter(|bytes| segment.matches(bytes)).ok_or(SegmentError::Damaged)
}
