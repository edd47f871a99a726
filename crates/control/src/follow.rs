//! Serves the long polls of relays: state updates, each with a lease during which the relay may act on its copy.
//!
//! The leader serves up to `leader_relays` relays itself. With more, it redirects them to followers, which spreads the
//! load. A follower serves them by follower reads: it requests the leader's commit position, as in Raft's ReadIndex,
//! and once it has applied the log up to there, its state is at least as new as the leader's was when the request was
//! sent. The time since that request is subtracted from the relay's lease, so that a lease from a follower ends no
//! later than one from the leader would.

use crate::large_replies::{Content, covers_reply};
use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::engine_subset::{RelayLocation, hash_position};
use saddlerelay_rpc::reply_memory::Reservation;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{FollowReply, FollowRequest, GatewayReply, RelayClock, RelayData};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::usage::RelayUsage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time that a poll of a relay waits at a follower for a confirmation by the leader.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(300);

/// Maximum age of a confirmation used for a reply. An older one would leave the relay too little of its lease.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(600);

/// A follower stops requesting confirmations this long after the last poll of a relay.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Retry pause of a relay without a leader, in microseconds per relay in the deployment. Limits all relays together to
/// 4,000 requests a second, so that they do not delay an election.
const RETRY_PAUSE_US_PER_RELAY: u32 = 250;

/// Relays are not redirected to a follower whose last message to the leader is older than this.
const FOLLOWER_SILENCE_LIMIT_MS: u64 = 300;

/// Maximum replication lag, in log entries, of a follower that relays are redirected to.
const MAX_FOLLOWER_LAG: u64 = 512;

/// A confirmation that this replica's state is at least as new as the leader's was at a moment in the past.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Confirmation {
    /// When the request to the leader was sent, by this process's monotonic clock.
    pub sent_at: Duration,
    /// The leader's group time in Unix milliseconds, and when its reply was received.
    pub group_unix_ms: Option<(u64, Duration)>,
    /// Number of relays known to the leader.
    pub relays: u32,
}

/// What a follower has received from the relays that poll it, and its newest confirmation.
#[derive(Debug, Default)]
pub(crate) struct FollowerReads {
    /// The newest confirmation.
    pub confirmation: Option<Confirmation>,
    /// When a relay last polled.
    polled_at: Option<Duration>,
    /// Wall clock of each relay in Unix milliseconds, and when it was received.
    clocks: BTreeMap<String, (u64, Duration)>,
    usage: Vec<RelayUsage>,
}

impl FollowerReads {
    fn record_poll(&mut self, follow: &mut FollowRequest, now: Duration) {
        self.polled_at = Some(now);
        self.clocks.insert(follow.relay.clone(), (follow.unix_ms, now));
        if let Some(delta) = follow.usage.take() {
            // A relay repeats the same delta until it is committed.
            let usage = RelayUsage { relay: follow.incarnation, delta };
            if !self.usage.contains(&usage) {
                self.usage.push(usage);
            }
        }
    }

    /// Whether a relay has polled recently. If none has, everything recorded is discarded.
    pub fn is_active(&mut self, now: Duration) -> bool {
        let active = self.polled_at.is_some_and(|at| now < at + IDLE_LIMIT);
        if !active {
            *self = Self::default();
        }
        active
    }

    /// The clocks and usage counts received from relays since the last call.
    pub fn take_relay_data(&mut self, now: Duration) -> RelayData {
        let clocks = std::mem::take(&mut self.clocks).into_iter().map(|(relay, (unix_ms, received_at))| {
            let age_ms = now.saturating_sub(received_at).as_millis() as u64;
            RelayClock { relay, unix_ms: unix_ms.saturating_add(age_ms) }
        });
        RelayData { clocks: clocks.collect(), usage: std::mem::take(&mut self.usage) }
    }

