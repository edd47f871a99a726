//! Leading: writing proposals and replicating them to peers.

use crate::calls::Channel;
use crate::log::{EntryPayload, LogEntry};
use crate::membership::Member;
use crate::membership_change::{log_proposed_membership, may_append_membership};
use crate::message::{Header, ReplicaReply, ReplicaRequest, SnapshotPart};
use crate::replica::{Proposal, Replica};
use crate::snapshot::Snapshot;
use crate::state::{Leadership, Progress, Role, State, StateMachine};
use crate::wal::WalRecord;
use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, future};
use saddlerelay_rpc::client::{CallError, LevelSelection};
use saddlerelay_runtime::Runtime;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Maximum number of proposals in one write.
const MAX_BATCH_PROPOSALS: usize = 512;

/// Size in bytes at which a batch of proposals is closed; the last proposal may exceed it. The next write, and
/// messages that need the storage lock, wait until the batch is synced.
const MAX_BATCH_BYTES: u64 = 512 * 1024;

/// Maximum size in bytes of the entries in one message; a single larger entry is still sent. The peer acknowledges a
/// message as a whole, so large ones delay its acknowledgement: on a link of 250 KB/s, 256 KiB take a second.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;

/// Bytes of a snapshot in one message.
const SNAPSHOT_PART_BYTES: usize = 512 * 1024;

/// Limit on halving the message size: reduces entries to 2 KiB a message, which a link of 3 KB/s carries within the call
/// timeout.
const MAX_HALVINGS: u32 = 7;

/// A reply within this fraction of the call timeout doubles the size of the next message.
const PROMPT_REPLY_DIVISOR: u32 = 4;

/// Halvings of the first message to a peer: 8 KiB of entries. A link of unknown bandwidth may not carry a large message
/// within the call timeout, and all bytes of a message that timed out are sent again.
const FIRST_HALVINGS: u32 = 5;

/// Size of messages to one peer: doubled after each prompt reply, and halved after each timeout, as a message that takes
/// longer than the call timeout on a slow link would be resent indefinitely.
#[derive(Clone, Copy, Debug)]
struct MessageSize {
    halvings: u32,
}

impl MessageSize {
    fn entries_bytes(self) -> u64 {
        MAX_MESSAGE_BYTES >> self.halvings
    }

    fn snapshot_part_bytes(self) -> usize {
        SNAPSHOT_PART_BYTES >> self.halvings
    }

    fn record_timeout(&mut self) {
        self.halvings = (self.halvings + 1).min(MAX_HALVINGS);
    }

    fn record_reply_time(&mut self, elapsed: Duration, call_timeout: Duration) {
        if elapsed <= call_timeout / PROMPT_REPLY_DIVISOR {
            self.halvings = self.halvings.saturating_sub(1);
        }
    }
}

/// Progress of sending a snapshot to one peer.
struct SnapshotTransfer {
    snapshot: Rc<Snapshot>,
    offset: usize,
}

