//! The calling side: one task for each peer owns the connection to it.
//!
//! The level that a connection speaks is fixed by the caller, or found out: the newest is tried first. A peer that knows it says
//! so at once, or keeps silent if it knows of no welcome; one that does not know it closes the connection, and the next older
//! level is tried. Nothing is sent before, so a refused connection leaves no request that may have run.

pub use crate::call::{Answer, CallError, Message, Speech};
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

/// The longest that a call waits for a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// The longest that a connection attempt may take. It outlives the call that began it: where connections take longer to open
/// than calls wait, the next call finds one. The first resend of a lost first packet, after 1 s, still counts.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1_500);

/// Shortest time between two attempts while one is under way: one that is stuck, because its first packet was lost or the peer's
/// machine was down, holds up those that come later by no more than this.
const ATTEMPT_SPACING: Duration = Duration::from_millis(250);

/// A connection that the peer has not closed for so long after the caller's greeting is served: some round trips between
/// zones. A peer that is slower to refuse than this leaves its first requests without an answer.
const ACCEPTED_AFTER: Duration = Duration::from_millis(100);

type Pending = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Vec<u8>>>>>;

struct Link {
    generation: u64,
    level: FeatureLevel,
    /// The peer serves the connection, as far as can be known.
    is_open: Cell<bool>,
    /// The newest level that the peer says it knows.
    newest_of_peer: Cell<Option<FeatureLevel>>,
    outgoing: mpsc::UnboundedSender<Vec<u8>>,
    pending: Pending,
    /// When the peer was last heard on this link.
    heard_at: Rc<Cell<Duration>>,
}

struct Inner<P> {
    platform: P,
    address: SocketAddr,
    secret: String,
    next_id: Cell<u64>,
    next_generation: Cell<u64>,
    link: RefCell<Option<Link>>,
    /// Connection attempts under way.
    attempts: Cell<u32>,
    /// When the newest began.
    attempt_began_at: Cell<Duration>,
    /// A link has opened or ended, or an attempt has failed.
    link_changed: Signal,
    speech: Cell<Speech>,
    /// The level that the peer served last.
    accepted: Cell<Option<FeatureLevel>>,
    /// Connections that the peer closed before its first answer.
    closed_unanswered: RefCell<RepeatedEvent>,
}

/// Calls one peer. Clones share the connection.
pub struct Client<P> {
    inner: Rc<Inner<P>>,
}