    /// The newest confirmation, unless it is older than [`MAX_CONFIRMATION_AGE`].
    fn recent_confirmation(&self, now: Duration) -> Option<Confirmation> {
        self.confirmation.filter(|confirmation| now < confirmation.sent_at + MAX_CONFIRMATION_AGE)
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Serves a poll of a relay: replies when there is an update for it, or after `long_poll_timeout`.
    pub(crate) async fn follow(&self, follow: FollowRequest, reservation: &mut Option<Reservation>) -> ControlReply {
        if self.inner.replica.leading_term().is_none() && follow.at_follower {
            return self.serve_as_follower(follow, reservation).await;
        }
        self.serve_as_leader(follow, reservation).await
    }

    async fn serve_as_leader(&self, mut follow: FollowRequest, reservation: &mut Option<Reservation>) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().record_sample(&follow.relay, follow.unix_ms, platform.monotonic());
        if let Some(delta) = follow.usage.take() {
            self.queue_usage(RelayUsage { relay: follow.incarnation, delta });
        }
        let deadline = platform.monotonic() + self.inner.config.long_poll_timeout;
        let lease = self.inner.config.follow_lease;
        loop {
            let notified_count = self.inner.relay_updates.count();
            let guard = self.inner.reply_lock.lock().await;
            let Some(mut reply) = self.read(|state| self.follow_reply(state, &follow, lease)) else {
                return self.not_leader();
            };
            drop(guard);
            if let Some(bytes) = uncovered_update_bytes(&reply, reservation) {
                // Waits without the reply, and builds it again from the state as it is then.
                drop(reply);
                if !self.reserve_reply(reservation, Content::Routing, bytes, 0).await {
                    return ControlReply::Gateway(GatewayReply::Unavailable);
                }
                continue;
            }
            let remaining = deadline.saturating_sub(platform.monotonic());
            if remaining.is_zero() || has_updates(&reply) {
                reply.group_unix_ms = self.group_unix_ms();
                reply.follower = self.follower_for(&follow);
                reply.retry_pause_ms = retry_pause_ms(self.relay_count());
                if self.leads_at_level_one() {
                    // Marking an instance silent does not increase the revision at this level, so all are sent.
                    let location = RelayLocation::new(&follow.relay, &follow.zone);
                    reply.instances = self.read_applied(|state| state.instances.changes_for_relay(location, 0));
                }
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            if timeout(platform, remaining, self.inner.relay_updates.changed(notified_count)).await.is_some()
                && self.has_many_relays()
            {
                // Batches changes: each reply would go to every relay.
                platform.sleep(self.inner.config.update_batch_delay).await;
            }
        }
    }

    async fn serve_as_follower(
        &self,
        mut follow: FollowRequest,
        reservation: &mut Option<Reservation>,
    ) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.follower_reads.borrow_mut().record_poll(&mut follow, platform.monotonic());
        let deadline = platform.monotonic() + self.inner.config.long_poll_timeout;
        loop {
            let notified_count = self.inner.relay_updates.count();
            let Some(confirmation) = self.wait_for_confirmation().await else {
                return self.not_leader();
            };
            let now = platform.monotonic();
            let lease = self.inner.config.follow_lease.saturating_sub(now.saturating_sub(confirmation.sent_at));
            let guard = self.inner.reply_lock.lock().await;
            let reply = self
                .read_applied(|state| (!is_behind(state, &follow)).then(|| self.follow_reply(state, &follow, lease)));
            drop(guard);
            let Some(mut reply) = reply else {
                return self.not_leader();
            };
            if let Some(bytes) = uncovered_update_bytes(&reply, reservation) {
                drop(reply);
                if !self.reserve_reply(reservation, Content::Routing, bytes, 0).await {
                    return ControlReply::Gateway(GatewayReply::Unavailable);
                }
                continue;
            }
            let remaining = deadline.saturating_sub(now);
            if remaining.is_zero() || has_updates(&reply) {
                reply.follower = Some(self.inner.replica.address());
                reply.retry_pause_ms = retry_pause_ms(confirmation.relays);
                reply.group_unix_ms = confirmation
                    .group_unix_ms
                    .map(|(unix_ms, read_at)| unix_ms.saturating_add(now.saturating_sub(read_at).as_millis() as u64));
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            timeout(platform, remaining, self.inner.relay_updates.changed(notified_count)).await;
        }
    }

    async fn wait_for_confirmation(&self) -> Option<Confirmation> {
        let platform = &self.inner.platform;
        let deadline = platform.monotonic() + MAX_CONFIRMATION_WAIT;
        loop {
            let now = platform.monotonic();
            let notified_count = self.inner.confirmed.count();
            if let Some(confirmation) = self.inner.follower_reads.borrow().recent_confirmation(now) {
                return Some(confirmation);
            }
            let remaining = deadline.saturating_sub(now);
            if remaining.is_zero() {
                return None;
            }
            timeout(platform, remaining, self.inner.confirmed.changed(notified_count)).await;
        }
    }

    /// Confirms the state of a follower that serves relays: returns the read index, group time and number of relays.
    pub(crate) fn confirm(&self, relay_data: RelayData) -> ControlReply {
        let Some(position) = self.inner.replica.read_index() else {
            return self.not_leader();
        };
        let now = self.inner.platform.monotonic();
        for clock in relay_data.clocks {
            self.inner.group_clock.borrow_mut().record_sample(&clock.relay, clock.unix_ms, now);
        }
        relay_data.usage.into_iter().for_each(|usage| self.queue_usage(usage));
        ControlReply::Gateway(GatewayReply::Confirmed {
            position,
            group_unix_ms: self.group_unix_ms(),
            relays: self.relay_count(),
        })
    }

    /// Queues a relay's usage counts for commit, unless they are committed or queued already.
    fn queue_usage(&self, usage: RelayUsage) {
        if self.leads_at_level_one() {
            // The relay sends the counts again once the level has been raised.
            return;
        }
        let committed = self.read(|state| state.usage.last_sequence(usage.relay) >= usage.delta.sequence);
        let mut inbox = self.inner.usage_inbox.borrow_mut();
        if committed == Some(false) && !inbox.contains(&usage) {
            inbox.push(usage);
        }
    }

    /// Median wall clock of the machines, in Unix milliseconds; `None` until relays have reported theirs for a while.
    pub fn group_unix_ms(&self) -> Option<u64> {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().unix_ms(platform.unix_milliseconds(), platform.monotonic())
    }

    /// Number of relays whose clocks have been received recently, directly or through followers.
    fn relay_count(&self) -> u32 {
        self.inner.group_clock.borrow().machines() as u32
    }

    /// Whether there are more relays than the leader serves itself.
    fn has_many_relays(&self) -> bool {
        self.relay_count() as usize > self.inner.config.leader_relays
    }

    fn follow_reply(&self, state: &ControlState, follow: &FollowRequest, lease: Duration) -> FollowReply {
        let mut updates = self.inner.routing_updates.borrow_mut();
        let routing = state.routing.current().and_then(|current| updates.update(current, follow.routing_version));
        let replicas = self.inner.replica.member_addresses();
        let nearest_replica = nearest_replica(state, &replicas, &follow.relay, &follow.zone);
        FollowReply {
            lease_ms: lease.as_millis() as u64,
            routing,
            instances: state
                .instances
                .changes_for_relay(RelayLocation::new(&follow.relay, &follow.zone), follow.instance_revision),
            follower: None,
            retry_pause_ms: 0,
            replicas,
            nearest_replica,
            group_unix_ms: None,
            committed_usage_sequence: state.usage.last_sequence(follow.incarnation),
            suspicions: state.suspicions.newer_than(follow.suspicion_revision),
        }
    }

    /// The follower that a relay should poll from now on, preferably one in its zone; `None` if the leader serves it.
    fn follower_for(&self, follow: &FollowRequest) -> Option<SocketAddr> {
        // Members of older builds serve relays only while they lead.
        if !self.has_many_relays() || self.leads_at_level_one() {
            return None;
        }
        let view = self.inner.replica.view()?;
        let eligible = view.replicas.iter().filter(|replica| {
            let lag = view.committed.saturating_sub(replica.matched);
            replica.id != view.leader
                && replica.heard_milliseconds_ago < FOLLOWER_SILENCE_LIMIT_MS
                && lag <= MAX_FOLLOWER_LAG
        });
        let eligible: Vec<SocketAddr> = eligible.map(|replica| replica.address).collect();
        let in_zone: Vec<SocketAddr> = self.read_applied(|state| {
            state.stores.addresses(Some(&follow.zone)).filter(|address| eligible.contains(address)).collect()
        });
        replica_for_relay(if in_zone.is_empty() { &eligible } else { &in_zone }, &follow.relay)
    }
}

/// Size of the routing update in `reply`, if memory must first be reserved for it.
fn uncovered_update_bytes(reply: &FollowReply, reservation: &Option<Reservation>) -> Option<usize> {
    let bytes = reply.routing.as_ref()?.len();
    (!covers_reply(reservation, bytes)).then_some(bytes)
}

/// Retry pause of relays that find no leader, in milliseconds.
fn retry_pause_ms(relays: u32) -> u32 {
    relays * RETRY_PAUSE_US_PER_RELAY / 1_000
}

/// Selects a replica by the hash of the relay's name: stable for one relay, and spread over the replicas.
fn replica_for_relay(replicas: &[SocketAddr], relay: &str) -> Option<SocketAddr> {
    replicas.get(hash_position(relay) as usize % replicas.len().max(1)).copied()
}

/// A member in the relay's zone; the relays of a zone are spread over its members.
pub(crate) fn nearest_replica(
    state: &ControlState,
    members: &[SocketAddr],
    relay: &str,
    zone: &str,
) -> Option<SocketAddr> {
    let in_zone: Vec<SocketAddr> =
        state.stores.addresses(Some(zone)).filter(|address| members.contains(address)).collect();
    replica_for_relay(&in_zone, relay)
}

/// Whether this replica's state is older than the state that a relay has received from another replica.
fn is_behind(state: &ControlState, follow: &FollowRequest) -> bool {
    follow.instance_revision > state.instances.revision()
        || follow.routing_version > state.routing.version()
        || follow.suspicion_revision > state.suspicions.revision()
}

fn has_updates(reply: &FollowReply) -> bool {
    reply.routing.is_some()
        || reply.suspicions.is_some()
        || reply.instances.whole
        || !reply.instances.records.is_empty()
}
