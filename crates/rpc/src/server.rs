//! The answering side: one task for each connection.

use crate::frame::{Envelope, Hello, MAGIC, Welcome};
use futures::channel::mpsc;
use futures::{StreamExt, future};
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// How long a stranger may stay connected without a greeting.
const HELLO_LIMIT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests.
pub trait Handler: 'static {
    /// The answer to `body`, which is written at `level` as the answer is to be, or `None` to close the connection.
    fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> impl Future<Output = Option<Vec<u8>>> + 'static;
}

/// Accepts connections until the process ends.
pub async fn serve<P: Runtime, H: Handler>(platform: P, mut listener: P::Listener, secret: String, handler: Rc<H>) {
    let entrance = Rc::new(Entrance { secret, refused: RefCell::default() });
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                let connection =
                    serve_connection(platform.clone(), sender, receiver, entrance.clone(), handler.clone());
                platform.spawn(connection);
            }
            Err(_) => platform.sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Why a connection is closed at its greeting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    Unreadable,
    OtherProtocol(u32),
    OtherSecret,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable => write!(formatter, "no greeting of this protocol"),
            Self::OtherProtocol(version) => write!(formatter, "version {version} of the protocol"),
            Self::OtherSecret => write!(formatter, "another shared secret"),
        }
    }
}

/// Decides whose connections are served.
struct Entrance {
    secret: String,
    refused: RefCell<RepeatedEvent>,
}

impl Entrance {
    /// The level that a connection speaks.
    fn check(&self, frame: &[u8]) -> Result<FeatureLevel, Refusal> {
        let hello = bitcode::decode::<Hello>(frame).map_err(|_| Refusal::Unreadable)?;
        if hello.magic != MAGIC {
            return Err(Refusal::Unreadable);
        }
        if hello.secret != self.secret {
            return Err(Refusal::OtherSecret);
        }
        FeatureLevel::of_protocol(hello.version).ok_or(Refusal::OtherProtocol(hello.version))
    }

    fn tell_refused(&self, refusal: Refusal, now: Duration) {
        if let Some(connections) = self.refused.borrow_mut().count(now) {
            spdlog::warn!("connection refused", kv: {
                reason = refusal.to_string().as_str(),
                newest_spoken_here = FeatureLevel::NEWEST.protocol(),
                connections = connections
            });
        }
    }
}

async fn serve_connection<P: Runtime, H: Handler>(
    platform: P,
    sender: impl FrameSender,
    mut receiver: impl FrameReceiver,
    entrance: Rc<Entrance>,
    handler: Rc<H>,
) {
    let greeting = timeout(&platform, HELLO_LIMIT, receiver.receive()).await;
    let Some(Ok(Some(frame))) = greeting else {
        return;
    };
    let level = match entrance.check(&frame) {
        Ok(level) => level,
        Err(refusal) => {
            entrance.tell_refused(refusal, platform.monotonic());
            return;
        }
    };
    let (answers, queue) = mpsc::unbounded();
    // Nobody else holds the queue yet: it takes the frame.
    let _ = answers.unbounded_send(Welcome::new().frame());
    let read = read_requests(&platform, receiver, level, answers, handler);
    let write = write_answers(sender, queue);
    future::select(std::pin::pin!(read), std::pin::pin!(write)).await;
}

async fn read_requests<P: Runtime, H: Handler>(
    platform: &P,
    mut receiver: impl FrameReceiver,
    level: FeatureLevel,
    answers: mpsc::UnboundedSender<Vec<u8>>,
    handler: Rc<H>,
) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        let answers = answers.clone();
        let answer = handler.clone().handle(level, envelope.body);
        platform.spawn(async move {
            match answer.await {
                Some(body) => {
                    // A closed queue means that the connection is gone.
                    let _ = answers.unbounded_send(bitcode::encode(&Envelope { id: envelope.id, body }));
                }
                None => answers.close_channel(),
            }
        });
    }
}

async fn write_answers(mut sender: impl FrameSender, mut queue: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(frame) = queue.next().await {
        if sender.send(frame).await.is_err() {
            return;
        }
    }
}
