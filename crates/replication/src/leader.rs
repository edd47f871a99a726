//! Leading: writing proposals, replicating to peers, membership changes, handing over, snapshots.

use crate::log::{EntryPayload, LogEntry};
use crate::membership::{Member, Membership};
use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::{Proposal, Replica};
use crate::state::{Leadership, Progress, Role, State, StateMachine};
use crate::wal::WalRecord;
use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, future};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Most proposals in one write.
const BATCH_PROPOSALS: usize = 512;

/// Pause between looks at the membership.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between requests to be added to a group.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// How many entries behind a learner may be when it is made a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Begins to lead `term`.
    pub(crate) async fn lead(&self, term: u64) {
        let peers = {
            let mut state = self.inner.state.borrow_mut();
            if state.term != term {
                return;
            }
            let first_index = state.log.last_index() + 1;
            let since = self.inner.platform.monotonic();
            let progress = BTreeMap::new();
            state.leader = Some(state.identity.id);
            state.role = Role::Leader(Leadership { first_index, since, progress, handing_over: false });
            start_progress(&mut state)
        };
        self.start_peers(peers, term);
        self.write_batch(vec![Proposal { payload: EntryPayload::Empty, sender: None }]).await;
    }

    fn start_peers(&self, peers: Vec<Member>, term: u64) {
        for peer in peers {
            self.inner.platform.spawn(self.clone().replicate_to(peer, term));
        }
    }

    pub(crate) async fn write_proposals(self, mut queue: mpsc::Receiver<Proposal<S::Outcome>>) {
        while let Some(first) = queue.next().await {
            let mut batch = vec![first];
            while batch.len() < BATCH_PROPOSALS {
                match queue.next().now_or_never() {
                    Some(Some(proposal)) => batch.push(proposal),
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
        loop {
            let seen = self.inner.changed.count();
            let Some(request) = self.next_message(&peer, term) else {
                return;
            };
            let sent_at = self.inner.platform.monotonic();
            let reply = self.send(peer.address, &request, config.call_limit).await;
            let more = match reply {
                Some(ReplicaReply::Append { term: seen_term, accepted, index }) => {
                    self.observe_term(seen_term).await;
                    self.record_answer(&peer, term, sent_at, accepted, index)
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

    fn next_message(&self, peer: &Member, term: u64) -> Option<ReplicaRequest> {
        let header = self.header(peer.id, term);
        let state = self.inner.state.borrow();
        if !state.leads_term(term) || state.membership().member(peer.id).is_none() {
            return None;
        }
        let next = state.leadership()?.progress.get(&peer.id)?.next;
        let limit = self.inner.options.config.entries_per_message;
        let previous_index = next - 1;
        let held = state.log.term_at(previous_index).zip(state.log.entries_from(next, limit));
        Some(match held {
            Some((previous_term, entries)) => {
                ReplicaRequest::Append { header, previous_index, previous_term, entries, commit: state.commit }
            }
            None => ReplicaRequest::InstallSnapshot { header, snapshot: state.snapshot() },
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

    pub(crate) fn add_learner(&self, id: ReplicaId, address: SocketAddr) -> ReplicaReply {
        let membership = {
            let state = self.inner.state.borrow();
            if state.membership().member(id).is_some() || !may_change_membership(&state) {
                return ReplicaReply::Refused;
            }
            state.membership().with_learner(id, address)
        };
        self.propose_membership(membership);
        ReplicaReply::Taken
    }

    fn propose_membership(&self, membership: Membership) {
        let proposal = Proposal { payload: EntryPayload::Membership(membership), sender: None };
        // A full queue only delays the change: it is proposed again at the next look.
        let _ = self.inner.proposals.borrow_mut().try_send(proposal);
    }

    /// Makes learners voters once they have caught up, and removes the member whose disk a learner replaces.
    pub(crate) async fn manage_membership(self) {
        loop {
            self.inner.platform.sleep(MEMBERSHIP_INTERVAL).await;
            if let Some(membership) = self.next_membership() {
                self.propose_membership(membership);
            }
        }
    }

    fn next_membership(&self) -> Option<Membership> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        if !may_change_membership(&state) {
            return None;
        }
        let leadership = state.leadership()?;
        let membership = state.membership();
        let config = &self.inner.options.config;
        let caught_up = |member: &&Member| {
            let progress = leadership.progress.get(&member.id).copied().unwrap_or_default();
            let recent = progress.answered_sent_at.is_some_and(|at| now < at + config.election_timeout);
            !member.voter && recent && progress.matched + CAUGHT_UP_ENTRIES >= state.commit && progress.matched > 0
        };
        let learner = membership.members.iter().find(caught_up)?;
        let replaced =
            membership.members.iter().find(|other| other.address == learner.address && other.id != learner.id);
        if let Some(replaced) = replaced {
            return Some(membership.without(replaced.id));
        }
        let wanted = membership.voters().count() < config.target_voters;
        wanted.then(|| membership.with_voter(learner.id))
    }

    /// Asks the group's replicas to add this one, until one has.
    pub(crate) async fn join_group(self) {
        loop {
            self.inner.platform.sleep(JOIN_INTERVAL).await;
            let identity = self.inner.state.borrow().identity;
            if identity.group.is_some() {
                return;
            }
            let own_address = self.inner.options.address;
            let request = ReplicaRequest::Join { id: identity.id, address: own_address };
            for peer in self.inner.options.peers.iter().filter(|peer| **peer != own_address) {
                self.send(*peer, &request, self.inner.options.config.call_limit).await;
            }
        }
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
        leadership.progress.insert(peer.id, Progress { next, matched: 0, answered_sent_at: None });
    }
    added
}

/// One change at a time, and none before this term has committed.
fn may_change_membership<S: StateMachine>(state: &State<S>) -> bool {
    let Some(leadership) = state.leadership() else {
        return false;
    };
    state.commit >= leadership.first_index && state.log.membership_index() <= state.commit
}
