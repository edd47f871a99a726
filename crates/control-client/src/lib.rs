//! Client of the control group: finds the leader and sends requests to it. `suspicions` exchanges evidence about
//! suspected work with the group, `trials` requests and renews the leases to run such work, and `reports` batches the
//! reports of engines.
//!
//! All commands are idempotent: changes carry a key or a revision, claims an arrival, samples an attempt, assignments a
//! sequence number. A call whose reply is lost is therefore retried until its deadline.

mod replicas;
pub mod reports;
pub mod search;
pub mod suspicions;
pub mod trials;

use crate::replicas::Replicas;
use crate::search::{LastResult, LeaderSearch};
use saddlerelay_layouts::level_one::follow::FollowConverter;
use saddlerelay_layouts::messages;
use saddlerelay_rpc::client::{CallError, Client, EncodedReply};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::{
    Command, CommandOutcome, ControlReply, ControlRequest, Query, QueryResult, RenewReply, RenewRequest,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a request to one replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause before the next attempt while no leader is known, unless the group has requested a longer one.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Upper limit of the exponential backoff of a client that has not reached a leader yet.
const MAX_INITIAL_PAUSE: Duration = Duration::from_millis(400);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The replica runs an older build whose protocol cannot encode the request. The request was not sent.
    UnsupportedByPeer,
    /// No leader replied before the deadline. A command may or may not be committed.
    Unavailable,
    /// The leader rejected the request; nothing was changed.
    Refused(String),
}

/// Why a gateway call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The replica runs an older build whose protocol cannot encode the request. Nothing was changed.
    NotUnderstood,
    /// The request was not executed and will not be.
    NotDone,
    /// The outcome is unknown: the request may have been executed, or may be later.
    Undecided,
}

struct Inner<P> {
    platform: P,
    replicas: RefCell<Replicas<P>>,
    /// Pause before the next attempt while no leader is known.
    retry_pause: Cell<Duration>,
    /// Whether a leader has ever replied to this client.
    has_reached_leader: Cell<bool>,
    /// Whether no leader has replied since the last attempt that failed.
    is_searching: Cell<bool>,
    /// State accumulated from poll replies of leaders at feature level one.
    follow_converter: RefCell<FollowConverter>,
    secret: String,
}

/// A client of the control group. Clones share connections.
pub struct ControlClient<P> {
    inner: Rc<Inner<P>>,
}

