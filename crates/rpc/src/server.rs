//! The server side: one task for each connection.

use crate::frame::{Envelope, Hello, MAGIC, Welcome};
use crate::reply_memory::Reservation;
use futures::channel::mpsc;
use futures::future::Either;
use futures::{StreamExt, future};
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Time limit for the client's [`Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the client's [`Hello`], in bytes. It is received before anything is known of the client.
const MAX_HELLO_BYTES: usize = 4 * 1024;

/// Default of the maximum number of connections whose handshake is not complete.
pub const MAX_PENDING_HANDSHAKES: usize = 1024;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An encoded response, and in the queue of a connection the frame that contains it.
pub struct Response {
    /// The encoded message.
    pub body: Vec<u8>,
    /// Memory reserved for it; released once it is written to the connection or discarded.
    pub reservation: Option<Reservation>,
    /// Time in which it must be written. Later the connection is closed, so that a peer that does not read holds no
    /// memory.
    pub write_limit: Option<Duration>,
}

impl From<Vec<u8>> for Response {
    fn from(body: Vec<u8>) -> Self {
        Self { body, reservation: None, write_limit: None }
    }
}

/// Handles the requests that a server receives.
pub trait Handler: 'static {
    /// Returns the response to the request `body`, or `None` to close the connection. Both are encoded at `level`.
    fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> impl Future<Output = Option<Response>> + 'static;
}

/// Accepts connections until the process ends; at most [`MAX_PENDING_HANDSHAKES`] may be in their handshake.
pub async fn serve<P: Runtime, H: Handler>(platform: P, listener: P::Listener, secret: String, handler: Rc<H>) {
    serve_limited(platform, listener, secret, handler, MAX_PENDING_HANDSHAKES).await;
}

/// Accepts connections until the process ends. If `max_pending` are in their handshake, or no descriptor is left, the
/// oldest of them is closed.
pub async fn serve_limited<P: Runtime, H: Handler>(
    platform: P,
    mut listener: P::Listener,
    secret: String,
    handler: Rc<H>,
    max_pending: usize,
) {
    let validator = Rc::new(HandshakeValidator { secret, rejected: RefCell::default() });
    let pending = PendingHandshakes::default();
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                if pending.count() >= max_pending {
                    pending.close_oldest();
                }
                let connection = serve_connection(
                    platform.clone(),
                    sender,
                    receiver,
                    validator.clone(),
                    pending.begin(),
                    handler.clone(),
                );
                platform.spawn(connection);
            }
            Err(_) => {
                pending.close_oldest();
                platform.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Connections whose handshake is not complete, from the oldest to the newest.
#[derive(Clone, Default)]
struct PendingHandshakes {
    oldest_first: Rc<RefCell<VecDeque<Rc<Signal>>>>,
}

impl PendingHandshakes {
    fn begin(&self) -> PendingHandshake {
        let closing = Rc::new(Signal::default());
        self.oldest_first.borrow_mut().push_back(closing.clone());
        PendingHandshake { pending: self.clone(), closing }
    }

    fn count(&self) -> usize {
        self.oldest_first.borrow().len()
    }

    fn close_oldest(&self) {
        let oldest = self.oldest_first.borrow_mut().pop_front();
        if let Some(closing) = oldest {
            closing.notify();
        }
    }
}

/// A handshake in progress; complete when dropped.
struct PendingHandshake {
    pending: PendingHandshakes,
    closing: Rc<Signal>,
}

impl PendingHandshake {
    /// Returns when the connection is to be closed.
    async fn closing(&self) {
        self.closing.changed(0).await;
    }
}

impl Drop for PendingHandshake {
    fn drop(&mut self) {
        self.pending.oldest_first.borrow_mut().retain(|closing| !Rc::ptr_eq(closing, &self.closing));
    }
}

/// Why a client's handshake is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HandshakeError {
    Malformed,
    UnsupportedVersion(u32),
    WrongSecret,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(formatter, "malformed handshake"),
            Self::UnsupportedVersion(version) => write!(formatter, "unsupported protocol version {version}"),
            Self::WrongSecret => write!(formatter, "wrong shared secret"),
        }
    }
}

/// Validates handshakes and logs rejected ones.
struct HandshakeValidator {
    secret: String,
    rejected: RefCell<RepeatedEvent>,
}

impl HandshakeValidator {
    /// Checks a client's [`Hello`] and returns the feature level of the connection.
    fn check(&self, frame: &[u8]) -> Result<FeatureLevel, HandshakeError> {
        let hello = bitcode::decode::<Hello>(frame).map_err(|_| HandshakeError::Malformed)?;
        if hello.magic != MAGIC {
            return Err(HandshakeError::Malformed);
        }
        if hello.secret != self.secret {
            return Err(HandshakeError::WrongSecret);
        }
        FeatureLevel::from_protocol(hello.version).ok_or(HandshakeError::UnsupportedVersion(hello.version))
    }

    fn log_rejected(&self, error: HandshakeError, now: Duration) {
        if let Some(connections) = self.rejected.borrow_mut().count(now) {
            spdlog::warn!("incoming connection rejected during handshake", kv: {
                reason = error.to_string().as_str(),
                newest_supported_protocol = FeatureLevel::NEWEST.protocol(),
                connections = connections
            });
        }
    }
}

async fn serve_connection<P: Runtime, H: Handler>(
    platform: P,
    sender: impl FrameSender,
    mut receiver: impl FrameReceiver,
    validator: Rc<HandshakeValidator>,
    handshake: PendingHandshake,
    handler: Rc<H>,
) {
    let hello = timeout(&platform, HELLO_TIMEOUT, receiver.receive_within(MAX_HELLO_BYTES));
    let frame = match future::select(std::pin::pin!(hello), std::pin::pin!(handshake.closing())).await {
        Either::Left((Some(Ok(Some(frame))), _)) => frame,
        Either::Left(_) | Either::Right(_) => return,
    };
    drop(handshake);
    let level = match validator.check(&frame) {
        Ok(level) => level,
        Err(error) => {
            validator.log_rejected(error, platform.monotonic());
            return;
        }
    };
    let (responses, queue) = mpsc::unbounded();
    // Cannot fail, as the receiver still exists.
    let _ = responses.unbounded_send(Welcome::new().frame().into());
    let read = read_requests(&platform, receiver, level, responses, handler);
    let write = write_responses(&platform, sender, queue);
    future::select(std::pin::pin!(read), std::pin::pin!(write)).await;
}

async fn read_requests<P: Runtime, H: Handler>(
    platform: &P,
    mut receiver: impl FrameReceiver,
    level: FeatureLevel,
    responses: mpsc::UnboundedSender<Response>,
    handler: Rc<H>,
) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        let responses = responses.clone();
        let response = handler.clone().handle(level, envelope.body);
        platform.spawn(async move {
            match response.await {
                Some(Response { body, reservation, write_limit }) => {
                    let frame = bitcode::encode(&Envelope { id: envelope.id, body });
                    // Fails if the connection is closed; the response is then discarded.
                    let _ = responses.unbounded_send(Response { body: frame, reservation, write_limit });
                }
                None => responses.close_channel(),
            }
        });
    }
}

async fn write_responses<P: Runtime>(
    platform: &P,
    mut sender: impl FrameSender,
    mut queue: mpsc::UnboundedReceiver<Response>,
) {
    while let Some(Response { body: frame, reservation: _reservation, write_limit }) = queue.next().await {
        let written = match write_limit {
            None => Some(sender.send(frame).await),
            Some(limit) => timeout(platform, limit, sender.send(frame)).await,
        };
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}
