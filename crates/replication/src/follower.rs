//! Following a leader: appending entries and installing snapshots.

use crate::log::{LogEntry, MemoryLog};
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, SnapshotPart};
use crate::replica::Replica;
use crate::segment_fetch::leader_last;
use crate::segments::{Segment, StoredSegments};
use crate::snapshot::Snapshot;
use crate::state::{State, StateMachine};
use crate::storage::{Storage, StorageError, write_snapshot};
use crate::wal::WalRecord;
use saddlerelay_runtime::{MAX_FRAME_BYTES, Runtime};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;

/// Identifies a snapshot that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotSource {
    leader: ReplicaId,
    term: u64,
    index: u64,
    level: FeatureLevel,
}

/// A snapshot that is being received in parts.
#[derive(Debug, Default)]
pub(crate) struct IncomingSnapshot {
    source: Option<SnapshotSource>,
    total: u64,
    bytes: Vec<u8>,
    /// The complete snapshot, while segments that it refers to are missing.
    complete: Option<Snapshot>,
}

impl IncomingSnapshot {
    /// Appends a part. A part of another snapshot replaces what was received so far.
    fn add_part(&mut self, source: SnapshotSource, part: &SnapshotPart) {
        if let Some(index) = self.kept_index(source, part.total) {
            self.source = Some(SnapshotSource { index, ..source });
        } else {
            let capacity = usize::try_from(part.total).unwrap_or(0).min(MAX_FRAME_BYTES);
            *self =
                Self { source: Some(source), total: part.total, bytes: Vec::with_capacity(capacity), complete: None };
        }
        if self.complete.is_none() && part.offset == self.bytes.len() as u64 {
            self.bytes.extend_from_slice(&part.bytes);
        }
    }

    /// Index of the snapshot that was received so far, if it is as good as the one from `source`, which may be another
    /// leader or of another term. Snapshots contain committed entries only, so all leaders have the same state at an
    /// index, and a complete snapshot serves in place of an older one. Parts of an incomplete one are continued if the
    /// size is the same; should its encoding differ, the checksum fails and the transfer begins anew.
    fn kept_index(&self, source: SnapshotSource, total: u64) -> Option<u64> {
        let kept = self.source.filter(|kept| kept.level == source.level)?;
        let is_kept = if self.complete.is_some() {
            kept.index >= source.index
        } else {
            kept.index == source.index && self.total == total
        };
        is_kept.then_some(kept.index)
    }

    /// Whether the snapshot is complete; fails if its checksum is wrong.
    fn decode_if_complete(&mut self, source: SnapshotSource, part: &SnapshotPart) -> Result<bool, CorruptSnapshot> {
        if self.complete.is_none() && self.bytes.len() as u64 == part.total {
            let bytes = std::mem::take(&mut self.bytes);
            self.complete = Some(Snapshot::decode(bytes).ok_or(CorruptSnapshot)?.at_level(source.level));
        }
        Ok(self.complete.is_some())
    }

    /// Segments of the complete snapshot that are not in `stored`.
    pub fn missing_segments(&self, stored: &StoredSegments) -> Vec<Segment> {
        let segments = self.complete.iter().flat_map(|snapshot| &snapshot.header.segments);
        segments.filter(|segment| !stored.contains(segment)).copied().collect()
    }

    /// Voters to fetch the snapshot's segments from, the sender of the snapshot last.
    pub fn segment_sources(&self) -> Vec<Member> {
        let (Some(complete), Some(source)) = (&self.complete, self.source) else {
            return Vec::new();
        };
        leader_last(complete.header.membership.voters(), Some(source.leader))
    }
}

