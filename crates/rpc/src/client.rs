//! The client side: one connection to each peer, served by its own task.
//!
//! The feature level of a connection is fixed by the caller or negotiated, newest level first. A peer that supports
//! the level sends a [`Welcome`], or nothing if its build predates it; a peer that does not support the level closes
//! the connection, and the next older level is tried. During negotiation, requests are sent only after the level is
//! accepted, so that a rejected connection leaves no request with an unknown outcome. At a fixed level, or at the level
//! that the peer accepted last, they are sent immediately.

pub use crate::call::{CallError, EncodedReply, LevelSelection, Message};
use crate::frame::{Envelope, Hello, WELCOME_ID, Welcome};
use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, future};
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameReceiver, FrameSender, Runtime};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time that a call waits for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a connection attempt. An attempt continues after the call that started it has timed out, so that a later
/// call can use the connection. Allows for one SYN retransmission after 1 s.
const CONNECT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum time between the starts of two concurrent connection attempts. A stuck attempt, for example after a lost
/// SYN, delays later calls by at most this.
const CONNECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a connection that the peer has not closed is assumed to be accepted; longer than a round trip
/// between zones. If the peer rejects it later, the requests sent until then fail with an unknown outcome.
const ASSUME_ACCEPTED_AFTER: Duration = Duration::from_millis(100);

/// Senders for the responses of calls in flight, by request identifier.
type PendingCalls = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Vec<u8>>>>>;

struct Connection {
    /// Distinguishes this connection from earlier ones to the same peer.
    generation: u64,
    level: FeatureLevel,
    /// Whether the peer has accepted the connection, or is assumed to have.
    is_accepted: Cell<bool>,
    /// The newest level that the peer supports, from its [`Welcome`].
    newest_level_of_peer: Cell<Option<FeatureLevel>>,
    outgoing: mpsc::UnboundedSender<Vec<u8>>,
    pending: PendingCalls,
    /// When the last frame from the peer was received.
    last_received_at: Rc<Cell<Duration>>,
}

struct Inner<P> {
    platform: P,
    address: SocketAddr,
    secret: String,
    next_id: Cell<u64>,
    next_generation: Cell<u64>,
    connection: RefCell<Option<Connection>>,
    /// Number of connection attempts in progress.
    attempts: Cell<u32>,
    /// When the newest attempt started.
    attempt_started_at: Cell<Duration>,
    /// Notified when a connection is accepted or closed and when an attempt ends.
    connection_changed: Signal,
    level_selection: Cell<LevelSelection>,
    /// The level that the peer accepted last; `None` after a connection closed before any frame was received.
    last_accepted_level: Cell<Option<FeatureLevel>>,
    /// Connections closed before any frame was received.
    closed_before_first_frame: RefCell<RepeatedEvent>,
}

/// A client of one peer. Clones share the connection.
pub struct Client<P> {
    inner: Rc<Inner<P>>,
}