impl<P> Clone for ControlClient<P> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime> ControlClient<P> {
    /// Creates a client of the group whose replicas listen at `addresses`.
    pub fn new(platform: P, addresses: &[SocketAddr], secret: &str) -> Self {
        let replicas = RefCell::new(Replicas::new(platform.clone(), addresses, secret));
        let inner = Inner {
            platform,
            replicas,
            retry_pause: Cell::new(RETRY_PAUSE),
            has_reached_leader: Cell::new(false),
            is_searching: Cell::new(true),
            follow_converter: RefCell::default(),
            secret: secret.to_string(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Sets the pause between attempts while no leader is known, as requested by the group.
    pub fn set_retry_pause(&self, pause: Duration) {
        self.inner.retry_pause.set(pause.max(RETRY_PAUSE));
    }

    /// The pause before the next attempt, with jitter if it is longer than [`RETRY_PAUSE`].
    fn next_retry_pause(&self) -> Duration {
        let pause = self.inner.retry_pause.get();
        if !self.inner.has_reached_leader.get() {
            self.inner.retry_pause.set((pause * 3 / 2).min(MAX_INITIAL_PAUSE));
        }
        if pause <= RETRY_PAUSE { pause } else { pause / 2 + self.inner.platform.jitter(pause) }
    }

    /// Commits a command, with retries for at most `limit`.
    pub async fn execute(&self, command: Command, limit: Duration) -> Result<CommandOutcome, ControlError> {
        match self.call_leader(&ControlRequest::Execute(command), limit).await? {
            ControlReply::Executed(outcome) => Ok(outcome),
            other => Err(unexpected(other)),
        }
    }

    /// Reads the committed state, with retries for at most `limit`.
    pub async fn query(&self, query: Query, limit: Duration) -> Result<QueryResult, ControlError> {
        match self.call_leader(&ControlRequest::Query(query), limit).await? {
            ControlReply::Answer(answer) => Ok(answer),
            other => Err(unexpected(other)),
        }
    }

    /// Renews a relay's lease, with retries for at most `limit`.
    pub async fn renew(&self, renewal: RenewRequest, limit: Duration) -> Result<RenewReply, ControlError> {
        match self.call_leader(&ControlRequest::Renew(renewal), limit).await? {
            ControlReply::Renewed(reply) => Ok(reply),
            other => Err(unexpected(other)),
        }
    }

    /// Requests the replica at `address` to form a new group.
    pub async fn initialize(&self, address: SocketAddr, limit: Duration) -> Result<(), ControlError> {
        let client = Client::new(self.inner.platform.clone(), address, &self.inner.secret);
        let encoded_reply =
            client.call(|level| messages::encode_request(&ControlRequest::Initialize, level), limit).await;
        let reply = encoded_reply
            .ok()
            .and_then(|encoded_reply| messages::decode_reply(&encoded_reply.body, encoded_reply.level));
        match reply {
            Some(ControlReply::Executed(_)) => Ok(()),
            Some(other) => Err(unexpected(other)),
            None => Err(ControlError::Unavailable),
        }
    }

    /// Sends a gateway request to the leader, with retries for at most `limit`. `attempt_limit` is the timeout for one
    /// replica.
    pub async fn gateway(
        &self,
        request: GatewayRequest,
        limit: Duration,
        attempt_limit: Duration,
    ) -> Result<GatewayReply, GatewayError> {
        let mut may_have_executed = false;
        let request = ControlRequest::Gateway(request);
        let reply = self.call_until(&request, limit, attempt_limit, &mut may_have_executed).await;
        match reply {
            Err(ControlError::UnsupportedByPeer) if !may_have_executed => Err(GatewayError::NotUnderstood),
            Ok(ControlReply::Gateway(GatewayReply::Unavailable)) | Err(_) if !may_have_executed => {
                Err(GatewayError::NotDone)
            }
            Ok(ControlReply::Gateway(reply)) => Ok(reply),
            _ => Err(GatewayError::Undecided),
        }
    }

    /// Sends a gateway request to one replica, whether it leads or not; `None` without a readable reply in time.
    pub async fn call_replica(
        &self,
        address: SocketAddr,
        request: GatewayRequest,
        limit: Duration,
    ) -> Option<GatewayReply> {
        let client = self.inner.replicas.borrow().client_of(address);
        let request = ControlRequest::Gateway(request);
        let encoded_reply = client?.call(|level| messages::encode_request(&request, level), limit).await.ok()?;
        match messages::decode_reply(&encoded_reply.body, encoded_reply.level)? {
            ControlReply::Gateway(reply) => Some(reply),
            _ => Some(GatewayReply::Unavailable),
        }
    }

    /// The replica that the next request is sent to: the leader, if known. `None` if no replica is known.
    pub fn current_address(&self) -> Option<SocketAddr> {
        self.inner.replicas.borrow().current()
    }

    /// Replaces the configured replicas. Connections to replicas that remain are kept.
    pub fn set_replicas(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses: BTreeSet<SocketAddr> = addresses.into_iter().collect();
        self.inner.replicas.borrow_mut().replace_configured(&addresses, self.inner.is_searching.get());
    }

    /// Adds addresses at which replicas may listen, for example after a change of settings. While the client searches
    /// for the leader, a new address is tried next.
    pub fn add_known_addresses(&self, addresses: &[SocketAddr]) {
        let mut replicas = self.inner.replicas.borrow_mut();
        match self.inner.is_searching.get() {
            true => replicas.add_and_select_new(addresses),
            false => replicas.add_discovered(addresses),
        }
    }

    /// The result of the last request to each replica, for log lines and errors when no leader is found.
    pub fn search(&self) -> LeaderSearch {
        self.inner.replicas.borrow().search()
    }

    async fn call_leader(&self, request: &ControlRequest, limit: Duration) -> Result<ControlReply, ControlError> {
        self.call_until(request, limit, ATTEMPT_TIMEOUT, &mut false).await
    }

    /// Retries until a leader replies. Sets `may_have_executed` once a replica may have received the request.
    async fn call_until(
        &self,
        request: &ControlRequest,
        limit: Duration,
        attempt_limit: Duration,
        may_have_executed: &mut bool,
    ) -> Result<ControlReply, ControlError> {
        let deadline = self.inner.platform.monotonic() + limit;
        loop {
            let remaining = deadline.saturating_sub(self.inner.platform.monotonic());
            if remaining.is_zero() {
                return Err(ControlError::Unavailable);
            }
            let current = self.inner.replicas.borrow_mut().start_request();
            let Some(replica) = current else {
                self.inner.platform.sleep(self.next_retry_pause()).await;
                continue;
            };
            let outcome = self.send_request(&replica, request, remaining.min(attempt_limit)).await;
            // A connection that closes during the handshake looks like an older build. If an earlier attempt may have
            // been executed, the client continues with other replicas, one of which may report the outcome.
            if outcome == Err(CallError::UnsupportedByPeer) && !*may_have_executed {
                return Err(ControlError::UnsupportedByPeer);
            }
            // A replica that sent a malformed reply may have executed the request.
            *may_have_executed |= matches!(outcome, Err(CallError::OutcomeUnknown) | Ok(None));
            self.inner.replicas.borrow_mut().record_result(replica.address(), LastResult::of(&outcome));
            match outcome.ok().flatten() {
                Some(ControlReply::NotLeader { leader: Some(leader), .. }) if leader != replica.address() => {
                    self.inner.replicas.borrow_mut().select_leader(leader);
                }
                Some(ControlReply::NotLeader { peers, .. }) => self.select_next(replica.address(), &peers).await,
                Some(ControlReply::Undecided) => {
                    *may_have_executed = true;
                    self.select_next(replica.address(), &[]).await;
                }
                None => self.select_next(replica.address(), &[]).await,
                Some(reply) => {
                    self.inner.is_searching.set(false);
                    if !self.inner.has_reached_leader.replace(true) {
                        self.inner.retry_pause.set(RETRY_PAUSE);
                    }
                    return Ok(reply);
                }
            }
        }
    }

    /// Sends a request to one replica, encoded at its feature level; `None` for a malformed reply.
    async fn send_request(
        &self,
        replica: &Client<P>,
        request: &ControlRequest,
        limit: Duration,
    ) -> Result<Option<ControlReply>, CallError> {
        if let ControlRequest::Gateway(GatewayRequest::Follow(follow)) = request {
            return self.send_poll(replica, follow, limit).await;
        }
        let encoded_reply = replica.call(|level| messages::encode_request(request, level), limit).await?;
        Ok(messages::decode_reply(&encoded_reply.body, encoded_reply.level))
    }

    /// Sends a relay's poll, whose request and reply have different contents at level one.
    async fn send_poll(
        &self,
        replica: &Client<P>,
        follow: &FollowRequest,
        limit: Duration,
    ) -> Result<Option<ControlReply>, CallError> {
        let level_one_poll = self.inner.follow_converter.borrow().to_level_one(follow);
        let request = ControlRequest::Gateway(GatewayRequest::Follow(follow.clone()));
        let encode = |level| match level {
            FeatureLevel::One => Some(messages::encode_follow_one(level_one_poll.clone())),
            FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => messages::encode_request(&request, level),
        };
        let EncodedReply { level, body } = replica.call(encode, limit).await?;
        let reply = match level {
            FeatureLevel::One => {
                messages::decode_follow_one(&body, &level_one_poll, &mut self.inner.follow_converter.borrow_mut())
            }
            FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => messages::decode_reply(&body, level),
        };
        Ok(reply)
    }

    /// Selects another replica after the one at `failed` did not serve the request and returned the addresses `peers`,
    /// then pauses.
    async fn select_next(&self, failed: SocketAddr, peers: &[SocketAddr]) {
        self.inner.is_searching.set(true);
        self.inner.replicas.borrow_mut().select_after_failure(failed, peers);
        self.inner.platform.sleep(self.next_retry_pause()).await;
    }
}

fn unexpected(reply: ControlReply) -> ControlError {
    match reply {
        ControlReply::Refused(reason) => ControlError::Refused(reason),
        _ => ControlError::Refused("the reply has an unexpected type".to_string()),
    }
}
