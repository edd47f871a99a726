//! Finds the control group's leader and calls it; `suspicions` is what a relay and the group tell each other of work under
//! which engines end, `trials` are the rights to run such work, `reports` gathers what engines report.
//!
//! Every command is safe to send again: changes carry a key or a revision, claims an arrival, samples an attempt,
//! assignments a sequence. A call whose answer is lost is therefore repeated until its time runs out.

mod replicas;
pub mod reports;
pub mod search;
pub mod suspicions;
pub mod trials;

use crate::replicas::Replicas;
use crate::search::{LastAnswer, LeaderSearch};
use saddlerelay_layouts::level_one::follow::FollowMemory;
use saddlerelay_layouts::messages;
use saddlerelay_rpc::client::{Answer, CallError, Client};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::{
    Command, CommandOutcome, ControlReply, ControlRequest, Query, QueryAnswer, RenewReply, RenewRequest,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The longest wait for one replica's answer before another is tried.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1200);

/// Pause after a replica that does not lead and knows no leader, unless the group has named another.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause of a client that has never had an answer: processes that start together, before there is a leader, ask
/// less and less often.
const LONGEST_FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Why a call brought no outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The replica that was asked is of an older build, which has no words for the request. It was not sent.
    Unspeakable,
    /// No leader answered in time. A command may or may not be committed.
    Unavailable,
    /// The leader refused; nothing was done.
    Refused(String),
}

/// Why a gateway call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The replica that was asked is of an older build, which has no words for the request. Nothing was done.
    NotUnderstood,
    /// Nothing was done, and nothing will be.
    NotDone,
    /// It may have been done, or may be later.
    Undecided,
}

struct Inner<P> {
    platform: P,
    replicas: RefCell<Replicas<P>>,
    /// Pause after a replica that does not lead and knows no leader.
    retry_pause: Cell<Duration>,
    /// A leader has answered this client.
    has_been_answered: Cell<bool>,
    /// No leader has answered the newest call yet.
    is_searching: Cell<bool>,
    /// What a leader that speaks level one has told a relay.
    follow_memory: RefCell<FollowMemory>,
    secret: String,
}

/// Calls the control group. Clones share connections.
pub struct ControlClient<P> {
    inner: Rc<Inner<P>>,
}

