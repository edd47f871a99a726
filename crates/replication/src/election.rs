//! Elections: pre-vote, votes, and the end of a leadership that lost its quorum.

use crate::calls::Channel;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::standing::VoteRefusal;
use crate::state::{Role, State, StateMachine};
use crate::storage::Storage;
use crate::wal::WalRecord;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use saddlerelay_rpc::client::CallError;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

/// Longest pause between looks at the election timer.
const ELECTION_TICK: Duration = Duration::from_millis(50);

/// Share of an election timeout for which a candidate waits for a vote. One that has come by then makes it leader; one
/// that has not, for example of a voter that stands still, must not keep it waiting.
const VOTE_LIMIT_DIVISOR: u32 = 2;

/// Share of an election timeout within which candidates try again after a split vote.
const RETRY_DIVISOR: u32 = 2;

/// How a campaign ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignEnd {
    PreVoteLost,
    TermOvertaken,
    VoteLost,
    Elected,
}

impl CampaignEnd {
    fn name(self) -> &'static str {
        match self {
            Self::PreVoteLost => "votes would not be given",
            Self::TermOvertaken => "term overtaken",
            Self::VoteLost => "votes not given",
            Self::Elected => "elected",
        }
    }
}

/// The answers to a candidate's last round of requests, its own vote left out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VoteCount {
    asked: usize,
    pub granted: usize,
    pub refused: usize,
    /// Sent, and not answered within the wait.
    late: usize,
    /// From the requests to the last answer that counted, or to the end of the wait.
    waited: Duration,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    pub(crate) async fn run_elections(self) {
        loop {
            self.inner.platform.sleep(self.election_pause()).await;
            self.end_lost_leadership();
            self.tell_standing();
            if self.election_is_due() {
                let term = self.inner.state.borrow().term;
                self.clone().campaign_after(term, false).await;
            }
        }
    }

    /// Until the election is due, or the next look. Whole ticks would have replicas that started together ask for votes
    /// together, again and again.
    fn election_pause(&self) -> Duration {
        let due = self.inner.state.borrow().election_at.saturating_sub(self.inner.platform.monotonic());
        if due.is_zero() { ELECTION_TICK } else { due.min(ELECTION_TICK) }
    }

    fn end_lost_leadership(&self) {
        let now = self.inner.platform.monotonic();
        let mut state = self.inner.state.borrow_mut();
        let Some(leadership) = state.leadership() else {
            return;
        };
        let answered = state.quorum_answered_at(now);
        let contact = answered.unwrap_or(leadership.since);
        // Until then a follower may still wait for it; one that gives up sooner leaves the group without a leader in vain.
        let longest_wait = self.inner.options.config.election_timeout + self.inner.options.config.election_jitter;
        let limit = state.patience.stretch(longest_wait);
        if now < contact + limit {
            if let Some(answered) = answered {
                state.patience.note_heard(answered);
            }
        } else {
            spdlog::warn!("quorum lost", kv: {
                term = state.term,
                silent_ms = now.saturating_sub(contact).as_millis() as u64,
                led_ms = now.saturating_sub(leadership.since).as_millis() as u64,
                answered = leadership.answered_peers(),
                quorum = state.membership().quorum(),
                last_index = state.log.last_index(),
                commit = state.commit,
                limit_ms = limit.as_millis() as u64,
                peers = state.peers_heard(now).as_str()
            });
            state.become_follower();
            state.leader = None;
            self.reset_election_timer(&mut state);
            drop(state);
            self.inner.changed.notify();
        }
    }

    fn election_is_due(&self) -> bool {
        let state = self.inner.state.borrow();
        let due = self.inner.platform.monotonic() >= state.election_at;
        let is_voter = state.membership().is_voter(state.identity.id) && !self.is_left_out(&state);
        let able = is_voter && !state.storage_failed && !state.stopping;
        due && able && state.leadership().is_none()
    }

    /// Seeks votes in the term that follows `term`; with `transfer`, at the request of that term's leader and without a
    /// pre-vote.
    pub(crate) async fn campaign_after(self, term: u64, transfer: bool) {
        self.reset_election_timer(&mut self.inner.state.borrow_mut());
        let next_term = term + 1;
        let mut count = VoteCount::default();
        if !transfer && !self.collect_votes(next_term, true, false, &mut count).await {
            self.tell_election(CampaignEnd::PreVoteLost, next_term, count);
            return;
        }
        let Some(term) = self.enter_next_term(next_term, transfer).await else {
            self.tell_election(CampaignEnd::TermOvertaken, next_term, count);
            return;
        };
        if self.collect_votes(term, false, transfer, &mut count).await {
            self.tell_election(CampaignEnd::Elected, term, count);
            if transfer {
                self.note_taken_over(term);
            }
            self.lead(term).await;
        } else {
            self.tell_election(CampaignEnd::VoteLost, term, count);
            self.retry_election_apart();
        }
    }

    /// After a split vote: the candidates try again at moments drawn anew. Those drawn before have passed for both while
    /// they waited for a voter that does not answer, and they would split the votes again.
    fn retry_election_apart(&self) {
        let platform = &self.inner.platform;
        let mut state = self.inner.state.borrow_mut();
        let longest = state.patience.stretch(self.inner.options.config.election_timeout / RETRY_DIVISOR);
        state.election_at = platform.monotonic() + platform.jitter(longest);
    }

    fn tell_election(&self, end: CampaignEnd, term: u64, count: VoteCount) {
        let state = self.inner.state.borrow();
        let now = self.inner.platform.monotonic();
        let level = if matches!(end, CampaignEnd::Elected) { spdlog::Level::Info } else { spdlog::Level::Warn };
        spdlog::log!(level, "{}", end.name(), kv: {
            term = term,
            replica = state.identity.id.0,
            last_index = state.log.last_index(),
            last_term = state.log.last_term(),
            voters = state.membership().voters().count(),
            quorum = state.membership().quorum(),
            asked = count.asked,
            granted = count.granted,
            refused = count.refused,
            unanswered = count.asked - count.granted - count.refused,
            late = count.late,
            waited_ms = count.waited.as_millis() as u64,
            leader_heard_ms = now.saturating_sub(state.leader_heard_at).as_millis() as u64
        });
    }

    /// Votes for itself in `next_term`; `None` when the term has moved on or the disk refuses.
    async fn enter_next_term(&self, next_term: u64, transfer: bool) -> Option<u64> {
        let mut storage = self.inner.storage.lock().await;
        let own = {
            let state = self.inner.state.borrow();
            let stale = state.term + 1 != next_term || state.leadership().is_some() || state.stopping;
            // A leader heard since the pre-votes may count on this replica for its lease.
            let free = transfer || self.is_leader_silent(&state);
            (free && !stale).then_some(state.identity.id)?
        };
        if !self.write_term(&mut storage, next_term, Some(own)).await {
            return None;
        }
        let mut state = self.inner.state.borrow_mut();
        state.set_term(next_term, Some(own));
        state.role = Role::Candidate;
        state.leader = None;
        Some(next_term)
    }

    /// Whether a quorum gives, or with `pre_vote` would give, its vote in `term`.
    pub(crate) async fn collect_votes(&self, term: u64, pre_vote: bool, transfer: bool, count: &mut VoteCount) -> bool {
        let asked_at = self.inner.platform.monotonic();
        let (own, peers, quorum, last_index, last_term) = {
            let state = self.inner.state.borrow();
            let own = state.identity.id;
            let others = state.membership().voters().filter(|member| member.id != own);
            let peers: Vec<_> = others.map(|member| (member.id, member.address)).collect();
            (own, peers, state.membership().quorum(), state.log.last_index(), state.log.last_term())
        };
        let mut given = usize::from(self.inner.state.borrow().membership().is_voter(own));
        let limit = self.inner.options.config.election_timeout / VOTE_LIMIT_DIVISOR;
        let limit = self.inner.state.borrow().patience.stretch(limit);
        let ask = |(id, address)| {
            let header = self.header(id, term);
            let request = ReplicaRequest::Vote { header, pre_vote, transfer, last_index, last_term };
            async move { self.try_send(Channel::Log, address, &request, limit).await }
        };
        *count = VoteCount { asked: peers.len(), ..VoteCount::default() };
        let mut answers: FuturesUnordered<_> = peers.into_iter().map(ask).collect();
        while given < quorum {
            let answer = answers.next().await;
            count.waited = self.inner.platform.monotonic().saturating_sub(asked_at);
            match answer {
                Some(Ok(ReplicaReply::Vote { granted: true, .. })) => {
                    given += 1;
                    count.granted += 1;
                }
                Some(Ok(ReplicaReply::Vote { term: seen, granted: false })) => {
                    count.refused += 1;
                    self.observe_term(seen).await;
                }
                Some(Err(CallError::Unknown)) => count.late += 1,
                Some(Ok(_) | Err(CallError::NotSent | CallError::Unspeakable)) => {}
                None => {
                    if given + count.late >= quorum {
                        self.inner.state.borrow_mut().patience.note_unanswered();
                    }
                    return false;
                }
            }
        }
        let state = self.inner.state.borrow();
        pre_vote || state.term == term && matches!(state.role, Role::Candidate)
    }

    fn is_leader_silent(&self, state: &State<S>) -> bool {
        self.inner.platform.monotonic() >= state.leader_heard_at + self.inner.options.config.election_timeout
    }

    /// Writes a term and a vote to disk. Until they are there, no older leader is acknowledged. Returns whether the disk took them.
    async fn write_term(&self, storage: &mut Storage<P::Disk>, term: u64, voted_for: Option<ReplicaId>) -> bool {
        self.inner.state.borrow_mut().term_being_written = Some(term);
        let written = storage.append(&[WalRecord::HardState { term, voted_for }]).await;
        self.inner.state.borrow_mut().term_being_written = None;
        if written.is_err() {
            self.fail_storage();
        }
        written.is_ok()
    }

    /// Follows a term higher than this replica's own.
    pub(crate) async fn observe_term(&self, term: u64) {
        if term <= self.inner.state.borrow().term {
            return;
        }
        let mut storage = self.inner.storage.lock().await;
        if term <= self.inner.state.borrow().term {
            return;
        }
        if !self.write_term(&mut storage, term, None).await {
            return;
        }
        let mut state = self.inner.state.borrow_mut();
        state.set_term(term, None);
        state.leader = None;
        state.become_follower();
        drop(state);
        self.inner.changed.notify();
    }

    /// Answers a candidate whose log ends with `(term, index)`.
    pub(crate) async fn answer_vote(
        &self,
        header: Header,
        pre_vote: bool,
        transfer: bool,
        candidate_end: (u64, u64),
    ) -> ReplicaReply {
        let mut storage = self.inner.storage.lock().await;
        let refusal = {
            let state = self.inner.state.borrow();
            let now = self.inner.platform.monotonic();
            let leaderless = self.is_leader_silent(&state) && state.leadership().is_none();
            let own_end = (state.log.last_term(), state.log.last_index());
            let free = header.term > state.term || state.voted_for.is_none() || state.voted_for == Some(header.from);
            let current = if pre_vote { header.term > state.term } else { header.term >= state.term && free };
            let refusal = if !(leaderless || transfer) {
                Some(VoteRefusal::LeaderHeard)
            } else if !current {
                Some(VoteRefusal::TermTaken)
            } else if candidate_end < own_end {
                Some(VoteRefusal::LogBehind)
            } else {
                None
            };
            if let Some(refusal) = refusal {
                self.note_refused_vote(refusal);
                spdlog::debug!("vote refused", kv: {
                    candidate = header.from.0,
                    pre_vote = pre_vote,
                    term = header.term,
                    own_term = state.term,
                    leader_heard_ms = now.saturating_sub(state.leader_heard_at).as_millis() as u64,
                    candidate_index = candidate_end.1,
                    own_index = own_end.1
                });
            }
            refusal.map(|_| ReplicaReply::Vote { term: state.term, granted: false })
        };
        if let Some(refusal) = refusal {
            return refusal;
        }
        if pre_vote {
            return ReplicaReply::Vote { term: header.term, granted: true };
        }
        if !self.write_term(&mut storage, header.term, Some(header.from)).await {
            return ReplicaReply::Refused;
        }
        self.record_vote(header.term, header.from);
        ReplicaReply::Vote { term: header.term, granted: true }
    }

    fn record_vote(&self, term: u64, candidate: ReplicaId) {
        let mut state = self.inner.state.borrow_mut();
        if term > state.term {
            state.become_follower();
            state.leader = None;
        }
        state.set_term(term, Some(candidate));
        self.reset_election_timer(&mut state);
        drop(state);
        self.inner.changed.notify();
    }
}
