//! Elections: pre-votes, votes, and stepping down after the loss of the quorum.

use crate::calls::Channel;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::role_report::VoteRefusal;
use crate::state::{Role, State, StateMachine};
use crate::storage::Storage;
use crate::wal::WalRecord;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use saddlerelay_rpc::client::CallError;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

/// Longest interval between checks of the election timer.
const MAX_TIMER_PAUSE: Duration = Duration::from_millis(50);

/// A candidate waits for votes for this fraction of an election timeout, so that an unresponsive voter does not delay
/// the next campaign.
const VOTE_TIMEOUT_DIVISOR: u32 = 2;

/// After a split vote, candidates retry within this fraction of an election timeout.
const ELECTION_RETRY_DIVISOR: u32 = 2;

/// Result of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignResult {
    PreVoteLost,
    Abandoned,
    VoteLost,
    Elected,
}

impl CampaignResult {
    fn name(self) -> &'static str {
        match self {
            Self::PreVoteLost => "votes would not be given",
            Self::Abandoned => "campaign abandoned before voting",
            Self::VoteLost => "election lost",
            Self::Elected => "elected",
        }
    }
}

/// Replies to the last round of vote requests, without the candidate's own vote.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VoteCount {
    requested: usize,
    pub granted: usize,
    pub refused: usize,
    /// Requests that may have been sent and had no reply in time.
    late: usize,
    /// Time from sending the requests to the last reply that was evaluated, or to the timeout.
    waited: Duration,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    pub(crate) async fn run_elections(self) {
        loop {
            self.inner.platform.sleep(self.time_to_next_check()).await;
            self.step_down_without_quorum();
            self.report_role_changes();
            if self.election_is_due() {
                let term = self.inner.state.borrow().term;
                self.clone().campaign_after(term, false).await;
            }
        }
    }

    /// Time until the next check of the election timer. The pause ends at the exact deadline, as whole ticks would
    /// synchronize the campaigns of replicas that started together.
    fn time_to_next_check(&self) -> Duration {
        let due = self.inner.state.borrow().election_deadline.saturating_sub(self.inner.platform.monotonic());
        if due.is_zero() { MAX_TIMER_PAUSE } else { due.min(MAX_TIMER_PAUSE) }
    }

    fn step_down_without_quorum(&self) {
        let now = self.inner.platform.monotonic();
        let mut state = self.inner.state.borrow_mut();
        let Some(leadership) = state.leadership() else {
            return;
        };
        let acknowledged_at = state.quorum_acknowledged_at(now);
        let last_contact = acknowledged_at.unwrap_or(leadership.since);
        // Followers may wait this long for their leader; stepping down earlier would only leave the group without a
        // leader.
        let longest_follower_wait =
            self.inner.options.config.election_timeout + self.inner.options.config.election_jitter;
        let timeout = state.adaptive_timeout.scale(longest_follower_wait);
        if now < last_contact + timeout {
            if let Some(acknowledged_at) = acknowledged_at {
                state.adaptive_timeout.record_contact(acknowledged_at);
            }
        } else {
            spdlog::warn!("quorum lost", kv: {
                term = state.term,
                silent_ms = now.saturating_sub(last_contact).as_millis() as u64,
                led_ms = now.saturating_sub(leadership.since).as_millis() as u64,
                answered = leadership.acknowledged_peers(),
                quorum = state.membership().quorum(),
                last_index = state.log.last_index(),
                commit = state.commit,
                limit_ms = timeout.as_millis() as u64,
                peers = state.describe_peers(now).as_str()
            });
            state.become_follower();
            state.leader = None;
            self.reset_election_timer(&mut state);
            drop(state);
            self.inner.state_changed.notify();
        }
    }

    fn election_is_due(&self) -> bool {
        let state = self.inner.state.borrow();
        let due = self.inner.platform.monotonic() >= state.election_deadline;
        let is_voter = state.membership().is_voter(state.identity.id) && !self.is_excluded(&state);
        let can_campaign = is_voter && !state.storage_failed && !state.stopping;
        due && can_campaign && state.leadership().is_none()
    }

    /// Campaigns for the term after `term`. With `transfer`, the leader of `term` has requested the campaign and the
    /// pre-vote is skipped.
    pub(crate) async fn campaign_after(self, term: u64, transfer: bool) {
        self.reset_election_timer(&mut self.inner.state.borrow_mut());
        let next_term = term + 1;
        let mut count = VoteCount::default();
        if !transfer && !self.collect_votes(next_term, true, false, &mut count).await {
            self.log_campaign_result(CampaignResult::PreVoteLost, next_term, count);
            return;
        }
        let Some(term) = self.enter_next_term(next_term, transfer).await else {
            self.log_campaign_result(CampaignResult::Abandoned, next_term, count);
            return;
        };
        if self.collect_votes(term, false, transfer, &mut count).await {
            self.log_campaign_result(CampaignResult::Elected, term, count);
            if transfer {
                self.record_takeover(term);
            }
            self.become_leader(term).await;
        } else {
            self.log_campaign_result(CampaignResult::VoteLost, term, count);
            self.randomize_election_retry();
        }
    }

    /// Randomizes the next campaign after a split vote. The previous deadlines of both candidates may have passed
    /// while they waited for an unresponsive voter, and the vote would split again.
    fn randomize_election_retry(&self) {
        let platform = &self.inner.platform;
        let mut state = self.inner.state.borrow_mut();
        let max_delay =
            state.adaptive_timeout.scale(self.inner.options.config.election_timeout / ELECTION_RETRY_DIVISOR);
        state.election_deadline = platform.monotonic() + platform.jitter(max_delay);
    }

    fn log_campaign_result(&self, result: CampaignResult, term: u64, count: VoteCount) {
        let state = self.inner.state.borrow();
        let now = self.inner.platform.monotonic();
        let level = if matches!(result, CampaignResult::Elected) { spdlog::Level::Info } else { spdlog::Level::Warn };
        spdlog::log!(level, "{}", result.name(), kv: {
            term = term,
            replica = state.identity.id.0,
            last_index = state.log.last_index(),
            last_term = state.log.last_term(),
            voters = state.membership().voters().count(),
            quorum = state.membership().quorum(),
            asked = count.requested,
            granted = count.granted,
            refused = count.refused,
            unanswered = count.requested - count.granted - count.refused,
            late = count.late,
            waited_ms = count.waited.as_millis() as u64,
            leader_heard_ms = now.saturating_sub(state.last_leader_contact).as_millis() as u64
        });
    }

    /// Enters `next_term` and votes for itself. Returns `None` if the term has changed, a leader has made contact, or
    /// the disk write failed.
    async fn enter_next_term(&self, next_term: u64, transfer: bool) -> Option<u64> {
        let mut storage = self.inner.storage.lock().await;
        let own = {
            let state = self.inner.state.borrow();
            let stale = state.term + 1 != next_term || state.leadership().is_some() || state.stopping;
            // A leader that made contact after the pre-votes may rely on this replica for its lease.
            let lease_permits = transfer || self.is_leader_silent(&state);
            (lease_permits && !stale).then_some(state.identity.id)?
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

    /// Whether a quorum grants its vote in `term`, or would grant it if `pre_vote` is set.
    pub(crate) async fn collect_votes(&self, term: u64, pre_vote: bool, transfer: bool, count: &mut VoteCount) -> bool {
        let started_at = self.inner.platform.monotonic();
        let (own, peers, quorum, last_index, last_term) = {
            let state = self.inner.state.borrow();
            let own = state.identity.id;
            let others = state.membership().voters().filter(|member| member.id != own);
            let peers: Vec<_> = others.map(|member| (member.id, member.address)).collect();
            (own, peers, state.membership().quorum(), state.log.last_index(), state.log.last_term())
        };
        let mut votes = usize::from(self.inner.state.borrow().membership().is_voter(own));
        let timeout = self.inner.options.config.election_timeout / VOTE_TIMEOUT_DIVISOR;
        let timeout = self.inner.state.borrow().adaptive_timeout.scale(timeout);
        let send_request = |(id, address)| {
            let header = self.header(id, term);
            let request = ReplicaRequest::Vote { header, pre_vote, transfer, last_index, last_term };
            async move { self.try_send(Channel::Log, address, &request, timeout).await }
        };
        *count = VoteCount { requested: peers.len(), ..VoteCount::default() };
        let mut replies: FuturesUnordered<_> = peers.into_iter().map(send_request).collect();
        while votes < quorum {
            let reply = replies.next().await;
            count.waited = self.inner.platform.monotonic().saturating_sub(started_at);
            match reply {
                Some(Ok(ReplicaReply::Vote { granted: true, .. })) => {
                    votes += 1;
                    count.granted += 1;
                }
                Some(Ok(ReplicaReply::Vote { term: observed_term, granted: false })) => {
                    count.refused += 1;
                    self.observe_term(observed_term).await;
                }
                Some(Err(CallError::OutcomeUnknown)) => count.late += 1,
                Some(Ok(_) | Err(CallError::NotSent | CallError::UnsupportedByPeer)) => {}
                None => {
                    if votes + count.late >= quorum {
                        self.inner.state.borrow_mut().adaptive_timeout.record_vote_timeout();
                    }
                    return false;
                }
            }
        }
        let state = self.inner.state.borrow();
        pre_vote || state.term == term && matches!(state.role, Role::Candidate)
    }

    fn is_leader_silent(&self, state: &State<S>) -> bool {
        self.inner.platform.monotonic() >= state.last_leader_contact + self.inner.options.config.election_timeout
    }

    /// Writes a term and vote to disk; no older leader is acknowledged while the write is in progress. Returns whether
    /// it succeeded.
    async fn write_term(&self, storage: &mut Storage<P::Disk>, term: u64, voted_for: Option<ReplicaId>) -> bool {
        self.inner.state.borrow_mut().term_being_written = Some(term);
        let written = storage.append(&[WalRecord::HardState { term, voted_for }]).await;
        self.inner.state.borrow_mut().term_being_written = None;
        if written.is_err() {
            self.fail_storage();
        }
        written.is_ok()
    }

    /// Moves to `term` if it is newer than this replica's own.
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
        self.inner.state_changed.notify();
    }

    /// Handles a vote request; `candidate_last` is the term and index of the candidate's last entry.
    pub(crate) async fn handle_vote(
        &self,
        header: Header,
        pre_vote: bool,
        transfer: bool,
        candidate_last: (u64, u64),
    ) -> ReplicaReply {
        let mut storage = self.inner.storage.lock().await;
        let negative_reply = {
            let state = self.inner.state.borrow();
            let now = self.inner.platform.monotonic();
            let leaderless = self.is_leader_silent(&state) && state.leadership().is_none();
            let own_last = (state.log.last_term(), state.log.last_index());
            let may_vote =
                header.term > state.term || state.voted_for.is_none() || state.voted_for == Some(header.from);
            let term_available =
                if pre_vote { header.term > state.term } else { header.term >= state.term && may_vote };
            let refusal = if !(leaderless || transfer) {
                Some(VoteRefusal::LeaderActive)
            } else if !term_available {
                Some(VoteRefusal::TermUnavailable)
            } else if candidate_last < own_last {
                Some(VoteRefusal::LogBehind)
            } else {
                None
            };
            if let Some(refusal) = refusal {
                self.record_refused_vote(refusal);
                spdlog::debug!("vote refused", kv: {
                    candidate = header.from.0,
                    pre_vote = pre_vote,
                    term = header.term,
                    own_term = state.term,
                    leader_heard_ms = now.saturating_sub(state.last_leader_contact).as_millis() as u64,
                    candidate_index = candidate_last.1,
                    own_index = own_last.1
                });
            }
            refusal.map(|_| ReplicaReply::Vote { term: state.term, granted: false })
        };
        if let Some(reply) = negative_reply {
            return reply;
        }
        if pre_vote {
            return ReplicaReply::Vote { term: header.term, granted: true };
        }
        if !self.write_term(&mut storage, header.term, Some(header.from)).await {
            return ReplicaReply::Rejected;
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
        self.inner.state_changed.notify();
    }
}