impl<P> Clone for Client<P> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime> Client<P> {
    /// A client that connects on its first call.
    pub fn new(platform: P, address: SocketAddr, secret: &str) -> Self {
        let inner = Inner {
            platform,
            address,
            secret: secret.to_string(),
            next_id: Cell::new(1),
            next_generation: Cell::new(1),
            link: RefCell::new(None),
            attempts: Cell::new(0),
            attempt_began_at: Cell::default(),
            link_changed: Signal::default(),
            speech: Cell::new(Speech::Negotiated),
            accepted: Cell::default(),
            closed_unanswered: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Has connections speak so from now on. What is under way on a connection of another level is given up.
    pub fn speak(&self, speech: Speech) {
        self.inner.speech.set(speech);
        let mut link = self.inner.link.borrow_mut();
        if let Speech::Fixed(level) = speech
            && link.as_ref().is_some_and(|link| link.level != level)
        {
            *link = None;
        }
    }

    /// The newest level that the peer is known to understand, while there is a connection to it.
    pub fn newest_of_peer(&self) -> Option<FeatureLevel> {
        let link = self.inner.link.borrow();
        let link = link.as_ref().filter(|link| link.is_open.get())?;
        Some(link.newest_of_peer.get().unwrap_or(link.level))
    }

    /// Sends `message` and waits for the answer for at most `limit`.
    pub async fn call(&self, message: impl Message, limit: Duration) -> Result<Answer, CallError> {
        let started_at = self.inner.platform.monotonic();
        let exchange = self.exchange(message);
        let answer = timeout(&self.inner.platform, limit, exchange).await;
        if answer.is_none() {
            self.drop_link_if_silent(started_at);
        }
        answer.unwrap_or(Err(CallError::Unknown))
    }

    async fn exchange(&self, message: impl Message) -> Result<Answer, CallError> {
        self.drop_outdated_link();
        if !self.has_open_link() {
            self.await_link().await?;
        }
        let id = self.inner.next_id.replace(self.inner.next_id.get() + 1);
        let (answer_sender, answer) = oneshot::channel();
        let level = {
            let link = self.inner.link.borrow();
            let link = link.as_ref().ok_or(CallError::NotSent)?;
            let body = message.encode(link.level).ok_or(CallError::Unspeakable)?;
            link.pending.borrow_mut().insert(id, answer_sender);
            let frame = bitcode::encode(&Envelope { id, body });
            link.outgoing.unbounded_send(frame).map_err(|_| CallError::NotSent)?;
            link.level
        };
        let body = answer.await.map_err(|_| CallError::Unknown)?;
        Ok(Answer { level, body })
    }

    fn has_open_link(&self) -> bool {
        self.inner.link.borrow().as_ref().is_some_and(|link| link.is_open.get())
    }

    /// A peer that was taken for older than it is, is spoken to in its newest level once nothing is under way.
    fn drop_outdated_link(&self) {
        let mut link = self.inner.link.borrow_mut();
        let is_outdated = link.as_ref().is_some_and(|link| {
            let knows_more = link.newest_of_peer.get().is_some_and(|newest| newest > link.level);
            knows_more && link.pending.borrow().is_empty()
        });
        if is_outdated && self.inner.speech.get() == Speech::Negotiated {
            *link = None;
        }
    }

    async fn await_link(&self) -> Result<(), CallError> {
        self.begin_attempt();
        timeout(&self.inner.platform, CONNECT_LIMIT, self.link_or_failure()).await;
        if self.has_open_link() { Ok(()) } else { Err(CallError::NotSent) }
    }

    /// Returns when there is an open link, or when no attempt is under way any more.
    async fn link_or_failure(&self) {
        while !self.has_open_link() && self.inner.attempts.get() > 0 {
            let seen = self.inner.link_changed.count();
            self.inner.link_changed.changed(seen).await;
        }
    }

    fn begin_attempt(&self) {
        let now = self.inner.platform.monotonic();
        let is_young = now < self.inner.attempt_began_at.get() + ATTEMPT_SPACING;
        if self.inner.attempts.get() > 0 && is_young {
            return;
        }
        self.inner.attempt_began_at.set(now);
        self.inner.attempts.set(self.inner.attempts.get() + 1);
        let client = self.clone();
        self.inner.platform.spawn(async move {
            client.attempt().await;
            client.inner.attempts.set(client.inner.attempts.get() - 1);
            client.inner.link_changed.notify();
        });
    }

    async fn attempt(&self) {
        let platform = &self.inner.platform;
        for level in self.levels_to_try() {
            let connection = timeout(platform, ATTEMPT_LIMIT, platform.connect(self.inner.address)).await;
            let Some(Ok((sender, receiver))) = connection else {
                return;
            };
            let Some(generation) = self.take_connection(sender, receiver, level) else {
                return;
            };
            if self.is_accepted(generation).await {
                self.inner.accepted.set(Some(level));
                return;
            }
        }
    }

    fn levels_to_try(&self) -> Vec<FeatureLevel> {
        match self.inner.speech.get() {
            Speech::Fixed(level) => vec![level],
            Speech::Negotiated => FeatureLevel::ALL.into_iter().rev().collect(),
        }
    }

    /// Waits until the peer serves the link, or has closed it.
    async fn is_accepted(&self, generation: u64) -> bool {
        let platform = &self.inner.platform;
        let is_open = || self.with_link(generation, |link| link.is_open.get());
        let until = platform.monotonic() + ACCEPTED_AFTER;
        while is_open() == Some(false) {
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() {
                self.open(generation);
                break;
            }
            let seen = self.inner.link_changed.count();
            timeout(platform, left, self.inner.link_changed.changed(seen)).await;
        }
        is_open().is_some()
    }

    fn with_link<T>(&self, generation: u64, read: impl FnOnce(&Link) -> T) -> Option<T> {
        let link = self.inner.link.borrow();
        link.as_ref().filter(|link| link.generation == generation).map(read)
    }

    fn open(&self, generation: u64) {
        self.with_link(generation, |link| link.is_open.set(true));
        self.inner.link_changed.notify();
    }

    /// Makes a connection the link, unless there is one: returns its generation. The newest attempt may be the first to succeed.
    fn take_connection(&self, sender: P::Sender, receiver: P::Receiver, level: FeatureLevel) -> Option<u64> {
        let platform = &self.inner.platform;
        if self.inner.link.borrow().is_some() {
            return None;
        }
        let (outgoing, queue) = mpsc::unbounded();
        let pending: Pending = Rc::default();
        let generation = self.inner.next_generation.replace(self.inner.next_generation.get() + 1);
        let heard_at = Rc::new(Cell::new(platform.monotonic()));
        let is_known = self.inner.speech.get() != Speech::Negotiated || self.inner.accepted.get() == Some(level);
        let link = Link {
            generation,
            level,
            is_open: Cell::new(is_known),
            newest_of_peer: Cell::default(),
            outgoing,
            pending: pending.clone(),
            heard_at: heard_at.clone(),
        };
        *self.inner.link.borrow_mut() = Some(link);
        if is_known {
            self.inner.link_changed.notify();
        }
        let client = self.clone();
        platform.spawn(async move {
            let write = write_frames(sender, queue, Hello::new(level, &client.inner.secret));
            let heard = Cell::new(false);
            let read = read_answers(receiver, pending.clone(), |envelope| {
                heard_at.set(client.inner.platform.monotonic());
                if envelope.id == WELCOME_ID {
                    client.take_welcome(generation, &envelope.body);
                }
                if !heard.replace(true) {
                    client.open(generation);
                }
            });
            future::select(std::pin::pin!(write), std::pin::pin!(read)).await;
            if !heard.get() {
                client.inner.accepted.set(None);
                client.tell_closed_unanswered(level);
            }
            client.drop_link(generation);
            pending.borrow_mut().clear();
        });
        Some(generation)
    }

    fn take_welcome(&self, generation: u64, body: &[u8]) {
        let welcome = bitcode::decode::<Welcome>(body).ok();
        let newest = welcome.and_then(|welcome| FeatureLevel::newest_within(welcome.newest_protocol));
        self.with_link(generation, |link| link.newest_of_peer.set(newest));
    }

    /// A peer that does not know the level closes so; one that stops at this moment does, too.
    fn tell_closed_unanswered(&self, level: FeatureLevel) {
        let now = self.inner.platform.monotonic();
        if let Some(connections) = self.inner.closed_unanswered.borrow_mut().count(now) {
            spdlog::warn!("connection closed unanswered", kv: {
                peer = self.inner.address.to_string().as_str(), protocol = level.protocol(), connections = connections
            });
        }
    }

    /// A link on which nothing has come since a call began that got no answer is given up: after a cut, it may take far
    /// longer to come back than a new one takes to open.
    fn drop_link_if_silent(&self, since: Duration) {
        let mut link = self.inner.link.borrow_mut();
        if link.as_ref().is_some_and(|link| link.heard_at.get() <= since) {
            *link = None;
        }
    }

    fn drop_link(&self, generation: u64) {
        let mut link = self.inner.link.borrow_mut();
        if link.as_ref().is_some_and(|link| link.generation == generation) {
            *link = None;
        }
        drop(link);
        self.inner.link_changed.notify();
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

async fn read_answers(mut receiver: impl FrameReceiver, pending: Pending, heard: impl Fn(&Envelope)) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        heard(&envelope);
        let waiting = pending.borrow_mut().remove(&envelope.id);
        if let Some(waiting) = waiting {
            // The caller may have given up: its answer is dropped.
            let _ = waiting.send(envelope.body);
        }
    }
}
