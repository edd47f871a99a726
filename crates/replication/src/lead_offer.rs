//! Offers to lead: a leader behind bad links hands its lead over to a voter that reaches the others better.
//!
//! A leader that is heard late, but often enough to keep its lease, would stay for as long as its links are bad: every write and
//! every order then passes over them. It can't judge by itself, as it looks the same to it when all links are bad and a
//! successor would do no better. So both sides measure. A voter that hears its leader late probes all voters. If it reaches a
//! quorum of them promptly and the leader badly, and they would vote for it, it offers to lead. The leader then probes the
//! voters in turn, and hands over only if it does not reach a quorum of them promptly.
//!
//! An offer is a pre-vote request for an election that the leader would have asked for. Older builds answer one and do
//! nothing more.

use crate::calls::Channel;
use crate::election::VoteCount;
use crate::handover::{SUCCESSOR_POLL, Successor};
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

/// Pause between looks at whether there is something to do.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A leader is heard late while it sends heartbeats beside its appends; the last one is so old at most.
const LATE_WITHIN: Duration = Duration::from_secs(1);

/// Shortest pause of a voter between two probes. It doubles while the probes show no need of another leader.
const SHORTEST_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause between two probes.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// How long an offer counts: the time of two probes, so that those that come one after the other are compared.
const OFFER_KEPT: Duration = Duration::from_secs(3);

/// How long a leader waits until one that has offered to lead holds all that is committed. It serves meanwhile.
const READY_LIMIT: Duration = Duration::from_secs(2);

/// How long a leader that took over at its own offer considers no other: where links are bad everywhere, one that were
/// thought better by mistake would soon be thought worse.
const OFFICE_TIME: Duration = Duration::from_secs(30);

/// A voter that would lead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    at: Duration,
    /// Its last entry: term and index.
    end: (u64, u64),
}

/// What a replica knows of offers to lead: its own, and those made to it.
#[derive(Debug, Default)]
pub(crate) struct LeadOffers {
    /// When a heartbeat came that the leader sends beside an unanswered append.
    heartbeat_at: Option<Duration>,
    /// The term in which this replica has offered to lead.
    own_term: Option<u64>,
    /// Since when it leads at its own offer.
    in_office_since: Option<Duration>,
    /// Made to this leader.
    received: BTreeMap<ReplicaId, Offer>,
}

