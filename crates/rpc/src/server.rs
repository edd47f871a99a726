//! The answering side: one task for each connection.

use crate::frame::{Envelope, Hello, MAGIC, PROTOCOL_VERSION};
use futures::channel::mpsc;
use futures::{StreamExt, future};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// How long a stranger may stay connected without a greeting.
const HELLO_LIMIT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests.
pub trait Handler: 'static {
    /// The answer to `body`, or `None` to close the connection.
    fn handle(self: Rc<Self>, body: Vec<u8>) -> impl Future<Output = Option<Vec<u8>>> + 'static;
}

/// Accepts connections until the process ends.
pub async fn serve<P: Runtime, H: Handler>(platform: P, mut listener: P::Listener, secret: String, handler: Rc<H>) {
    let secret: Rc<str> = secret.into();
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                let connection = serve_connection(platform.clone(), sender, receiver, secret.clone(), handler.clone());
                platform.spawn(connection);
            }
            Err(_) => platform.sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<P: Runtime, H: Handler>(
    platform: P,
    sender: impl FrameSender,
    mut receiver: impl FrameReceiver,
    secret: Rc<str>,
    handler: Rc<H>,
) {
    let greeting = timeout(&platform, HELLO_LIMIT, receiver.receive()).await;
    let Some(Ok(Some(frame))) = greeting else {
        return;
    };
    if !acceptable(&frame, &secret) {
        return;
    }
    let (answers, queue) = mpsc::unbounded();
    let read = read_requests(&platform, receiver, answers, handler);
    let write = write_answers(sender, queue);
    future::select(std::pin::pin!(read), std::pin::pin!(write)).await;
}

fn acceptable(frame: &[u8], secret: &str) -> bool {
    let Ok(hello) = bitcode::decode::<Hello>(frame) else {
        return false;
    };
    hello.magic == MAGIC && hello.version == PROTOCOL_VERSION && hello.secret == secret
}

async fn read_requests<P: Runtime, H: Handler>(
    platform: &P,
    mut receiver: impl FrameReceiver,
    answers: mpsc::UnboundedSender<Vec<u8>>,
    handler: Rc<H>,
) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Ok(envelope) = bitcode::decode::<Envelope>(&frame) else {
            return;
        };
        let answers = answers.clone();
        let answer = handler.clone().handle(envelope.body);
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
