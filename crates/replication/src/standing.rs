//! What a replica tells operators of its place in the group: whether it hears a leader, whether it votes, and which votes it
//! refuses.

use crate::replica::Replica;
use crate::state::{State, StateMachine};
use crate::storage::Recovered;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

/// Shortest pause between two lines of one kind: leaders that come and go several times a second cost no more than this.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after which a replica that still hears no leader says so again.
const LEADERLESS_REPEAT: Duration = Duration::from_secs(10);

/// The same of a replica that is no member: most of those that wait for a place hear no leader, and serve control all the same.
const NON_MEMBER_REPEAT: Duration = Duration::from_secs(60);

/// How a replica counts in the newest membership that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberStanding {
    Voter,
    Learner,
    NoMember,
}

impl MemberStanding {
    fn of<S: StateMachine>(state: &State<S>) -> Self {
        match state.membership().member(state.identity.id) {
            Some(member) if member.voter => Self::Voter,
            Some(_) => Self::Learner,
            None => Self::NoMember,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Voter => "voter",
            Self::Learner => "learner",
            Self::NoMember => "no member",
        }
    }
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteRefusal {
    /// A leader was heard within an election timeout, or this replica leads.
    LeaderHeard,
    /// The candidate's term is not newer, or this replica has voted for another in it.
    TermTaken,
    /// The candidate's log lacks entries that this replica holds.
    LogBehind,
}

/// Refused votes since the last line about them.
#[derive(Debug, Default)]
struct RefusedVotes {
    leader_heard: u64,
    term_taken: u64,
    log_behind: u64,
    told_at: Option<Duration>,
}

/// What was told last, and what is still to be told.
#[derive(Debug, Default)]
pub(crate) struct StandingReports {
    /// The leader that was named last, and the standing in the group.
    leader: Option<ReplicaId>,
    member: Option<MemberStanding>,
    /// Until when that leader was heard.
    leader_heard_until: Duration,
    leader_told_at: Option<Duration>,
    refused: RefusedVotes,
}

/// Says what this replica's files held when it started.
pub(crate) fn tell_recovered(recovered: &Recovered) {
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
        members = membership.names().as_str()
    });
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Says what has changed since the last call, within the bounds above.
    pub(crate) fn tell_standing(&self) {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let mut reports = self.inner.reports.borrow_mut();
        self.tell_leader(&state, &mut reports, now);
        tell_member(&state, &mut reports);
        tell_refused(&state, &mut reports.refused, now);
    }

    fn tell_leader(&self, state: &State<S>, reports: &mut StandingReports, now: Duration) {
        let heard_until = state.leader_heard_at + self.inner.options.config.election_timeout;
        let heard = state.leader.filter(|leader| *leader == state.identity.id || now < heard_until);
        if heard.is_some() && heard == reports.leader {
            reports.leader_heard_until = now;
            return;
        }
        let pause = match (heard.or(reports.leader), MemberStanding::of(state)) {
            (Some(_), _) => REPORT_INTERVAL,
            (None, MemberStanding::NoMember) => NON_MEMBER_REPEAT,
            (None, MemberStanding::Voter | MemberStanding::Learner) => LEADERLESS_REPEAT,
        };
        if reports.leader_told_at.is_some_and(|at| now < at + pause) {
            return;
        }
        let leader_heard_ms = now.saturating_sub(state.leader_heard_at).as_millis() as u64;
        match heard {
            Some(leader) => spdlog::info!("leader regained", kv: {
                dependency = "leader", leader = leader.0, term = state.term, own = leader == state.identity.id,
                leaderless_ms = now.saturating_sub(reports.leader_heard_until).as_millis() as u64
            }),
            None => spdlog::warn!("leader lost", kv: {
                dependency = "leader", last_leader = reports.leader.map_or(0, |leader| leader.0), term = state.term,
                leader_heard_ms = leader_heard_ms,
                standing = MemberStanding::of(state).name(),
                voters = state.membership().voters().count(), quorum = state.membership().quorum(),
                members = state.membership().names().as_str()
            }),
        }
        reports.leader = heard;
        if heard.is_some() {
            reports.leader_heard_until = now;
        }
        reports.leader_told_at = Some(now);
    }

    /// Notes a refused vote; the next look tells it.
    pub(crate) fn note_refused_vote(&self, refusal: VoteRefusal) {
        let refused = &mut self.inner.reports.borrow_mut().refused;
        match refusal {
            VoteRefusal::LeaderHeard => refused.leader_heard += 1,
            VoteRefusal::TermTaken => refused.term_taken += 1,
            VoteRefusal::LogBehind => refused.log_behind += 1,
        }
    }
}

fn tell_member<S: StateMachine>(state: &State<S>, reports: &mut StandingReports) {
    let standing = MemberStanding::of(state);
    if reports.member == Some(standing) {
        return;
    }
    reports.member = Some(standing);
    spdlog::info!("standing in the group", kv: {
        standing = standing.name(), replica = state.identity.id.0, membership_index = state.log.membership_index(),
        members = state.membership().names().as_str()
    });
}

fn tell_refused<S: StateMachine>(state: &State<S>, refused: &mut RefusedVotes, now: Duration) {
    let count = refused.leader_heard + refused.term_taken + refused.log_behind;
    if count == 0 || refused.told_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
        return;
    }
    spdlog::info!("votes refused", kv: {
        count = count, leader_heard = refused.leader_heard, term_taken = refused.term_taken,
        log_behind = refused.log_behind, term = state.term, last_index = state.log.last_index(),
        last_term = state.log.last_term(),
        leader_heard_ms = now.saturating_sub(state.leader_heard_at).as_millis() as u64
    });
    *refused = RefusedVotes { told_at: Some(now), ..RefusedVotes::default() };
}