impl<P> Clone for ControlClient<P> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime> ControlClient<P> {
    /// A client of the group whose replicas listen at `addresses`.
    pub fn new(platform: P, addresses: &[SocketAddr], secret: &str) -> Self {
        let replicas = RefCell::new(Replicas::new(platform.clone(), addresses, secret));
        let inner = Inner {
            platform,
            replicas,
            retry_pause: Cell::new(RETRY_PAUSE),
            has_been_answered: Cell::new(false),
            is_searching: Cell::new(true),
            follow_memory: RefCell::default(),
            secret: secret.to_string(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Sets the pause after a replica that does not lead and knows no leader, as the group names it.
    pub fn set_retry_pause(&self, pause: Duration) {
        self.inner.retry_pause.set(pause.max(RETRY_PAUSE));
    }

    /// The pause before the next replica is asked, drawn anew each time so that those who were refused together do not come
    /// back together.
    fn next_retry_pause(&self) -> Duration {
        let pause = self.inner.retry_pause.get();
        if !self.inner.has_been_answered.get() {
            self.inner.retry_pause.set((pause * 3 / 2).min(LONGEST_FIRST_PAUSE));
        }
        if pause <= RETRY_PAUSE { pause } else { pause / 2 + self.inner.platform.jitter(pause) }
    }

    /// Commits a command, trying for at most `limit`.
    pub async fn execute(&self, command: Command, limit: Duration) -> Result<CommandOutcome, ControlError> {
        match self.call_leader(&ControlRequest::Execute(command), limit).await? {
            ControlReply::Executed(outcome) => Ok(outcome),
            other => Err(unexpected(other)),
        }
    }

    /// Reads the committed state, trying for at most `limit`.
    pub async fn query(&self, query: Query, limit: Duration) -> Result<QueryAnswer, ControlError> {
        match self.call_leader(&ControlRequest::Query(query), limit).await? {
            ControlReply::Answer(answer) => Ok(answer),
            other => Err(unexpected(other)),
        }
    }

    /// Renews a relay's lease, trying for at most `limit`.
    pub async fn renew(&self, renewal: RenewRequest, limit: Duration) -> Result<RenewReply, ControlError> {
        match self.call_leader(&ControlRequest::Renew(renewal), limit).await? {
            ControlReply::Renewed(reply) => Ok(reply),
            other => Err(unexpected(other)),
        }
    }

    /// Asks the replica at `address` to form a new group.
    pub async fn initialize(&self, address: SocketAddr, limit: Duration) -> Result<(), ControlError> {
        let client = Client::new(self.inner.platform.clone(), address, &self.inner.secret);
        let answer = client.call(|level| messages::encode_request(&ControlRequest::Initialize, level), limit).await;
        let reply = answer.ok().and_then(|answer| messages::decode_reply(&answer.body, answer.level));
        match reply {
            Some(ControlReply::Executed(_)) => Ok(()),
            Some(other) => Err(unexpected(other)),
            None => Err(ControlError::Unavailable),
        }
    }

    /// Asks the leader about routed requests, instances, versions or batch jobs, trying for at most `limit`, and each
    /// replica for at most `attempt_limit`.
    pub async fn gateway(
        &self,
        request: GatewayRequest,
        limit: Duration,
        attempt_limit: Duration,
    ) -> Result<GatewayReply, GatewayError> {
        let mut may_be_done = false;
        let request = ControlRequest::Gateway(request);
        let reply = self.call_until(&request, limit, attempt_limit, &mut may_be_done).await;
        match reply {
            Err(ControlError::Unspeakable) if !may_be_done => Err(GatewayError::NotUnderstood),
            Ok(ControlReply::Gateway(GatewayReply::Unavailable)) | Err(_) if !may_be_done => Err(GatewayError::NotDone),
            Ok(ControlReply::Gateway(reply)) => Ok(reply),
            _ => Err(GatewayError::Undecided),
        }
    }

    /// Asks one replica, whether it leads or not; `None` if it does not answer in time.
    pub async fn gateway_at(
        &self,
        address: SocketAddr,
        request: GatewayRequest,
        limit: Duration,
    ) -> Option<GatewayReply> {
        let client = self.inner.replicas.borrow().client_of(address);
        let request = ControlRequest::Gateway(request);
        let answer = client?.call(|level| messages::encode_request(&request, level), limit).await.ok()?;
        match messages::decode_reply(&answer.body, answer.level)? {
            ControlReply::Gateway(reply) => Some(reply),
            _ => Some(GatewayReply::Unavailable),
        }
    }

    /// The replica that is asked first, the leader as far as is known; `None` if none is known at all.
    pub fn current_address(&self) -> Option<SocketAddr> {
        self.inner.replicas.borrow().current()
    }

    /// Names the replicas anew; connections to those that stay are kept.
    pub fn set_replicas(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses: BTreeSet<SocketAddr> = addresses.into_iter().collect();
        self.inner.replicas.borrow_mut().give_anew(&addresses, self.inner.is_searching.get());
    }

    /// Takes further addresses at which replicas may listen, for example when the settings have changed. A client that
    /// searches for the leader asks new ones next; one that has found it stays with it.
    pub fn hear_of(&self, addresses: &[SocketAddr]) {
        let mut replicas = self.inner.replicas.borrow_mut();
        match self.inner.is_searching.get() {
            true => replicas.search_from(addresses),
            false => replicas.learn(addresses),
        }
    }

    /// What each replica last answered, for the log of whoever finds no leader.
    pub fn search(&self) -> LeaderSearch {
        self.inner.replicas.borrow().search()
    }

    async fn call_leader(&self, request: &ControlRequest, limit: Duration) -> Result<ControlReply, ControlError> {
        self.call_until(request, limit, ATTEMPT_LIMIT, &mut false).await
    }

    /// Calls until a leader answers. Sets `may_be_done` once a replica may have taken the request.
    async fn call_until(
        &self,
        request: &ControlRequest,
        limit: Duration,
        attempt_limit: Duration,
        may_be_done: &mut bool,
    ) -> Result<ControlReply, ControlError> {
        let deadline = self.inner.platform.monotonic() + limit;
        loop {
            let left = deadline.saturating_sub(self.inner.platform.monotonic());
            if left.is_zero() {
                return Err(ControlError::Unavailable);
            }
            let current = self.inner.replicas.borrow_mut().ask_current();
            let Some(replica) = current else {
                self.inner.platform.sleep(self.next_retry_pause()).await;
                continue;
            };
            let outcome = self.ask(&replica, request, left.min(attempt_limit)).await;
            // A connection that closes before it is served looks like one to an older build: what was sent before may have
            // been done all the same, and another replica may tell.
            if outcome == Err(CallError::Unspeakable) && !*may_be_done {
                return Err(ControlError::Unspeakable);
            }
            // An answer that cannot be read is one to a request that was taken.
            *may_be_done |= matches!(outcome, Err(CallError::Unknown) | Ok(None));
            self.inner.replicas.borrow_mut().note(replica.address(), LastAnswer::of(&outcome));
            match outcome.ok().flatten() {
                Some(ControlReply::NotLeader { leader: Some(leader), .. }) if leader != replica.address() => {
                    self.inner.replicas.borrow_mut().choose(leader);
                }
                Some(ControlReply::NotLeader { peers, .. }) => self.turn_away(replica.address(), &peers).await,
                Some(ControlReply::Undecided) => {
                    *may_be_done = true;
                    self.turn_away(replica.address(), &[]).await;
                }
                None => self.turn_away(replica.address(), &[]).await,
                Some(reply) => {
                    self.inner.is_searching.set(false);
                    if !self.inner.has_been_answered.replace(true) {
                        self.inner.retry_pause.set(RETRY_PAUSE);
                    }
                    return Ok(reply);
                }
            }
        }
    }

    /// Asks one replica, in the words of its level; `None` for an answer that cannot be read.
    async fn ask(
        &self,
        replica: &Client<P>,
        request: &ControlRequest,
        limit: Duration,
    ) -> Result<Option<ControlReply>, CallError> {
        if let ControlRequest::Gateway(GatewayRequest::Follow(follow)) = request {
            return self.ask_as_relay(replica, follow, limit).await;
        }
        let answer = replica.call(|level| messages::encode_request(request, level), limit).await?;
        Ok(messages::decode_reply(&answer.body, answer.level))
    }

    /// A relay's question, whose answer of level one has another content.
    async fn ask_as_relay(
        &self,
        replica: &Client<P>,
        follow: &FollowRequest,
        limit: Duration,
    ) -> Result<Option<ControlReply>, CallError> {
        let question = self.inner.follow_memory.borrow().question(follow);
        let request = ControlRequest::Gateway(GatewayRequest::Follow(follow.clone()));
        let encode = |level| match level {
            FeatureLevel::One => Some(messages::encode_follow_one(question.clone())),
            FeatureLevel::Two => messages::encode_request(&request, level),
        };
        let Answer { level, body } = replica.call(encode, limit).await?;
        let reply = match level {
            FeatureLevel::One => {
                messages::decode_follow_one(&body, &question, &mut self.inner.follow_memory.borrow_mut())
            }
            FeatureLevel::Two => messages::decode_reply(&body, level),
        };
        Ok(reply)
    }

    /// Turns to another replica after `asked` was no help and has named others, and waits a little.
    async fn turn_away(&self, asked: SocketAddr, named: &[SocketAddr]) {
        self.inner.is_searching.set(true);
        self.inner.replicas.borrow_mut().choose_after(asked, named);
        self.inner.platform.sleep(self.next_retry_pause()).await;
    }
}

fn unexpected(reply: ControlReply) -> ControlError {
    match reply {
        ControlReply::Refused(reason) => ControlError::Refused(reason),
        _ => ControlError::Refused("the answer does not fit the request".to_string()),
    }
}
