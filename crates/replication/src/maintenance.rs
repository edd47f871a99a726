//! Snapshots, and recovery from failed disk writes.

use crate::replica::Replica;
use crate::snapshot::SnapshotHeader;
use crate::state::{State, StateMachine};
use crate::storage::{StorageError, write_snapshot};
use saddlerelay_runtime::Runtime;
use std::rc::Weak;
use std::time::Duration;

/// Interval between checks for a due snapshot or repair.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Takes snapshots when they are due, and repairs the log after a failed write.
    pub(crate) async fn maintain_storage(self) {
        loop {
            self.inner.platform.sleep(MAINTENANCE_INTERVAL).await;
            if self.inner.state.borrow().storage_failed {
                self.repair_storage().await;
            } else if self.store_new_segments().await.is_err() {
                self.fail_storage();
            } else if self.snapshot_is_due() {
                self.take_snapshot().await;
            }
            self.trim_memory();
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let state = self.inner.state.borrow();
        let config = &self.inner.options.config;
        let entries = state.applied - state.snapshot_index;
        // Spreads the snapshots of different replicas over time.
        let percent = 50 + state.identity.id.0 % 51;
        // A leader with peers behind delays its snapshot, to keep the log that they need.
        let delay_factor = if state.has_lagging_peers() { 2 } else { 1 };
        let snapshot_bytes = config.snapshot_bytes * percent / 100 * delay_factor;
        entries >= config.snapshot_entries || entries > 0 && state.applied_bytes_since_snapshot >= snapshot_bytes
    }

    /// Writes a snapshot without blocking appends, then compacts the log.
    async fn take_snapshot(&self) {
        let snapshot_guard = self.inner.snapshot_file.lock().await;
        let Ok(header) = self.write_current_snapshot().await else {
            self.fail_storage();
            return;
        };
        drop(snapshot_guard);
        let index = header.index;
        let mut storage = self.inner.storage.lock().await;
        let (term, voted_for, entries) = {
            let mut state = self.inner.state.borrow_mut();
            if state.snapshot_index >= index {
                // A newer snapshot from a leader was installed in the meantime.
                return;
            }
            let keep_from = self.first_kept_index(&state, index);
            let base = state.log.base_index().max(keep_from);
            state.log.compact(base);
            state.snapshot_index = index;
            state.applied_bytes_since_snapshot = 0;
            let entries = state.log.entries_from(base + 1, usize::MAX).unwrap_or_default();
            (state.term, state.voted_for, entries)
        };
        if storage.rewrite(term, voted_for, &entries).await.is_err() {
            self.fail_storage();
            return;
        }
        drop(storage);
        self.remove_obsolete_segments(&header.segments).await;
    }

    /// Index before the first entry that the log keeps behind a snapshot at `index`: those that the configuration keeps
    /// for every peer, and, while this replica leads, those that a reachable peer lacks, up to `memory_bytes_behind`.
    /// Such a peer would otherwise need the snapshot, with all segments that it refers to.
    fn first_kept_index(&self, state: &State<S>, index: u64) -> u64 {
        let config = &self.inner.options.config;
        let needed = self.lowest_needed_index(state).unwrap_or(index);
        let bounded = needed.max(state.log.excess_end(config.memory_bytes_behind));
        index.saturating_sub(config.trailing_entries).min(bounded)
    }

    /// Index before the first entry that a reachable peer needs, if this replica leads.
    fn lowest_needed_index(&self, state: &State<S>) -> Option<u64> {
        let outgoing = self.inner.outgoing_snapshots.borrow();
        let sent_index = outgoing.iter().filter_map(Weak::upgrade).map(|snapshot| snapshot.header.index).min();
        let now = self.inner.platform.monotonic();
        state.lowest_match_index(now, self.inner.options.config.replace_after, sent_index)
    }

    /// Writes a snapshot of the current state, after the segments that it refers to. The caller holds the lock on the
    /// snapshot file.
    async fn write_current_snapshot(&self) -> Result<SnapshotHeader, StorageError> {
        self.store_new_segments().await?;
        let snapshot = self.inner.state.borrow().snapshot();
        let header = snapshot.header.clone();
        let bytes = snapshot.encoded().len() as u64;
        write_snapshot(&self.inner.platform.disk(), snapshot, self.inner.format.get()).await?;
        spdlog::info!("snapshot written", kv: {
            index = header.index, bytes = bytes, segments = header.segments.len() as u64
        });
        Ok(header)
    }

    /// Removes applied entries from memory; the log file keeps them until the next snapshot.
    fn trim_memory(&self) {
        let config = &self.inner.options.config;
        let mut state = self.inner.state.borrow_mut();
        if state.log.bytes() <= config.memory_bytes {
            return;
        }
        let excess_end = state.log.excess_end(config.memory_bytes);
        let needed_from = self.lowest_needed_index(&state).unwrap_or(excess_end);
        let forced_end = state.log.excess_end(config.memory_bytes_behind);
        let compact_to = excess_end.min(needed_from).max(forced_end).min(state.applied);
        if compact_to > state.log.base_index() {
            state.log.compact(compact_to);
        }
    }

    /// Suspends the replica after a failed disk write, until the disk is repaired.
    pub(crate) fn fail_storage(&self) {
        let mut state = self.inner.state.borrow_mut();
        state.storage_failed = true;
        state.become_follower();
        spdlog::warn!("disk write failed, replica suspended", kv: { dependency = "disk", term = state.term, synced = state.synced });
        drop(state);
        self.inner.state_changed.notify();
    }

    /// Rewrites the log with the entries that are known to be synced or committed: other replicas may have committed
    /// entries that this disk failed to write, and an applied entry must not be lost. If memory no longer has all
    /// entries after the last snapshot, a new snapshot is written first.
    async fn repair_storage(&self) {
        let mut storage = self.inner.storage.lock().await;
        let log_has_gap = {
            let state = self.inner.state.borrow();
            state.log.base_index() > state.snapshot_index
        };
        if log_has_gap {
            let snapshot_guard = self.inner.snapshot_file.lock().await;
            let Ok(header) = self.write_current_snapshot().await else {
                return;
            };
            drop(snapshot_guard);
            let mut state = self.inner.state.borrow_mut();
            state.snapshot_index = header.index;
            state.synced = state.synced.max(header.index);
        }
        let (term, voted_for, entries, synced) = {
            let state = self.inner.state.borrow();
            let synced = state.synced.max(state.commit.min(state.log.last_index()));
            let in_memory = state.log.entries_from(state.log.base_index() + 1, usize::MAX).unwrap_or_default();
            let retained = in_memory.into_iter().filter(|entry| entry.index <= synced).collect::<Vec<_>>();
            (state.term, state.voted_for, retained, synced)
        };
        if storage.rewrite(term, voted_for, &entries).await.is_err() {
            return;
        }
        let mut state = self.inner.state.borrow_mut();
        state.log.truncate(synced);
        state.synced = synced;
        state.storage_failed = false;
        spdlog::info!("disk repaired, replica resumed", kv: { dependency = "disk", term = term, synced = synced });
    }
}
