//! The calling side: one task for each peer owns the connection to it.

use crate::frame::{Envelope, Hello, PROTOCOL_VERSION};
use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, future};
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameReceiver, FrameSender, Runtime};
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

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection; the request was not sent.
    NotSent,
    /// The connection was lost or the time ran out after the request may have been sent.
    Unknown,
}

type Pending = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Vec<u8>>>>>;

struct Link {
    generation: u64,
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
    /// An attempt has succeeded or failed.
    attempt_ended: Signal,
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
            attempt_ended: Signal::default(),
            closed_unanswered: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends `body` and waits for the answer for at most `limit`.
    pub async fn call(&self, body: Vec<u8>, limit: Duration) -> Result<Vec<u8>, CallError> {
        let started_at = self.inner.platform.monotonic();
        let exchange = self.exchange(body);
        let answer = timeout(&self.inner.platform, limit, exchange).await;
        if answer.is_none() {
            self.drop_link_if_silent(started_at);
        }
        answer.unwrap_or(Err(CallError::Unknown))
    }

    async fn exchange(&self, body: Vec<u8>) -> Result<Vec<u8>, CallError> {
        if self.inner.link.borrow().is_none() {
            self.await_link().await?;
        }
        let id = self.inner.next_id.replace(self.inner.next_id.get() + 1);
        let (answer_sender, answer) = oneshot::channel();
        let frame = bitcode::encode(&Envelope { id, body });
        let queued = match self.inner.link.borrow().as_ref() {
            Some(link) => {
                link.pending.borrow_mut().insert(id, answer_sender);
                link.outgoing.unbounded_send(frame).is_ok()
            }
            None => false,
        };
        if !queued {
            return Err(CallError::NotSent);
        }
        answer.await.map_err(|_| CallError::Unknown)
    }

    /// Waits until an attempt to connect has opened a link, or all have failed.
    async fn await_link(&self) -> Result<(), CallError> {
        self.begin_attempt();
        timeout(&self.inner.platform, CONNECT_LIMIT, self.link_or_failure()).await;
        if self.inner.link.borrow().is_some() { Ok(()) } else { Err(CallError::NotSent) }
    }

    async fn link_or_failure(&self) {
        while self.inner.link.borrow().is_none() && self.inner.attempts.get() > 0 {
            let seen = self.inner.attempt_ended.count();
            self.inner.attempt_ended.changed(seen).await;
        }
    }

    /// Begins an attempt to connect, unless one has just begun.
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
            client.inner.attempt_ended.notify();
        });
    }

    async fn attempt(&self) {
        let platform = &self.inner.platform;
        let connection = timeout(platform, ATTEMPT_LIMIT, platform.connect(self.inner.address)).await;
        if let Some(Ok((sender, receiver))) = connection {
            self.take_connection(sender, receiver);
        }
    }

    /// Makes a connection the link, unless another attempt has opened one meanwhile.
    fn take_connection(&self, sender: P::Sender, receiver: P::Receiver) {
        let platform = &self.inner.platform;
        if self.inner.link.borrow().is_some() {
            return;
        }
        let (outgoing, queue) = mpsc::unbounded();
        let pending: Pending = Rc::default();
        let generation = self.inner.next_generation.replace(self.inner.next_generation.get() + 1);
        let heard_at = Rc::new(Cell::new(platform.monotonic()));
        let link = Link { generation, outgoing, pending: pending.clone(), heard_at: heard_at.clone() };
        *self.inner.link.borrow_mut() = Some(link);
        let client = self.clone();
        platform.spawn(async move {
            let write = write_frames(sender, queue, Hello::new(&client.inner.secret));
            let heard = Cell::new(false);
            let read = read_answers(receiver, pending.clone(), || {
                heard.set(true);
                heard_at.set(client.inner.platform.monotonic());
            });
            future::select(std::pin::pin!(write), std::pin::pin!(read)).await;
            if !heard.get() {
                client.tell_closed_unanswered();
            }
            client.drop_link(generation);
            pending.borrow_mut().clear();
        });
    }

    /// A peer that speaks another version of the protocol closes so; one that stops at this moment does, too.
    fn tell_closed_unanswered(&self) {
        let now = self.inner.platform.monotonic();
        if let Some(connections) = self.inner.closed_unanswered.borrow_mut().count(now) {
            spdlog::warn!("connection closed unanswered", kv: {
                peer = self.inner.address.to_string().as_str(), protocol = PROTOCOL_VERSION, connections = connections
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

async fn read_answers(mut receiver: impl FrameReceiver, pending: Pending, heard: impl Fn()) {
    while let Ok(Some(frame)) = receiver.receive().await {
        heard();
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        let waiting = pending.borrow_mut().remove(&envelope.id);
        if let Some(waiting) = waiting {
            // The caller may have given up: its answer is dropped.
            let _ = waiting.send(envelope.body);
        }
    }
}
