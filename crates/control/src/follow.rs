//! Tells relays what they lack, and lets them act on it for a while.
//!
//! The leader tells them itself while they are few. Beyond, it sends them on to the group's other replicas, which hold the
//! same state: what a question costs is then shared among them, and the leader answers each of them some times a second
//! instead of each relay. A relay may act until what it was told is as old as the lease allows, counted from the moment at
//! which the leader's state was at least as old: a replica that does not lead asks the leader how far the log is committed,
//! and from that question on, once it has applied so much, its state is as good as the leader's was then. The time that
//! passes between that question and a relay's is taken off the relay's lease, so two levels give no longer lease than one.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::engine_subset::{RelayPlace, position};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{FollowReply, FollowRequest, GatewayReply, RelayClock, RelayWords};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::usage::RelayUsage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a relay's question waits at a replica that does not lead until the leader has confirmed its state: a question
/// to the leader and the pause before it, with some to spare.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(300);

/// The oldest confirmation by which a replica answers. Older ones leave relays too little of their lease.
const OLDEST_CONFIRMATION: Duration = Duration::from_millis(600);

/// How long a replica goes on having its state confirmed after the last relay has asked.
const ASKED_LATELY: Duration = Duration::from_secs(3);

/// What each relay adds to the pause of all before they ask another replica when none leads, in microseconds: together they
/// ask 4,000 times a second, whatever their number, so that the replicas that elect a leader have time for it. Up to 160
/// relays wait for 40 ms.
const RETRY_PAUSE_US_PER_RELAY: u32 = 250;

/// A replica that has been silent for so long is given no relays.
const FOLLOWER_SILENCE_MS: u64 = 300;

/// How far behind the log a replica may be that is given relays, in entries.
const FOLLOWER_BEHIND: u64 = 512;

/// A moment at which the leader's state was not newer than this replica's is now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Confirmation {
    /// When the leader was asked, by this process's clock.
    pub at: Duration,
    /// The time of day that most machines agreed on then, and when the answer came.
    pub group_unix_ms: Option<(u64, Duration)>,
    /// Relays that the leader had heard of.
    pub relays: u32,
}

/// What a replica that does not lead knows of the relays that ask it.
#[derive(Debug, Default)]
pub(crate) struct Following {
    /// The newest confirmation.
    pub confirmation: Option<Confirmation>,
    /// When a relay last asked.
    asked_at: Option<Duration>,
    /// Their times of day, and when they were heard.
    clocks: BTreeMap<String, (u64, Duration)>,
    usage: Vec<RelayUsage>,
}

impl Following {
    fn hear(&mut self, follow: &mut FollowRequest, now: Duration) {
        self.asked_at = Some(now);
        self.clocks.insert(follow.relay.clone(), (follow.unix_ms, now));
        if let Some(difference) = follow.usage.take() {
            // A relay tells the same difference until it is committed.
            let usage = RelayUsage { relay: follow.incarnation, difference };
            if !self.usage.contains(&usage) {
                self.usage.push(usage);
            }
        }
    }

    /// Whether relays have asked lately; otherwise what was confirmed is forgotten.
    pub fn is_wanted(&mut self, now: Duration) -> bool {
        let wanted = self.asked_at.is_some_and(|at| now < at + ASKED_LATELY);
        if !wanted {
            *self = Self::default();
        }
        wanted
    }

    /// What relays have told since the last call.
    pub fn take_words(&mut self, now: Duration) -> RelayWords {
        let clocks = std::mem::take(&mut self.clocks).into_iter().map(|(relay, (unix_ms, heard_at))| {
            let age_ms = now.saturating_sub(heard_at).as_millis() as u64;
            RelayClock { relay, unix_ms: unix_ms.saturating_add(age_ms) }
        });
        RelayWords { clocks: clocks.collect(), usage: std::mem::take(&mut self.usage) }
    }

