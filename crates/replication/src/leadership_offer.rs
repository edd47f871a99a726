//! Leadership offers: a leader with bad links transfers leadership to a voter that reaches the others better.
//!
//! A leader whose links lose packets may still keep its lease, and every write is then slow. The leader alone cannot
//! determine whether a successor would do better, so both sides measure. A voter whose leader's appends are overdue
//! probes all voters. If it reaches a quorum promptly without the leader, its link to the leader is bad, and a quorum
//! would vote for it, it sends an offer. The leader then probes the voters itself and transfers leadership only if it
//! does not reach a quorum promptly.
//!
//! An offer is a pre-vote request with `transfer` set. Older builds reply to it as to any pre-vote and ignore the
//! offer.

use crate::calls::Channel;
use crate::election::VoteCount;
use crate::leadership_transfer::{SUCCESSOR_POLL_INTERVAL, Successor};
use crate::link_probe::LinkProbe;
use crate::membership::Member;
use crate::message::{Header, ReplicaRequest};
use crate::replica::Replica;
use crate::state::{State, StateMachine};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between checks for a slow leader and for offers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The leader counts as slow until this long after its last heartbeat; it sends heartbeats only while an append is
/// overdue.
const SLOW_LEADER_WINDOW: Duration = Duration::from_secs(1);

/// Initial pause between two probe rounds of a voter; doubled after each round that leads to no offer.
const MIN_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause between two probe rounds.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(8);

/// Validity of an offer. Covers two probe rounds, so that offers of several voters can be compared.
const OFFER_VALIDITY: Duration = Duration::from_secs(3);

/// How long a leader waits for a voter with an offer to have all committed entries. It keeps serving meanwhile.
const READY_SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(2);

/// For this long after taking over by its own offer, a leader considers no offers, so that leadership does not
/// alternate where all links are bad.
const OFFER_COOLDOWN: Duration = Duration::from_secs(30);

/// An offer by a voter to take over leadership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    received_at: Duration,
    /// Term and index of the voter's last entry.
    last_entry: (u64, u64),
}

/// Offers made and received by this replica.
#[derive(Debug, Default)]
pub(crate) struct LeadershipOffers {
    /// When the last heartbeat was received.
    heartbeat_at: Option<Duration>,
    /// Term in which this replica has offered to lead.
    offered_term: Option<u64>,
    /// When this replica last became leader by its own offer.
    took_over_at: Option<Duration>,
    /// Offers received by this leader, by voter.
    received: BTreeMap<ReplicaId, Offer>,
}