impl SnapshotTransfer {
    fn next_part(&self, size: MessageSize) -> SnapshotPart {
        let encoded = self.snapshot.encoded();
        let start = self.offset.min(encoded.len());
        let end = (start + size.snapshot_part_bytes()).min(encoded.len());
        SnapshotPart {
            index: self.snapshot.header.index,
            total: encoded.len() as u64,
            offset: start as u64,
            bytes: encoded[start..end].to_vec(),
        }
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Becomes leader of `term`.
    pub(crate) async fn become_leader(&self, term: u64) {
        if let Err(error) = self.choose_first_level().await {
            spdlog::warn!("file format write failed", kv: { dependency = "disk", reason = error.to_string().as_str() });
            self.fail_storage();
            return;
        }
        let peers = {
            let mut state = self.inner.state.borrow_mut();
            if state.term != term {
                return;
            }
            let first_index = state.log.last_index() + 1;
            let since = self.inner.platform.monotonic();
            let progress = BTreeMap::new();
            state.leader = Some(state.identity.id);
            let next_level = state.level_at_end();
            state.role =
                Role::Leader(Leadership { first_index, since, progress, transfer_in_progress: false, next_level });
            update_tracked_peers(&mut state)
        };
        self.start_replication(peers, term);
        self.write_batch(vec![Proposal { payload: EntryPayload::Empty, sender: None, based_on_index: None }]).await;
    }

    fn start_replication(&self, peers: Vec<Member>, term: u64) {
        for peer in peers {
            self.inner.platform.spawn(self.clone().replicate_to(peer, term));
        }
    }

    pub(crate) async fn write_proposals(self, mut queue: mpsc::Receiver<Proposal<S::Outcome>>) {
        while let Some(first) = queue.next().await {
            let mut bytes = first.payload.size();
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_PROPOSALS && bytes < MAX_BATCH_BYTES {
                match queue.next().now_or_never() {
                    Some(Some(proposal)) => {
                        bytes += proposal.payload.size();
                        batch.push(proposal);
                    }
                    _ => break,
                }
            }
            self.write_batch(batch).await;
        }
    }

    /// Appends proposals to the log, starts replicating them and syncs them. Drops them if this replica is not the
    /// leader.
    async fn write_batch(&self, batch: Vec<Proposal<S::Outcome>>) {
        let mut storage = self.inner.storage.lock().await;
        let records = self.append_to_log(batch);
        if records.is_empty() {
            return;
        }
        self.inner.state_changed.notify();
        if storage.append(&records).await.is_err() {
            self.fail_storage();
            return;
        }
        let mut state = self.inner.state.borrow_mut();
        state.synced = state.log.last_index();
        state.advance_commit();
    }

    fn append_to_log(&self, batch: Vec<Proposal<S::Outcome>>) -> Vec<WalRecord> {
        let mut state = self.inner.state.borrow_mut();
        if state.leadership().is_none() || state.storage_failed {
            return Vec::new();
        }
        let mut records = Vec::with_capacity(batch.len());
        for proposal in batch {
            if let EntryPayload::Membership(membership) = &proposal.payload {
                if !may_append_membership(&state, proposal.based_on_index) {
                    continue;
                }
                log_proposed_membership(&state, membership);
            }
            let (index, term) = (state.log.last_index() + 1, state.term);
            let entry = LogEntry { index, term, payload: proposal.payload };
            records.push(WalRecord::Entry(entry.clone()));
            state.log.push(entry);
            if let Some(sender) = proposal.sender {
                state.pending_proposals.insert(index, crate::state::PendingProposal { term, sender });
            }
        }
        let (added, term) = (update_tracked_peers(&mut state), state.term);
        drop(state);
        self.start_replication(added, term);
        records
    }

    /// Replicates to one peer while this replica leads `term` and the peer is a member.
    async fn replicate_to(self, peer: Member, term: u64) {
        let config = &self.inner.options.config;
        let mut snapshot_transfer = None;
        let mut size = MessageSize { halvings: FIRST_HALVINGS };
        loop {
            let change_count = self.inner.state_changed.count();
            let Some(request) = self.next_message(&peer, term, size, &mut snapshot_transfer).await else {
                return;
            };
            let sent_at = self.inner.platform.monotonic();
            let level_selection = self.level_selection_for(&request, &snapshot_transfer);
            let sent = self.send_as(level_selection, Channel::Log, peer.address, &request, config.call_timeout);
            let reply = self.with_heartbeats(&peer, term, sent).await;
            match &reply {
                Ok(_) => {
                    let elapsed = self.inner.platform.monotonic().saturating_sub(sent_at);
                    size.record_reply_time(elapsed, config.call_timeout);
                }
                Err(CallError::OutcomeUnknown) => size.record_timeout(),
                Err(CallError::NotSent | CallError::UnsupportedByPeer) => {}
            }
            let has_more = match reply {
                Ok(ReplicaReply::Append { term: observed_term, accepted, index }) => {
                    self.observe_term(observed_term).await;
                    snapshot_transfer = None;
                    self.record_append_reply(&peer, term, sent_at, accepted, index)
                }
                Ok(ReplicaReply::SnapshotPart { term: observed_term, next_offset }) => {
                    self.observe_term(observed_term).await;
                    self.with_progress(&peer, term, |progress| {
                        progress.acknowledged_append_sent_at = progress.acknowledged_append_sent_at.max(Some(sent_at));
                    });
                    if let Some(snapshot_transfer) = &mut snapshot_transfer {
                        snapshot_transfer.offset = usize::try_from(next_offset).unwrap_or(0);
                    }
                    true
                }
                Ok(ReplicaReply::FetchingSegments { term: observed_term }) => {
                    self.observe_term(observed_term).await;
                    if let Some(snapshot_transfer) = &mut snapshot_transfer {
                        // The peer has all parts; polls must not send the last one again.
                        snapshot_transfer.offset = snapshot_transfer.snapshot.encoded().len();
                    }
                    self.with_progress(&peer, term, |progress| {
                        progress.acknowledged_append_sent_at = progress.acknowledged_append_sent_at.max(Some(sent_at));
                    });
                    false
                }
                _ => {
                    self.inner.platform.sleep(config.heartbeat_interval).await;
                    false
                }
            };
            if !has_more {
                let pause = self.inner.platform.sleep(config.heartbeat_interval);
                future::select(pin!(self.inner.state_changed.changed(change_count)), pin!(pause)).await;
            }
        }
    }

    /// Feature level at which a message is encoded. It is that of the first entry or of the snapshot, as a peer with
    /// an empty log adopts it.
    fn level_selection_for(
        &self,
        request: &ReplicaRequest,
        snapshot_transfer: &Option<SnapshotTransfer>,
    ) -> LevelSelection {
        match (request, snapshot_transfer) {
            (ReplicaRequest::Append { previous_index, .. }, _) => {
                LevelSelection::Fixed(self.inner.state.borrow().level_of_append(*previous_index))
            }
            (ReplicaRequest::SnapshotPart { .. }, Some(snapshot_transfer)) => {
                LevelSelection::Fixed(snapshot_transfer.snapshot.level)
            }
            _ => self.level_selection(),
        }
    }

    /// The next message for a peer: entries from memory, else from the log file, else a part of a snapshot. The peer
    /// itself fetches the segments of the snapshot; meanwhile, empty parts at the end offset poll whether it has them.
    async fn next_message(
        &self,
        peer: &Member,
        term: u64,
        size: MessageSize,
        snapshot_transfer: &mut Option<SnapshotTransfer>,
    ) -> Option<ReplicaRequest> {
        let header = self.header(peer.id, term);
        let next = {
            let state = self.inner.state.borrow();
            if !state.leads_term(term) || state.membership().member(peer.id).is_none() {
                return None;
            }
            let next = state.leadership()?.progress.get(&peer.id)?.next_index;
            let limit = self.inner.options.config.entries_per_message;
            let previous_index = next - 1;
            let entries = state.log.entries_within(next, limit, size.entries_bytes());
            let in_memory = state.log.term_at(previous_index).zip(entries);
            if let (Some((previous_term, entries)), None) = (in_memory, &snapshot_transfer) {
                let commit = state.commit;
                return Some(ReplicaRequest::Append { header, previous_index, previous_term, entries, commit });
            }
            next
        };
        // An empty replica is sent a snapshot, which is smaller than the log before it.
        if snapshot_transfer.is_none() && next > 1 {
            let from_file = self.entries_from_file(header, next, size.entries_bytes()).await;
            if from_file.is_some() {
                return from_file;
            }
        }
        let state = self.inner.state.borrow();
        if !state.leads_term(term) {
            return None;
        }
        // A snapshot of which nothing has arrived is replaced once the log no longer continues from it.
        let is_outdated = |transfer: &SnapshotTransfer| {
            transfer.offset == 0 && transfer.snapshot.header.index < state.log.base_index()
        };
        if snapshot_transfer.as_ref().is_some_and(is_outdated) {
            *snapshot_transfer = None;
        }
        let begin = || {
            let snapshot = self.outgoing_snapshot(&state);
            spdlog::info!("snapshot sent", kv: {
                replica = peer.id.0, index = snapshot.header.index, bytes = snapshot.encoded().len() as u64,
                segments = snapshot.header.segments.len() as u64,
                next_index = next, log_base_index = state.log.base_index()
            });
            SnapshotTransfer { snapshot, offset: 0 }
        };
        let snapshot_transfer = snapshot_transfer.get_or_insert_with(begin);
        Some(ReplicaRequest::SnapshotPart { header, part: snapshot_transfer.next_part(size) })
    }

    /// Entries from the log file that are no longer in memory.
    async fn entries_from_file(&self, header: Header, next: u64, max_bytes: u64) -> Option<ReplicaRequest> {
        let storage = self.inner.storage.lock().await;
        let mut entries = storage.entries_from(next - 1, max_bytes).await.ok()?;
        let state = self.inner.state.borrow();
        // The storage lock excludes writers: if this replica still leads, the file contains the leader's own log.
        if entries.len() < 2 || !state.leads_term(header.term) {
            return None;
        }
        let previous = entries.remove(0);
        Some(ReplicaRequest::Append {
            header,
            previous_index: previous.index,
            previous_term: previous.term,
            entries,
            commit: state.commit,
        })
    }

    /// Snapshot to send. Reuses the one that is being sent to another peer if the log still continues from it.
    fn outgoing_snapshot(&self, state: &State<S>) -> Rc<Snapshot> {
        let mut outgoing = self.inner.outgoing_snapshots.borrow_mut();
        outgoing.retain(|snapshot| snapshot.strong_count() > 0);
        let newest = outgoing.last().and_then(Weak::upgrade);
        let shared = newest.filter(|snapshot| snapshot.header.index >= state.log.base_index());
        shared.unwrap_or_else(|| {
            let snapshot = Rc::new(state.snapshot());
            outgoing.push(Rc::downgrade(&snapshot));
            snapshot
        })
    }

    /// Updates a peer's progress from its reply. Returns whether there are more entries to send.
    fn record_append_reply(&self, peer: &Member, term: u64, sent_at: Duration, accepted: bool, index: u64) -> bool {
        let mut state = self.inner.state.borrow_mut();
        if !state.leads_term(term) {
            return false;
        }
        let last_index = state.log.last_index();
        let Some(progress) = state.leadership_mut().and_then(|leading| leading.progress.get_mut(&peer.id)) else {
            return false;
        };
        progress.acknowledged_append_sent_at = progress.acknowledged_append_sent_at.max(Some(sent_at));
        if accepted {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.match_index + 1;
        } else {
            progress.next_index = (index + 1).min(progress.next_index.saturating_sub(1)).max(progress.match_index + 1);
        }
        let has_more = progress.next_index <= last_index;
        state.advance_commit();
        has_more
    }
}

/// Adds progress for new members, starting at the end of the log, and removes that of former members. Returns the new
/// peers.
fn update_tracked_peers<S: StateMachine>(state: &mut State<S>) -> Vec<Member> {
    let next_index = state.log.last_index().max(1);
    let own = state.identity.id;
    let members = state.membership().members.clone();
    let Some(leadership) = state.leadership_mut() else {
        return Vec::new();
    };
    leadership.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
    let is_new = |member: &Member| member.id != own && !leadership.progress.contains_key(&member.id);
    let added: Vec<Member> = members.into_iter().filter(is_new).collect();
    for peer in &added {
        leadership.progress.insert(peer.id, Progress { next_index, ..Progress::default() });
    }
    added
}