/// The leader as one of its voters knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LateLeader {
    id: ReplicaId,
    address: SocketAddr,
    term: u64,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Notes a heartbeat that the leader sent because an append was not answered in time.
    pub(crate) fn note_heartbeat(&self) {
        self.inner.lead_offers.borrow_mut().heartbeat_at = Some(self.inner.platform.monotonic());
    }

    /// Notes that this replica was elected at the request of the leader before.
    pub(crate) fn note_taken_over(&self, term: u64) {
        let mut offers = self.inner.lead_offers.borrow_mut();
        if offers.own_term == Some(term) {
            offers.in_office_since = Some(self.inner.platform.monotonic());
        }
    }

    /// Offers to lead while this replica follows a leader that it hears late and reaches the other voters better.
    pub(crate) async fn offer_to_lead(self) {
        let mut pause = SHORTEST_PAUSE;
        loop {
            self.inner.platform.sleep(WATCH_INTERVAL).await;
            let Some(leader) = self.late_leader() else {
                continue;
            };
            let probe = self.probe_voters().await;
            let has_offered = self.offer_if_better(leader, &probe).await;
            pause = if has_offered { SHORTEST_PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            self.inner.platform.sleep(pause).await;
        }
    }

    fn late_leader(&self) -> Option<LateLeader> {
        let now = self.inner.platform.monotonic();
        let heartbeat_at = self.inner.lead_offers.borrow().heartbeat_at?;
        let state = self.inner.state.borrow();
        let own = state.identity.id;
        let able = state.membership().is_voter(own) && !state.storage_failed && !state.stopping;
        let id = state.leader.filter(|leader| *leader != own)?;
        let address = state.address_of(id)?;
        (able && now < heartbeat_at + LATE_WITHIN).then_some(LateLeader { id, address, term: state.term })
    }

    /// Returns whether this replica has offered to lead.
    async fn offer_if_better(&self, leader: LateLeader, probe: &LinkProbe) -> bool {
        if self.late_leader() != Some(leader) {
            return false;
        }
        let quorum = self.inner.state.borrow().membership().quorum();
        let reached = 1 + probe.sound_without(Some(leader.id));
        let is_better = probe.is_bad(leader.id) && reached >= quorum;
        let next_term = leader.term + 1;
        let mut count = VoteCount::default();
        let offers = is_better && self.collect_votes(next_term, true, true, &mut count).await;
        spdlog::info!("leader heard late", kv: {
            leader = leader.id.0, term = leader.term, late = probe.late().as_str(), reached = reached, quorum = quorum,
            leader_is_bad = probe.is_bad(leader.id), granted = count.granted, refused = count.refused, offers = offers
        });
        if offers {
            self.inner.lead_offers.borrow_mut().own_term = Some(next_term);
            self.send_offer(leader, next_term).await;
        }
        offers
    }

    async fn send_offer(&self, leader: LateLeader, next_term: u64) {
        let (last_index, last_term) = {
            let state = self.inner.state.borrow();
            (state.log.last_index(), state.log.last_term())
        };
        let header = self.header(leader.id, next_term);
        let request = ReplicaRequest::Vote { header, pre_vote: true, transfer: true, last_index, last_term };
        // An offer that is lost is made again after the next probe.
        let _ = self.try_send(Channel::Probes, leader.address, &request, self.inner.options.config.call_limit).await;
    }

    /// Notes an offer to this leader; any other replica takes it for the pre-vote request that it is.
    pub(crate) fn note_offer(&self, header: &Header, end: (u64, u64)) {
        let state = self.inner.state.borrow();
        if state.leadership().is_some() && header.term == state.term + 1 {
            let offer = Offer { at: self.inner.platform.monotonic(), end };
            self.inner.lead_offers.borrow_mut().received.insert(header.from, offer);
        }
    }

    /// Hands the lead over to one that offers to lead, while this replica leads and reaches no quorum promptly.
    pub(crate) async fn consider_offers(self) {
        loop {
            self.inner.platform.sleep(WATCH_INTERVAL).await;
            let Some(term) = self.term_with_offers() else {
                continue;
            };
            let probe = self.probe_voters().await;
            let quorum = self.inner.state.borrow().membership().quorum();
            let reached = 1 + probe.sound_without(None);
            let hands_over = reached < quorum;
            spdlog::info!("offer to lead considered", kv: {
                term = term, offers = self.fresh_offers().len(), late = probe.late().as_str(),
                reached = reached, quorum = quorum, hands_over = hands_over
            });
            if hands_over && self.await_ready_successor(term).await {
                self.hand_over_to(|asked| self.best_offer(asked)).await;
            }
            self.inner.lead_offers.borrow_mut().received.clear();
        }
    }

    /// The term in which this replica leads, if there are offers to consider.
    fn term_with_offers(&self) -> Option<u64> {
        let state = self.inner.state.borrow();
        state.leadership().filter(|leadership| !leadership.handing_over)?;
        let now = self.inner.platform.monotonic();
        let in_office_since = self.inner.lead_offers.borrow().in_office_since;
        let is_new = in_office_since.is_some_and(|since| now < since + OFFICE_TIME);
        (!is_new && !self.fresh_offers().is_empty()).then_some(state.term)
    }

    fn fresh_offers(&self) -> BTreeMap<ReplicaId, Offer> {
        let now = self.inner.platform.monotonic();
        let mut offers = self.inner.lead_offers.borrow_mut();
        offers.received.retain(|_, offer| now < offer.at + OFFER_KEPT);
        offers.received.clone()
    }

    /// Waits until one that offers to lead would be elected; `false` if none would be in time.
    async fn await_ready_successor(&self, term: u64) -> bool {
        let deadline = self.inner.platform.monotonic() + READY_LIMIT;
        while self.inner.platform.monotonic() < deadline {
            if !self.inner.state.borrow().leads_term(term) {
                return false;
            }
            if self.best_offer(&BTreeSet::new()).is_some() {
                return true;
            }
            self.inner.platform.sleep(SUCCESSOR_POLL).await;
        }
        let state = self.inner.state.borrow();
        let peers = state.peers_heard(self.inner.platform.monotonic());
        spdlog::warn!("no successor ready", kv: { term = term, commit = state.commit, peers = peers.as_str() });
        false
    }

    /// Of those that offer to lead and hold all that is committed, the one that holds most: a quorum of the voters holds no
    /// more than is committed and elects it. First those that were not asked yet.
    fn best_offer(&self, asked: &BTreeSet<ReplicaId>) -> Option<Successor> {
        let state = self.inner.state.borrow();
        let offers = self.inner.lead_offers.borrow();
        let unwanted = self.inner.unwanted.borrow();
        let own = state.identity.id;
        let voters = state.membership().voters().filter(|voter| voter.id != own && !unwanted.contains(&voter.id));
        let held = |voter: &Member| {
            let offer = offers.received.get(&voter.id)?;
            Some(held_by(&state, voter.id, offer)).filter(|held| *held >= state.commit)
        };
        let ready = voters.filter_map(|voter| Some((held(voter)?, voter)));
        let (_, best) = ready.max_by_key(|(held, voter)| (!asked.contains(&voter.id), *held))?;
        Some(Successor { id: best.id, address: best.address, term: state.term })
    }
}

/// The last of this leader's entries that a voter is known to hold, by its answers in this term or by its offer.
fn held_by<S: StateMachine>(state: &State<S>, voter: ReplicaId, offer: &Offer) -> u64 {
    let progress = state.leadership().and_then(|leadership| leadership.progress.get(&voter));
    let matched = progress.map_or(0, |progress| progress.matched);
    let (term, index) = offer.end;
    // Logs with an entry of the same term at the same index are the same up to it.
    let offered = if state.log.term_at(index) == Some(term) { index } else { 0 };
    matched.max(offered)
}
