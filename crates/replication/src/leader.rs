//! Leading: writing proposals and replicating them to peers.

use crate::calls::Channel;
use crate::log::{EntryPayload, LogEntry};
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest, SnapshotPart};
use crate::reconfigure::{may_take_membership, tell_membership};
use crate::replica::{Proposal, Replica};
use crate::snapshot::Snapshot;
use crate::state::{Leadership, Progress, Role, State, StateMachine};
use crate::wal::WalRecord;
use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, future};
use saddlerelay_rpc::client::{CallError, Speech};
use saddlerelay_runtime::Runtime;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Most proposals in one write.
const BATCH_PROPOSALS: usize = 512;

/// Most bytes of proposals in one write, unless a single one is larger: the next write and every message wait for it.
const BATCH_BYTES: u64 = 512 * 1024;

/// Most bytes of entries in one message, unless a single one is larger. The answer to it is the peer's next sign of life: on
/// a third of a core a peer takes tens of milliseconds for so much, and several times that for a MiB.
const MESSAGE_BYTES: u64 = 256 * 1024;

/// Bytes of a snapshot in one message: small beside what a link carries between two heartbeats.
const SNAPSHOT_PART_BYTES: usize = 512 * 1024;

/// Halvings of a message's size at most: 2 KiB of entries, which a link of 3 KB/s carries within a call.
const MOST_HALVINGS: u32 = 7;

/// Share of a call's time limit within which an answer lets the next message be larger again.
const QUICK_ANSWER_DIVISOR: u32 = 4;

/// How much one message to a peer holds: half as much after each that was not answered in time. A message that takes longer
/// than a call may would be sent in vain again and again; on a link of 250 KB/s 256 KiB take a second.
#[derive(Clone, Copy, Debug, Default)]
struct MessageSize {
    halvings: u32,
}

impl MessageSize {
    fn entries_bytes(self) -> u64 {
        MESSAGE_BYTES >> self.halvings
    }

    fn snapshot_part_bytes(self) -> usize {
        SNAPSHOT_PART_BYTES >> self.halvings
    }

    fn note_unanswered(&mut self) {
        self.halvings = (self.halvings + 1).min(MOST_HALVINGS);
    }

    fn note_answered(&mut self, after: Duration, limit: Duration) {
        if after <= limit / QUICK_ANSWER_DIVISOR {
            self.halvings = self.halvings.saturating_sub(1);
        }
    }
}