    /// The confirmation, if it is not too old.
    fn fresh(&self, now: Duration) -> Option<Confirmation> {
        self.confirmation.filter(|confirmation| now < confirmation.at + OLDEST_CONFIRMATION)
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Answers as soon as there is something new, or after a while.
    pub(crate) async fn follow(&self, follow: FollowRequest) -> ControlReply {
        if self.inner.replica.leading_term().is_none() && follow.at_follower {
            return self.follow_follower(follow).await;
        }
        self.follow_leader(follow).await
    }

    async fn follow_leader(&self, mut follow: FollowRequest) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().hear(&follow.relay, follow.unix_ms, platform.monotonic());
        if let Some(difference) = follow.usage.take() {
            self.take_usage(RelayUsage { relay: follow.incarnation, difference });
        }
        let until = platform.monotonic() + self.inner.config.renewal_wait;
        let lease = self.inner.config.follow_lease;
        loop {
            let seen = self.inner.news.count();
            let turn = self.inner.answer_turn.lock().await;
            let Some(mut reply) = self.read(|state| self.follow_reply(state, &follow, lease)) else {
                return self.not_leader();
            };
            drop(turn);
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() || brings_news(&reply) {
                reply.group_unix_ms = self.group_unix_ms();
                reply.follower = self.follower_for(&follow);
                reply.retry_pause_ms = retry_pause_ms(self.relays());
                if self.leads_at_level_one() {
                    // Marks of silence move no revision there.
                    let place = RelayPlace::new(&follow.relay, &follow.zone);
                    reply.instances = self.read_applied(|state| state.instances.news_for(place, 0));
                }
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            if timeout(platform, left, self.inner.news.changed(seen)).await.is_some() && self.has_many_relays() {
                // One answer for what changes in a moment: each would wake every relay.
                platform.sleep(self.inner.config.news_interval).await;
            }
        }
    }

    async fn follow_follower(&self, mut follow: FollowRequest) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.following.borrow_mut().hear(&mut follow, platform.monotonic());
        let until = platform.monotonic() + self.inner.config.renewal_wait;
        loop {
            let seen = self.inner.news.count();
            let Some(confirmation) = self.await_confirmation().await else {
                return self.not_leader();
            };
            let now = platform.monotonic();
            let lease = self.inner.config.follow_lease.saturating_sub(now.saturating_sub(confirmation.at));
            let turn = self.inner.answer_turn.lock().await;
            let reply = self
                .read_applied(|state| (!is_behind(state, &follow)).then(|| self.follow_reply(state, &follow, lease)));
            drop(turn);
            let Some(mut reply) = reply else {
                return self.not_leader();
            };
            let left = until.saturating_sub(now);
            if left.is_zero() || brings_news(&reply) {
                reply.follower = Some(self.inner.replica.address());
                reply.retry_pause_ms = retry_pause_ms(confirmation.relays);
                reply.group_unix_ms = confirmation
                    .group_unix_ms
                    .map(|(unix_ms, heard_at)| unix_ms.saturating_add(now.saturating_sub(heard_at).as_millis() as u64));
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            timeout(platform, left, self.inner.news.changed(seen)).await;
        }
    }

    async fn await_confirmation(&self) -> Option<Confirmation> {
        let platform = &self.inner.platform;
        let until = platform.monotonic() + CONFIRMATION_WAIT;
        loop {
            let now = platform.monotonic();
            let seen = self.inner.confirmed.count();
            if let Some(confirmation) = self.inner.following.borrow().fresh(now) {
                return Some(confirmation);
            }
            let left = until.saturating_sub(now);
            if left.is_zero() {
                return None;
            }
            timeout(platform, left, self.inner.confirmed.changed(seen)).await;
        }
    }

    /// Answers a replica that answers relays.
    pub(crate) fn confirm(&self, words: RelayWords) -> ControlReply {
        let Some(position) = self.inner.replica.read_position() else {
            return self.not_leader();
        };
        let now = self.inner.platform.monotonic();
        for clock in words.clocks {
            self.inner.group_clock.borrow_mut().hear(&clock.relay, clock.unix_ms, now);
        }
        words.usage.into_iter().for_each(|usage| self.take_usage(usage));
        ControlReply::Gateway(GatewayReply::Confirmed {
            position,
            group_unix_ms: self.group_unix_ms(),
            relays: self.relays(),
        })
    }

    /// Takes a relay's counts, unless they are committed or wait already.
    fn take_usage(&self, usage: RelayUsage) {
        if self.leads_at_level_one() {
            // The relay tells it again.
            return;
        }
        let committed = self.read(|state| state.usage.taken_from(usage.relay) >= usage.difference.sequence);
        let mut inbox = self.inner.usage_inbox.borrow_mut();
        if committed == Some(false) && !inbox.contains(&usage) {
            inbox.push(usage);
        }
    }

    /// The time of day that most machines agree on, in Unix milliseconds; `None` until relays have been heard for a while.
    pub fn group_unix_ms(&self) -> Option<u64> {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().unix_ms(platform.unix_milliseconds(), platform.monotonic())
    }

    /// Relays that this leader has heard of lately, also through replicas.
    fn relays(&self) -> u32 {
        self.inner.group_clock.borrow().machines() as u32
    }

    /// Whether there are more relays than the leader answers itself.
    fn has_many_relays(&self) -> bool {
        self.relays() as usize > self.inner.config.leader_relays
    }

    fn follow_reply(&self, state: &ControlState, follow: &FollowRequest, lease: Duration) -> FollowReply {
        let mut updates = self.inner.routing_updates.borrow_mut();
        let routing = state.routing.current().and_then(|current| updates.update(current, follow.routing_version));
        let replicas = self.inner.replica.member_addresses();
        let nearest_replica = nearest_replica(state, &replicas, &follow.relay, &follow.zone);
        FollowReply {
            lease_ms: lease.as_millis() as u64,
            routing,
            instances: state.instances.news_for(RelayPlace::new(&follow.relay, &follow.zone), follow.instance_revision),
            follower: None,
            retry_pause_ms: 0,
            replicas,
            nearest_replica,
            group_unix_ms: None,
            usage_taken: state.usage.taken_from(follow.incarnation),
            suspicions: state.suspicions.newer_than(follow.suspicion_revision),
        }
    }

    /// The replica that a relay is to ask from now on, where there are many relays: one in its zone, if there is one.
    fn follower_for(&self, follow: &FollowRequest) -> Option<SocketAddr> {
        // Older builds among the members answer relays as leaders only.
        if !self.has_many_relays() || self.leads_at_level_one() {
            return None;
        }
        let view = self.inner.replica.view()?;
        let able = view.replicas.iter().filter(|replica| {
            let behind = view.committed.saturating_sub(replica.matched);
            replica.id != view.leader
                && replica.heard_milliseconds_ago < FOLLOWER_SILENCE_MS
                && behind <= FOLLOWER_BEHIND
        });
        let able: Vec<SocketAddr> = able.map(|replica| replica.address).collect();
        let near: Vec<SocketAddr> = self.read_applied(|state| {
            state.stores.addresses(Some(&follow.zone)).filter(|address| able.contains(address)).collect()
        });
        pick(if near.is_empty() { &able } else { &near }, &follow.relay)
    }
}

/// How long relays wait before they ask another replica when none leads.
fn retry_pause_ms(relays: u32) -> u32 {
    relays * RETRY_PAUSE_US_PER_RELAY / 1_000
}

/// One of several replicas, the same each time for one relay, and shared out among relays.
fn pick(replicas: &[SocketAddr], relay: &str) -> Option<SocketAddr> {
    replicas.get(position(relay) as usize % replicas.len().max(1)).copied()
}

/// A member in the relay's zone; relays of one zone are shared out among several.
pub(crate) fn nearest_replica(
    state: &ControlState,
    members: &[SocketAddr],
    relay: &str,
    zone: &str,
) -> Option<SocketAddr> {
    let near: Vec<SocketAddr> =
        state.stores.addresses(Some(zone)).filter(|address| members.contains(address)).collect();
    pick(&near, relay)
}

/// Whether a relay knows more than this replica: it has been told by another one.
fn is_behind(state: &ControlState, follow: &FollowRequest) -> bool {
    follow.instance_revision > state.instances.revision()
        || follow.routing_version > state.routing.version()
        || follow.suspicion_revision > state.suspicions.revision()
}

fn brings_news(reply: &FollowReply) -> bool {
    reply.routing.is_some()
        || reply.suspicions.is_some()
        || reply.instances.whole
        || !reply.instances.records.is_empty()
}