/// The current leader, whose appends are overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SlowLeader {
    id: ReplicaId,
    address: SocketAddr,
    term: u64,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Records a heartbeat, which the leader sends only while an append is overdue.
    pub(crate) fn record_heartbeat(&self) {
        self.inner.leadership_offers.borrow_mut().heartbeat_at = Some(self.inner.platform.monotonic());
    }

    /// Records that this replica was elected at the request of the previous leader.
    pub(crate) fn record_takeover(&self, term: u64) {
        let mut offers = self.inner.leadership_offers.borrow_mut();
        if offers.offered_term == Some(term) {
            offers.took_over_at = Some(self.inner.platform.monotonic());
        }
    }

    /// Offers to take over from a leader whose appends are overdue, if this replica has better links to the other
    /// voters.
    pub(crate) async fn run_leadership_offers(self) {
        let mut pause = MIN_PROBE_PAUSE;
        loop {
            self.inner.platform.sleep(CHECK_INTERVAL).await;
            let Some(leader) = self.slow_leader() else {
                continue;
            };
            let probe = self.probe_voters().await;
            let has_offered = self.offer_if_better(leader, &probe).await;
            pause = if has_offered { MIN_PROBE_PAUSE } else { (pause * 2).min(MAX_PROBE_PAUSE) };
            self.inner.platform.sleep(pause).await;
        }
    }

    /// The leader, if it is slow and this replica could replace it.
    fn slow_leader(&self) -> Option<SlowLeader> {
        let now = self.inner.platform.monotonic();
        let heartbeat_at = self.inner.leadership_offers.borrow().heartbeat_at?;
        let state = self.inner.state.borrow();
        let own = state.identity.id;
        let can_lead = state.membership().is_voter(own) && !state.storage_failed && !state.stopping;
        let id = state.leader.filter(|leader| *leader != own)?;
        let address = state.address_of(id)?;
        (can_lead && now < heartbeat_at + SLOW_LEADER_WINDOW).then_some(SlowLeader { id, address, term: state.term })
    }

    /// Sends an offer if this replica has better links than `leader`. Returns whether it did.
    async fn offer_if_better(&self, leader: SlowLeader, probe: &LinkProbe) -> bool {
        if self.slow_leader() != Some(leader) {
            return false;
        }
        let quorum = self.inner.state.borrow().membership().quorum();
        let reached = 1 + probe.prompt_voters_except(Some(leader.id));
        let has_better_links = probe.is_link_bad(leader.id) && reached >= quorum;
        let next_term = leader.term + 1;
        let mut count = VoteCount::default();
        let may_offer = has_better_links && self.collect_votes(next_term, true, true, &mut count).await;
        spdlog::info!("leader heard late", kv: {
            leader = leader.id.0, term = leader.term, late = probe.describe_late_probes().as_str(),
            reached = reached, quorum = quorum, leader_is_bad = probe.is_link_bad(leader.id), granted = count.granted,
            refused = count.refused, offers = may_offer
        });
        if may_offer {
            self.inner.leadership_offers.borrow_mut().offered_term = Some(next_term);
            self.send_offer(leader, next_term).await;
        }
        may_offer
    }

    async fn send_offer(&self, leader: SlowLeader, next_term: u64) {
        let (last_index, last_term) = {
            let state = self.inner.state.borrow();
            (state.log.last_index(), state.log.last_term())
        };
        let header = self.header(leader.id, next_term);
        let request = ReplicaRequest::Vote { header, pre_vote: true, transfer: true, last_index, last_term };
        // A lost offer is repeated after the next probe round.
        let _ = self.try_send(Channel::Probes, leader.address, &request, self.inner.options.config.call_timeout).await;
    }

    /// Records an offer if this replica leads. Other replicas handle it as the pre-vote request that it also is.
    pub(crate) fn record_offer(&self, header: &Header, last_entry: (u64, u64)) {
        let state = self.inner.state.borrow();
        if state.leadership().is_some() && header.term == state.term + 1 {
            let offer = Offer { received_at: self.inner.platform.monotonic(), last_entry };
            self.inner.leadership_offers.borrow_mut().received.insert(header.from, offer);
        }
    }

    /// Transfers leadership to a voter with an offer if this leader does not reach a quorum promptly, or only voters of its
    /// own zone, which do not show that the links to other zones are good.
    pub(crate) async fn evaluate_offers(self) {
        loop {
            self.inner.platform.sleep(CHECK_INTERVAL).await;
            let Some(term) = self.term_with_offers() else {
                continue;
            };
            let probe = self.probe_voters().await;
            let quorum = self.inner.state.borrow().membership().quorum();
            let reached = 1 + probe.prompt_voters_except(None);
            let must_transfer = reached < quorum || self.reaches_own_zone_only(&probe);
            spdlog::info!("offer to lead considered", kv: {
                term = term, offers = self.unexpired_offers().len(), late = probe.describe_late_probes().as_str(),
                reached = reached, quorum = quorum, hands_over = must_transfer
            });
            if must_transfer && self.await_ready_successor(term).await {
                self.transfer_leadership_to(|attempted| self.best_offer(attempted)).await;
            }
            self.inner.leadership_offers.borrow_mut().received.clear();
        }
    }

    /// Whether this replica's zone is known and no voter of another zone replied to all probes promptly.
    fn reaches_own_zone_only(&self, probe: &LinkProbe) -> bool {
        let zones = self.inner.zones.borrow();
        let own_zone = zones.get(&self.inner.options.address);
        own_zone.is_some() && probe.are_all_late(|voter| zones.get(&voter.address) != own_zone)
    }

    /// Term in which this replica leads, if there are offers to consider.
    fn term_with_offers(&self) -> Option<u64> {
        let state = self.inner.state.borrow();
        state.leadership().filter(|leadership| !leadership.transfer_in_progress)?;
        let now = self.inner.platform.monotonic();
        let took_over_at = self.inner.leadership_offers.borrow().took_over_at;
        let in_cooldown = took_over_at.is_some_and(|since| now < since + OFFER_COOLDOWN);
        (!in_cooldown && !self.unexpired_offers().is_empty()).then_some(state.term)
    }

    /// Offers that have not expired.
    fn unexpired_offers(&self) -> BTreeMap<ReplicaId, Offer> {
        let now = self.inner.platform.monotonic();
        let mut offers = self.inner.leadership_offers.borrow_mut();
        offers.received.retain(|_, offer| now < offer.received_at + OFFER_VALIDITY);
        offers.received.clone()
    }

    /// Waits for a voter with an offer that has all committed entries. Returns `false` after a timeout or the loss of
    /// leadership.
    async fn await_ready_successor(&self, term: u64) -> bool {
        let deadline = self.inner.platform.monotonic() + READY_SUCCESSOR_TIMEOUT;
        while self.inner.platform.monotonic() < deadline {
            if !self.inner.state.borrow().leads_term(term) {
                return false;
            }
            if self.best_offer(&BTreeSet::new()).is_some() {
                return true;
            }
            self.inner.platform.sleep(SUCCESSOR_POLL_INTERVAL).await;
        }
        let state = self.inner.state.borrow();
        let peers = state.describe_peers(self.inner.platform.monotonic());
        spdlog::warn!("no caught-up successor for leadership transfer", kv: { term = term, commit = state.commit, peers = peers.as_str() });
        false
    }

    /// Of the voters with an offer and all committed entries, the one with the longest log; voters that were not
    /// attempted yet come first. Uncommitted entries are on fewer voters than a quorum, so a quorum can elect it.
    fn best_offer(&self, attempted: &BTreeSet<ReplicaId>) -> Option<Successor> {
        let state = self.inner.state.borrow();
        let offers = self.inner.leadership_offers.borrow();
        let excluded = self.inner.excluded_replicas.borrow();
        let own = state.identity.id;
        let voters = state.membership().voters().filter(|voter| voter.id != own && !excluded.contains(&voter.id));
        let match_index = |voter: &Member| {
            let offer = offers.received.get(&voter.id)?;
            Some(known_match_index(&state, voter.id, offer)).filter(|match_index| *match_index >= state.commit)
        };
        let ready = voters.filter_map(|voter| Some((match_index(voter)?, voter)));
        let (_, best) = ready.max_by_key(|(match_index, voter)| (!attempted.contains(&voter.id), *match_index))?;
        Some(Successor { id: best.id, address: best.address, term: state.term })
    }
}

/// Last entry of this leader's log that a voter is known to have, from its acknowledgements in this term or from its
/// offer.
fn known_match_index<S: StateMachine>(state: &State<S>, voter: ReplicaId, offer: &Offer) -> u64 {
    let progress = state.leadership().and_then(|leadership| leadership.progress.get(&voter));
    let matched = progress.map_or(0, |progress| progress.match_index);
    let (term, index) = offer.last_entry;
    // Log matching: two logs with an entry of the same term and index are equal up to it.
    let offered_index = if state.log.term_at(index) == Some(term) { index } else { 0 };
    matched.max(offered_index)
}
