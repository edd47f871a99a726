//! Log lines about a replica's role in its group: contact with the leader, membership, and refused votes.

use crate::replica::Replica;
use crate::state::{State, StateMachine};
use crate::storage::Recovered;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

/// Shortest interval between two log lines of one kind.
pub(crate) const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a member without a leader repeats its log line.
const LEADERLESS_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a non-member without a leader repeats its log line. Longer, as most non-members have no leader.
const NON_MEMBER_REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// Role of a replica in its newest membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberRole {
    Voter,
    Learner,
    NonMember,
}

impl MemberRole {
    fn of<S: StateMachine>(state: &State<S>) -> Self {
        match state.membership().member(state.identity.id) {
            Some(member) if member.voter => Self::Voter,
            Some(_) => Self::Learner,
            None => Self::NonMember,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Voter => "voter",
            Self::Learner => "learner",
            Self::NonMember => "no member",
        }
    }
}

/// Reason why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteRefusal {
    /// A leader was in contact within the election timeout, or this replica leads.
    LeaderActive,
    /// The candidate's term is not newer, or this replica has voted for another candidate in it.
    TermUnavailable,
    /// The candidate's log is less up to date than this replica's.
    LogBehind,
}

/// Refused votes since the last log line about them.
#[derive(Debug, Default)]
struct RefusedVotes {
    leader_active: u64,
    term_unavailable: u64,
    log_behind: u64,
    logged_at: Option<Duration>,
}

/// What was last logged, and what remains to be logged.
#[derive(Debug, Default)]
pub(crate) struct RoleReports {
    /// Leader in the last log line.
    leader: Option<ReplicaId>,
    role: Option<MemberRole>,
    /// When that leader was last found active.
    last_contact: Duration,
    leader_logged_at: Option<Duration>,
    refused: RefusedVotes,
}

/// Logs the state recovered from the files.
pub(crate) fn log_recovered_state(recovered: &Recovered) {
    let membership = recovered.log.membership();
    spdlog::info!("replica opened", kv: {
        replica = recovered.identity.id.0,
        group = recovered.identity.group.unwrap_or_default(),
        term = recovered.term,
        voted_for = recovered.voted_for.map_or(0, |voted| voted.0),
        last_index = recovered.log.last_index(),
        last_term = recovered.log.last_term(),
        snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.header.index),
        torn_bytes = recovered.torn_bytes,
        feature_level = recovered.level.map_or(0, FeatureLevel::number),
        voters = membership.voters().count(),
        members = membership.describe().as_str()
    });
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Logs changes since the last call, subject to the intervals above.
    pub(crate) fn report_role_changes(&self) {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let mut reports = self.inner.role_reports.borrow_mut();
        self.report_leader(&state, &mut reports, now);
        report_role(&state, &mut reports);
        report_refused_votes(&state, &mut reports.refused, now);
    }

    fn report_leader(&self, state: &State<S>, reports: &mut RoleReports, now: Duration) {
        let contact_expires_at = state.last_leader_contact + self.inner.options.config.election_timeout;
        let active_leader = state.leader.filter(|leader| *leader == state.identity.id || now < contact_expires_at);
        if active_leader.is_some() && active_leader == reports.leader {
            reports.last_contact = now;
            return;
        }
        let interval = match (active_leader.or(reports.leader), MemberRole::of(state)) {
            (Some(_), _) => MIN_REPORT_INTERVAL,
            (None, MemberRole::NonMember) => NON_MEMBER_REPEAT_INTERVAL,
            (None, MemberRole::Voter | MemberRole::Learner) => LEADERLESS_REPEAT_INTERVAL,
        };
        if reports.leader_logged_at.is_some_and(|at| now < at + interval) {
            return;
        }
        let since_contact_ms = now.saturating_sub(state.last_leader_contact).as_millis() as u64;
        match active_leader {
            Some(leader) => spdlog::info!("leader regained", kv: {
                dependency = "leader", leader = leader.0, term = state.term, own = leader == state.identity.id,
                leaderless_ms = now.saturating_sub(reports.last_contact).as_millis() as u64
            }),
            None => spdlog::warn!("leader lost", kv: {
                dependency = "leader", last_leader = reports.leader.map_or(0, |leader| leader.0), term = state.term,
                leader_heard_ms = since_contact_ms,
                standing = MemberRole::of(state).name(),
                voters = state.membership().voters().count(), quorum = state.membership().quorum(),
                members = state.membership().describe().as_str()
            }),
        }
        reports.leader = active_leader;
        if active_leader.is_some() {
            reports.last_contact = now;
        }
        reports.leader_logged_at = Some(now);
    }

    /// Counts a refused vote for the next log line.
    pub(crate) fn record_refused_vote(&self, refusal: VoteRefusal) {
        let refused = &mut self.inner.role_reports.borrow_mut().refused;
        match refusal {
            VoteRefusal::LeaderActive => refused.leader_active += 1,
            VoteRefusal::TermUnavailable => refused.term_unavailable += 1,
            VoteRefusal::LogBehind => refused.log_behind += 1,
        }
    }
}

fn report_role<S: StateMachine>(state: &State<S>, reports: &mut RoleReports) {
    let role = MemberRole::of(state);
    if reports.role == Some(role) {
        return;
    }
    reports.role = Some(role);
    spdlog::info!("membership role changed", kv: {
        standing = role.name(), replica = state.identity.id.0, membership_index = state.log.membership_index(),
        members = state.membership().describe().as_str()
    });
}

fn report_refused_votes<S: StateMachine>(state: &State<S>, refused: &mut RefusedVotes, now: Duration) {
    let count = refused.leader_active + refused.term_unavailable + refused.log_behind;
    if count == 0 || refused.logged_at.is_some_and(|at| now < at + MIN_REPORT_INTERVAL) {
        return;
    }
    spdlog::info!("votes refused", kv: {
        count = count, leader_heard = refused.leader_active, term_taken = refused.term_unavailable,
        log_behind = refused.log_behind, term = state.term, last_index = state.log.last_index(),
        last_term = state.log.last_term(),
        leader_heard_ms = now.saturating_sub(state.last_leader_contact).as_millis() as u64
    });
    *refused = RefusedVotes { logged_at: Some(now), ..RefusedVotes::default() };
}