impl<P> Clone for Client<P> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime> Client<P> {
    /// Creates a client that connects on its first call.
    pub fn new(platform: P, address: SocketAddr, secret: &str) -> Self {
        let inner = Inner {
            platform,
            address,
            secret: secret.to_string(),
            next_id: Cell::new(1),
            next_generation: Cell::new(1),
            connection: RefCell::new(None),
            attempts: Cell::new(0),
            attempt_started_at: Cell::default(),
            connection_changed: Signal::default(),
            level_selection: Cell::new(LevelSelection::Negotiated),
            last_accepted_level: Cell::default(),
            closed_before_first_frame: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sets how the feature level of connections is chosen. A connection at another level than a fixed one is
    /// closed, and its calls in flight fail with [`CallError::OutcomeUnknown`].
    pub fn set_level_selection(&self, level_selection: LevelSelection) {
        self.inner.level_selection.set(level_selection);
        let mut connection = self.inner.connection.borrow_mut();
        if let LevelSelection::Fixed(level) = level_selection
            && connection.as_ref().is_some_and(|connection| connection.level != level)
        {
            *connection = None;
        }
    }

    /// The newest level that the peer is known to support; `None` without an accepted connection.
    pub fn newest_level_of_peer(&self) -> Option<FeatureLevel> {
        let connection = self.inner.connection.borrow();
        let connection = connection.as_ref().filter(|connection| connection.is_accepted.get())?;
        Some(connection.newest_level_of_peer.get().unwrap_or(connection.level))
    }

    /// Sends `message` and waits at most `limit` for the response.
    pub async fn call(&self, message: impl Message, limit: Duration) -> Result<EncodedReply, CallError> {
        let started_at = self.inner.platform.monotonic();
        let exchange = self.exchange(message);
        let response = timeout(&self.inner.platform, limit, exchange).await;
        if response.is_none() {
            self.close_if_idle_since(started_at);
        }
        response.unwrap_or(Err(CallError::OutcomeUnknown))
    }

    async fn exchange(&self, message: impl Message) -> Result<EncodedReply, CallError> {
        self.close_outdated_connection();
        if !self.has_accepted_connection() {
            self.wait_for_connection().await?;
        }
        let id = self.inner.next_id.replace(self.inner.next_id.get() + 1);
        let (response_sender, response) = oneshot::channel();
        let level = {
            let connection = self.inner.connection.borrow();
            let connection = connection.as_ref().ok_or(CallError::NotSent)?;
            let body = message.encode(connection.level).ok_or(CallError::UnsupportedByPeer)?;
            connection.pending.borrow_mut().insert(id, response_sender);
            let frame = bitcode::encode(&Envelope { id, body });
            connection.outgoing.unbounded_send(frame).map_err(|_| CallError::NotSent)?;
            connection.level
        };
        let body = response.await.map_err(|_| CallError::OutcomeUnknown)?;
        Ok(EncodedReply { level, body })
    }

    fn has_accepted_connection(&self) -> bool {
        self.inner.connection.borrow().as_ref().is_some_and(|connection| connection.is_accepted.get())
    }

    /// Closes an idle connection whose negotiated level is older than the newest level that the peer supports, so
    /// that the next call negotiates again.
    fn close_outdated_connection(&self) {
        let mut connection = self.inner.connection.borrow_mut();
        let is_outdated = connection.as_ref().is_some_and(|connection| {
            let supports_newer = connection.newest_level_of_peer.get().is_some_and(|newest| newest > connection.level);
            supports_newer && connection.pending.borrow().is_empty()
        });
        if is_outdated && self.inner.level_selection.get() == LevelSelection::Negotiated {
            *connection = None;
        }
    }

    async fn wait_for_connection(&self) -> Result<(), CallError> {
        self.start_attempt();
        timeout(&self.inner.platform, CONNECT_TIMEOUT, self.accepted_or_no_attempts()).await;
        if self.has_accepted_connection() { Ok(()) } else { Err(CallError::NotSent) }
    }

    /// Waits until a connection is accepted or no attempt is in progress.
    async fn accepted_or_no_attempts(&self) {
        while !self.has_accepted_connection() && self.inner.attempts.get() > 0 {
            let observed_count = self.inner.connection_changed.count();
            self.inner.connection_changed.changed(observed_count).await;
        }
    }

    fn start_attempt(&self) {
        let now = self.inner.platform.monotonic();
        let is_recent = now < self.inner.attempt_started_at.get() + CONNECT_ATTEMPT_INTERVAL;
        if self.inner.attempts.get() > 0 && is_recent {
            return;
        }
        self.inner.attempt_started_at.set(now);
        self.inner.attempts.set(self.inner.attempts.get() + 1);
        let client = self.clone();
        self.inner.platform.spawn(async move {
            client.connect_at_supported_level().await;
            client.inner.attempts.set(client.inner.attempts.get() - 1);
            client.inner.connection_changed.notify();
        });
    }

    async fn connect_at_supported_level(&self) {
        let platform = &self.inner.platform;
        for level in self.levels_to_try() {
            let connected = timeout(platform, CONNECT_ATTEMPT_TIMEOUT, platform.connect(self.inner.address)).await;
            let Some(Ok((sender, receiver))) = connected else {
                return;
            };
            let Some(generation) = self.install_connection(sender, receiver, level) else {
                return;
            };
            if self.wait_until_accepted(generation).await {
                self.inner.last_accepted_level.set(Some(level));
                return;
            }
        }
    }

    fn levels_to_try(&self) -> Vec<FeatureLevel> {
        match self.inner.level_selection.get() {
            LevelSelection::Fixed(level) => vec![level],
            LevelSelection::Negotiated => FeatureLevel::ALL.into_iter().rev().collect(),
        }
    }

    /// Waits until the peer accepts or closes the connection; returns whether it was accepted.
    async fn wait_until_accepted(&self, generation: u64) -> bool {
        let platform = &self.inner.platform;
        let is_accepted = || self.with_connection(generation, |connection| connection.is_accepted.get());
        let deadline = platform.monotonic() + ASSUME_ACCEPTED_AFTER;
        while is_accepted() == Some(false) {
            let remaining = deadline.saturating_sub(platform.monotonic());
            if remaining.is_zero() {
                self.mark_accepted(generation);
                break;
            }
            let observed_count = self.inner.connection_changed.count();
            timeout(platform, remaining, self.inner.connection_changed.changed(observed_count)).await;
        }
        is_accepted().is_some()
    }

    fn with_connection<T>(&self, generation: u64, read: impl FnOnce(&Connection) -> T) -> Option<T> {
        let connection = self.inner.connection.borrow();
        connection.as_ref().filter(|connection| connection.generation == generation).map(read)
    }

    fn mark_accepted(&self, generation: u64) {
        self.with_connection(generation, |connection| connection.is_accepted.set(true));
        self.inner.connection_changed.notify();
    }

    /// Installs a new connection and returns its generation; `None` if a concurrent attempt has already installed
    /// one.
    fn install_connection(&self, sender: P::Sender, receiver: P::Receiver, level: FeatureLevel) -> Option<u64> {
        let platform = &self.inner.platform;
        if self.inner.connection.borrow().is_some() {
            return None;
        }
        let (outgoing, queue) = mpsc::unbounded();
        let pending: PendingCalls = Rc::default();
        let generation = self.inner.next_generation.replace(self.inner.next_generation.get() + 1);
        let last_received_at = Rc::new(Cell::new(platform.monotonic()));
        let is_accepted = self.inner.level_selection.get() != LevelSelection::Negotiated
            || self.inner.last_accepted_level.get() == Some(level);
        let connection = Connection {
            generation,
            level,
            is_accepted: Cell::new(is_accepted),
            newest_level_of_peer: Cell::default(),
            outgoing,
            pending: pending.clone(),
            last_received_at: last_received_at.clone(),
        };
        *self.inner.connection.borrow_mut() = Some(connection);
        if is_accepted {
            self.inner.connection_changed.notify();
        }
        let client = self.clone();
        platform.spawn(async move {
            let write = write_frames(sender, queue, Hello::new(level, &client.inner.secret));
            let has_received = Cell::new(false);
            let read = read_responses(receiver, pending.clone(), |envelope| {
                last_received_at.set(client.inner.platform.monotonic());
                if envelope.id == WELCOME_ID {
                    client.handle_welcome(generation, &envelope.body);
                }
                if !has_received.replace(true) {
                    client.mark_accepted(generation);
                }
            });
            future::select(std::pin::pin!(write), std::pin::pin!(read)).await;
            if !has_received.get() {
                client.inner.last_accepted_level.set(None);
                client.log_closed_before_first_frame(level);
            }
            client.close_connection(generation);
            pending.borrow_mut().clear();
        });
        Some(generation)
    }

    fn handle_welcome(&self, generation: u64, body: &[u8]) {
        let welcome = bitcode::decode::<Welcome>(body).ok();
        let newest = welcome.and_then(|welcome| FeatureLevel::newest_within(welcome.newest_protocol));
        self.with_connection(generation, |connection| connection.newest_level_of_peer.set(newest));
    }

    /// Logs that a connection was closed before any frame was received. The peer may not support the level, may have
    /// rejected the secret or may have stopped; a call that timed out may also have closed the connection.
    fn log_closed_before_first_frame(&self, level: FeatureLevel) {
        let now = self.inner.platform.monotonic();
        if let Some(connections) = self.inner.closed_before_first_frame.borrow_mut().count(now) {
            spdlog::warn!("connection closed before any frame was received", kv: {
                peer = self.inner.address.to_string().as_str(), protocol = level.protocol(), connections = connections
            });
        }
    }

    /// Closes the connection if nothing was received on it since a call that timed out started: after a network
    /// partition, a new connection recovers sooner than TCP retransmission. Also for callers that stop waiting for a
    /// call: the rest of its response would delay those of later calls.
    pub fn close_if_idle_since(&self, since: Duration) {
        let mut connection = self.inner.connection.borrow_mut();
        if connection.as_ref().is_some_and(|connection| connection.last_received_at.get() <= since) {
            *connection = None;
        }
    }

    fn close_connection(&self, generation: u64) {
        let mut connection = self.inner.connection.borrow_mut();
        if connection.as_ref().is_some_and(|connection| connection.generation == generation) {
            *connection = None;
        }
        drop(connection);
        self.inner.connection_changed.notify();
    }
}

async fn write_frames(mut sender: impl FrameSender, mut queue: mpsc::UnboundedReceiver<Vec<u8>>, hello: Hello) {
    if sender.send(bitcode::encode(&hello)).await.is_err() {
        return;
    }
    while let Some(frame) = queue.next().await {
        if sender.send(frame).await.is_err() {
            return;
        }
    }
}

async fn read_responses(mut receiver: impl FrameReceiver, pending: PendingCalls, on_envelope: impl Fn(&Envelope)) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        on_envelope(&envelope);
        let call = pending.borrow_mut().remove(&envelope.id);
        if let Some(call) = call {
            // Fails if the call has timed out; the response is then discarded.
            let _ = call.send(envelope.body);
        }
    }
}