/// The checksum of a received snapshot is wrong.
struct CorruptSnapshot;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    pub(crate) async fn append_entries(
        &self,
        header: Header,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<LogEntry>,
        commit: u64,
        level: FeatureLevel,
    ) -> ReplicaReply {
        let mut storage = self.inner.storage.lock().await;
        let own_term = self.inner.state.borrow().term;
        if header.term < own_term {
            return ReplicaReply::Append { term: own_term, accepted: false, index: 0 };
        }
        if let Err(error) = self.adopt_level(&mut storage, level).await {
            // The leader retries.
            spdlog::warn!("file format write failed", kv: { dependency = "disk", reason = error.to_string().as_str() });
            return ReplicaReply::Rejected;
        }
        let mut records = new_term_record(header.term, own_term);
        let last_sent_index = previous_index + entries.len() as u64;
        let log_match = {
            let mut state = self.inner.state.borrow_mut();
            self.record_leader_contact(&mut state, &header);
            missing_entries(&state, previous_index, previous_term, entries)
        };
        if let Ok(missing) = &log_match {
            records.extend(missing.iter().cloned().map(WalRecord::Entry));
        }
        if !records.is_empty() && storage.append(&records).await.is_err() {
            self.fail_storage();
            return ReplicaReply::Rejected;
        }
        let mut state = self.inner.state.borrow_mut();
        enter_term(&mut state, &header);
        match log_match {
            Err(index) => ReplicaReply::Append { term: header.term, accepted: false, index },
            Ok(missing) => {
                append_missing(&mut state, missing, last_sent_index, commit);
                ReplicaReply::Append { term: header.term, accepted: true, index: last_sent_index }
            }
        }
    }

    /// Receives a part of a snapshot. Once it is complete and no segment is missing, the snapshot is installed. An
    /// empty part at the end offset polls for that.
    pub(crate) async fn receive_snapshot_part(
        &self,
        header: Header,
        part: SnapshotPart,
        level: FeatureLevel,
    ) -> ReplicaReply {
        let own_term = self.inner.state.borrow().term;
        if header.term < own_term {
            return ReplicaReply::SnapshotPart { term: own_term, next_offset: 0 };
        }
        self.record_leader_contact(&mut self.inner.state.borrow_mut(), &header);
        let source = SnapshotSource { leader: header.from, term: header.term, index: part.index, level };
        {
            let mut incoming = self.inner.incoming_snapshot.borrow_mut();
            let received = incoming.get_or_insert_default();
            received.add_part(source, &part);
            match received.decode_if_complete(source, &part) {
                Ok(true) => {}
                Ok(false) => {
                    let next_offset = received.bytes.len() as u64;
                    return ReplicaReply::SnapshotPart { term: header.term, next_offset };
                }
                Err(CorruptSnapshot) => {
                    spdlog::warn!("received snapshot failed checksum", kv: { from = header.from.0, index = part.index });
                    return ReplicaReply::SnapshotPart { term: header.term, next_offset: 0 };
                }
            }
        }
        self.install_or_fetch(header).await
    }

    /// Installs the complete snapshot, or starts fetching missing segments.
    async fn install_or_fetch(&self, header: Header) -> ReplicaReply {
        let snapshot = {
            let mut incoming = self.inner.incoming_snapshot.borrow_mut();
            let missing = incoming.as_ref().map(|received| received.missing_segments(&self.inner.segments.borrow()));
            if missing.is_some_and(|missing| !missing.is_empty()) {
                drop(incoming);
                self.start_fetch();
                return ReplicaReply::FetchingSegments { term: header.term };
            }
            incoming.take().and_then(|received| received.complete)
        };
        match snapshot {
            Some(snapshot) => self.install_snapshot(header, snapshot).await,
            None => ReplicaReply::SnapshotPart { term: header.term, next_offset: 0 },
        }
    }

    /// Replaces the state with the snapshot, in memory and on disk.
    async fn install_snapshot(&self, header: Header, snapshot: Snapshot) -> ReplicaReply {
        let mut storage = self.inner.storage.lock().await;
        let (own_term, applied) = {
            let state = self.inner.state.borrow();
            (state.term, state.applied)
        };
        if header.term < own_term {
            return ReplicaReply::Append { term: own_term, accepted: false, index: 0 };
        }
        let index = snapshot.header.index;
        let segments = snapshot.header.segments.clone();
        let bytes = snapshot.encoded().len() as u64;
        let feature_level = snapshot.level.number();
        if index <= applied {
            return ReplicaReply::Append { term: header.term, accepted: true, index: applied };
        }
        let voted_for = self.inner.state.borrow().voted_for.filter(|_| header.term == own_term);
        if let Err(error) = self.prepare_level_of(&mut storage, &snapshot).await {
            // The leader retries.
            spdlog::warn!("file format write failed", kv: { dependency = "disk", reason = error.to_string().as_str() });
            return ReplicaReply::Rejected;
        }
        // The old state is dropped before the file is written, to limit memory use.
        self.replace_state(&snapshot);
        let snapshot_guard = self.inner.snapshot_file.lock().await;
        let written = write_snapshot(&self.inner.platform.disk(), snapshot, self.inner.format.get()).await;
        drop(snapshot_guard);
        let written = match written {
            Ok(()) => storage.rewrite(header.term, voted_for, &[]).await,
            Err(error) => Err(error),
        };
        if written.is_err() {
            self.fail_storage();
            return ReplicaReply::Rejected;
        }
        {
            let mut state = self.inner.state.borrow_mut();
            enter_term(&mut state, &header);
            state.synced = index;
            state.snapshot_index = index;
            state.applied_bytes_since_snapshot = 0;
        }
        drop(storage);
        self.remove_obsolete_segments(&segments).await;
        spdlog::info!("snapshot installed", kv: {
            from = header.from.0, term = header.term, index = index, bytes = bytes,
            segments = segments.len() as u64, applied_before = applied,
            feature_level = feature_level
        });
        ReplicaReply::Append { term: header.term, accepted: true, index }
    }

    /// Prepares the files for a snapshot that may be of another feature level.
    async fn prepare_level_of(&self, storage: &mut Storage<P::Disk>, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.adopt_level(storage, snapshot.level).await?;
        let is_same = self.inner.state.borrow().level == Some(snapshot.level);
        if is_same { Ok(()) } else { storage.add_level(snapshot.level).await }
    }

    /// Restores the state machine and the log from the snapshot. Its entries are committed, so this may precede the
    /// write to disk.
    fn replace_state(&self, snapshot: &Snapshot) {
        let mut state = self.inner.state.borrow_mut();
        state.state_machine.restore(snapshot.state(), snapshot.level);
        state.level = Some(snapshot.level);
        state.first_entry_level = None;
        let header = snapshot.header.clone();
        state.log = MemoryLog::new(header.index, header.term, header.membership);
        state.commit = header.index;
        state.applied = header.index;
    }

    pub(crate) fn record_leader_contact(&self, state: &mut State<S>, header: &Header) {
        let now = self.inner.platform.monotonic();
        state.adaptive_timeout.record_contact(now);
        state.last_leader_contact = now;
        if header.term >= state.term {
            state.leader = Some(header.from);
        }
        self.reset_election_timer(state);
    }
}