/// A snapshot on its way to one peer.
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
    /// Begins to lead `term`.
    pub(crate) async fn lead(&self, term: u64) {
        if let Err(error) = self.choose_first_level().await {
            spdlog::warn!("format not written", kv: { dependency = "disk", reason = error.to_string().as_str() });
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
            state.role = Role::Leader(Leadership { first_index, since, progress, handing_over: false, next_level });
            start_progress(&mut state)
        };
        self.start_peers(peers, term);
        self.write_batch(vec![Proposal { payload: EntryPayload::Empty, sender: None, made_from: None }]).await;
    }

    fn start_peers(&self, peers: Vec<Member>, term: u64) {
        for peer in peers {
            self.inner.platform.spawn(self.clone().replicate_to(peer, term));
        }
    }

    pub(crate) async fn write_proposals(self, mut queue: mpsc::Receiver<Proposal<S::Outcome>>) {
        while let Some(first) = queue.next().await {
            let mut bytes = first.payload.size();
            let mut batch = vec![first];
            while batch.len() < BATCH_PROPOSALS && bytes < BATCH_BYTES {
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

    /// Appends proposals to the log, sends them on and syncs them. Proposals are dropped when this replica does not lead.
    async fn write_batch(&self, batch: Vec<Proposal<S::Outcome>>) {
        let mut storage = self.inner.storage.lock().await;
        let records = self.take_batch(batch);
        if records.is_empty() {
            return;
        }
        self.inner.changed.notify();
        if storage.append(&records).await.is_err() {
            self.fail_storage();
            return;
        }
        let mut state = self.inner.state.borrow_mut();
        state.synced = state.log.last_index();
        state.advance_commit();
    }

    fn take_batch(&self, batch: Vec<Proposal<S::Outcome>>) -> Vec<WalRecord> {
        let mut state = self.inner.state.borrow_mut();
        if state.leadership().is_none() || state.storage_failed {
            return Vec::new();
        }
        let mut records = Vec::with_capacity(batch.len());
        for proposal in batch {
            if let EntryPayload::Membership(membership) = &proposal.payload {
                if !may_take_membership(&state, proposal.made_from) {
                    continue;
                }
                tell_membership(&state, membership);
            }
            let (index, term) = (state.log.last_index() + 1, state.term);
            let entry = LogEntry { index, term, payload: proposal.payload };
            records.push(WalRecord::Entry(entry.clone()));
            state.log.push(entry);
            if let Some(sender) = proposal.sender {
                state.waiting.insert(index, crate::state::Waiting { term, sender });
            }
        }
        let (added, term) = (start_progress(&mut state), state.term);
        drop(state);
        self.start_peers(added, term);
        records
    }

    /// Keeps one peer up to date while this replica leads `term` and the peer is a member.
    async fn replicate_to(self, peer: Member, term: u64) {
        let config = &self.inner.options.config;
        let mut transfer = None;
        let mut size = MessageSize::default();
        loop {
            let seen = self.inner.changed.count();
            let Some(request) = self.next_message(&peer, term, size, &mut transfer).await else {
                return;
            };
            let sent_at = self.inner.platform.monotonic();
            let speech = self.speech_for(&request, &transfer);
            let sent = self.send_as(speech, Channel::Log, peer.address, &request, config.call_limit);
            let reply = self.with_heartbeats(&peer, term, sent).await;
            match &reply {
                Ok(_) => {
                    let after = self.inner.platform.monotonic().saturating_sub(sent_at);
                    size.note_answered(after, config.call_limit);
                }
                Err(CallError::Unknown) => size.note_unanswered(),
                Err(CallError::NotSent | CallError::Unspeakable) => {}
            }
            let more = match reply {
                Ok(ReplicaReply::Append { term: seen_term, accepted, index }) => {
                    self.observe_term(seen_term).await;
                    transfer = None;
                    self.record_answer(&peer, term, sent_at, accepted, index)
                }
                Ok(ReplicaReply::SnapshotPart { term: seen_term, next_offset }) => {
                    self.observe_term(seen_term).await;
                    self.with_progress(&peer, term, |progress| {
                        progress.answered_sent_at = progress.answered_sent_at.max(Some(sent_at));
                    });
                    if let Some(transfer) = &mut transfer {
                        transfer.offset = usize::try_from(next_offset).unwrap_or(0);
                    }
                    true
                }
                Ok(ReplicaReply::FetchingSegments { term: seen_term }) => {
                    self.observe_term(seen_term).await;
                    self.with_progress(&peer, term, |progress| {
                        progress.answered_sent_at = progress.answered_sent_at.max(Some(sent_at));
                    });
                    false
                }
                _ => {
                    self.inner.platform.sleep(config.heartbeat_interval).await;
                    false
                }
            };
            if !more {
                let pause = self.inner.platform.sleep(config.heartbeat_interval);
                future::select(pin!(self.inner.changed.changed(seen)), pin!(pause)).await;
            }
        }
    }

    /// What a message begins with says at which level it is written: a peer without a log reads from there on.
    fn speech_for(&self, request: &ReplicaRequest, transfer: &Option<SnapshotTransfer>) -> Speech {
        match (request, transfer) {
            (ReplicaRequest::Append { previous_index, .. }, _) => {
                Speech::Fixed(self.inner.state.borrow().level_of_append(*previous_index))
            }
            (ReplicaRequest::SnapshotPart { .. }, Some(transfer)) => Speech::Fixed(transfer.snapshot.level),
            _ => self.speech(),
        }
    }

    /// What a peer lacks next: entries from memory, else from this replica's own log file, else a snapshot. Segments that the
    /// snapshot refers to the peer fetches itself; meanwhile an empty part behind the last one asks whether it has them.
    async fn next_message(
        &self,
        peer: &Member,
        term: u64,
        size: MessageSize,
        transfer: &mut Option<SnapshotTransfer>,
    ) -> Option<ReplicaRequest> {
        let header = self.header(peer.id, term);
        let next = {
            let state = self.inner.state.borrow();
            if !state.leads_term(term) || state.membership().member(peer.id).is_none() {
                return None;
            }
            let next = state.leadership()?.progress.get(&peer.id)?.next;
            let limit = self.inner.options.config.entries_per_message;
            let previous_index = next - 1;
            let entries = state.log.entries_within(next, limit, size.entries_bytes());
            let held = state.log.term_at(previous_index).zip(entries);
            if let (Some((previous_term, entries)), None) = (held, &transfer) {
                let commit = state.commit;
                return Some(ReplicaRequest::Append { header, previous_index, previous_term, entries, commit });
            }
            next
        };
        // An empty replica is sent a snapshot: it is smaller than the log that led to it.
        if transfer.is_none() && next > 1 {
            let from_file = self.entries_from_file(header, next, size.entries_bytes()).await;
            if from_file.is_some() {
                return from_file;
            }
        }
        let state = self.inner.state.borrow();
        if !state.leads_term(term) {
            return None;
        }
        let begin = || {
            let snapshot = self.outgoing_snapshot(&state);
            spdlog::info!("snapshot sent", kv: {
                replica = peer.id.0, index = snapshot.header.index, bytes = snapshot.encoded().len() as u64,
                segments = snapshot.header.segments.len() as u64,
                next_wanted = next, log_begins = state.log.base_index()
            });
            SnapshotTransfer { snapshot, offset: 0 }
        };
        let transfer = transfer.get_or_insert_with(begin);
        Some(ReplicaRequest::SnapshotPart { header, part: transfer.next_part(size) })
    }

    /// Entries that memory no longer holds, from the log file.
    async fn entries_from_file(&self, header: Header, next: u64, most_bytes: u64) -> Option<ReplicaRequest> {
        let storage = self.inner.storage.lock().await;
        let mut entries = storage.entries_from(next - 1, most_bytes).await.ok()?;
        let state = self.inner.state.borrow();
        // While the lock is held nobody writes to the file: if this replica still leads, it is the leader's own log.
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

    /// A snapshot to send: the one that another peer is being sent, if the log goes on behind it.
    fn outgoing_snapshot(&self, state: &State<S>) -> Rc<Snapshot> {
        let mut outgoing = self.inner.outgoing.borrow_mut();
        let shared = outgoing.upgrade().filter(|snapshot| snapshot.header.index >= state.log.base_index());
        shared.unwrap_or_else(|| {
            let snapshot = Rc::new(state.snapshot());
            *outgoing = Rc::downgrade(&snapshot);
            snapshot
        })
    }

    /// Records a peer's answer; returns whether there is more to send at once.
    fn record_answer(&self, peer: &Member, term: u64, sent_at: Duration, accepted: bool, index: u64) -> bool {
        let mut state = self.inner.state.borrow_mut();
        if !state.leads_term(term) {
            return false;
        }
        let last_index = state.log.last_index();
        let Some(progress) = state.leadership_mut().and_then(|leading| leading.progress.get_mut(&peer.id)) else {
            return false;
        };
        progress.answered_sent_at = progress.answered_sent_at.max(Some(sent_at));
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched + 1;
        } else {
            progress.next = (index + 1).min(progress.next.saturating_sub(1)).max(progress.matched + 1);
        }
        let more = progress.next <= last_index;
        state.advance_commit();
        more
    }
}

/// Gives every member progress, starting at the end of the log; returns the peers that had none.
fn start_progress<S: StateMachine>(state: &mut State<S>) -> Vec<Member> {
    let next = state.log.last_index().max(1);
    let own = state.identity.id;
    let members = state.membership().members.clone();
    let Some(leadership) = state.leadership_mut() else {
        return Vec::new();
    };
    leadership.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
    let is_new = |member: &Member| member.id != own && !leadership.progress.contains_key(&member.id);
    let added: Vec<Member> = members.into_iter().filter(is_new).collect();
    for peer in &added {
        leadership.progress.insert(peer.id, Progress { next, ..Progress::default() });
    }
    added
}