fn new_term_record(term: u64, own_term: u64) -> Vec<WalRecord> {
    let newer = term > own_term;
    newer.then_some(WalRecord::HardState { term, voted_for: None }).into_iter().collect()
}

fn enter_term<S: StateMachine>(state: &mut State<S>, header: &Header) {
    if header.term > state.term {
        state.set_term(header.term, None);
    }
    state.leader = Some(header.from);
    state.become_follower();
}

/// Entries of the message that the log lacks, or, if the log does not match, the index after which the leader should
/// retry.
fn missing_entries<S: StateMachine>(
    state: &State<S>,
    previous_index: u64,
    previous_term: u64,
    entries: Vec<LogEntry>,
) -> Result<Vec<LogEntry>, u64> {
    let base = state.log.base_index();
    if previous_index > state.log.last_index() {
        return Err(state.log.last_index());
    }
    if previous_index >= base && state.log.term_at(previous_index) != Some(previous_term) {
        return Err(previous_index.saturating_sub(1).min(state.commit.max(base)));
    }
    let is_in_log = |entry: &LogEntry| entry.index <= base || state.log.term_at(entry.index) == Some(entry.term);
    let first_missing = entries.iter().position(|entry| !is_in_log(entry));
    Ok(first_missing.map_or_else(Vec::new, |first| entries[first..].to_vec()))
}

fn append_missing<S: StateMachine>(state: &mut State<S>, missing: Vec<LogEntry>, last_sent_index: u64, commit: u64) {
    for entry in missing {
        assert!(entry.index > state.commit, "a committed entry is never replaced");
        state.synced = entry.index;
        state.log.push(entry);
    }
    state.commit = state.commit.max(commit.min(last_sent_index));
    state.apply_committed();
}
