//! Ends connections in order: the client receives the refusal although its request is not read to its end.

use crate::body::{Reply, full_reply};
use crate::connection_state::{CloseReason, ConnectionState, Phase};
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use futures::future;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use std::pin::pin;
use std::time::{Duration, Instant};

/// How long bytes are discarded that a client sends after a refusal. Closing the socket while bytes are unread would
/// reset the connection, and the client might never see the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// How many bytes are discarded, at most.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Time to write a refusal.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// `Retry-After` of refusals, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// The response to a client whose head is not read to its end; none if no request has begun, or if a response has.
fn response(reason: CloseReason, phase: Phase) -> Option<String> {
    if phase != Phase::Head {
        return None;
    }
    let (status, retry) = match reason {
        CloseReason::HeadTooLarge => ("431 Request Header Fields Too Large", false),
        CloseReason::HeadTimeout => ("408 Request Timeout", true),
        CloseReason::ConnectionLimit | CloseReason::MemoryLimit => ("503 Service Unavailable", true),
        CloseReason::IdleTimeout | CloseReason::UnreadResponse => return None,
    };
    let retry = if retry { format!("retry-after: {RETRY_AFTER_SECONDS}\r\n") } else { String::new() };
    Some(format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n{retry}\r\n"))
}

/// The response to a request that a handler has begun when the time for a shutdown is over.
pub(crate) fn interrupted_by_shutdown() -> Reply {
    full_reply(StatusCode::GATEWAY_TIMEOUT, "text/plain", "stopped before the request was complete; it may have run")
}

/// The response to a request that has not been received whole when the time for a shutdown is over.
pub(crate) fn not_executed_before_shutdown() -> Reply {
    let mut reply = full_reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping; the request has not run");
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    reply
}

/// Answers a client that the server has no place for; nothing was read from it.
pub(crate) async fn refuse(mut socket: TcpStream) {
    if let Some(text) = response(CloseReason::ConnectionLimit, Phase::Head) {
        send(&mut socket, text).await;
    }
}

/// Sends the refusal that belongs to `reason`, if there is one.
pub(crate) async fn send_refusal(socket: &mut TcpStream, reason: CloseReason, phase: Phase) {
    if let Some(text) = response(reason, phase) {
        send(socket, text).await;
    }
}

async fn send(socket: &mut TcpStream, text: String) {
    let sending = async {
        // A client that is gone needs no refusal.
        let _ = socket.write_all(text.into_bytes()).await;
        let _ = socket.shutdown().await;
    };
    // A client that reads nothing gets none.
    let _ = compio::time::timeout(WRITE_TIMEOUT, sending).await;
}

/// Discards what the client still sends, until it closes the connection.
pub(crate) async fn discard_input(socket: TcpStream, state: &ConnectionState) {
    state.enter(Phase::Discarding);
    future::select(pin!(discard(socket)), pin!(state.aborted())).await;
}

async fn discard(mut socket: TcpStream) {
    let give_up_at = Instant::now() + DISCARD_TIME;
    let mut buffer = Vec::with_capacity(DISCARD_BUFFER_BYTES);
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        buffer.clear();
        let remaining = give_up_at.saturating_duration_since(Instant::now());
        let Ok(read) = compio::time::timeout(remaining, socket.read(buffer)).await else {
            return;
        };
        buffer = read.1;
        match read.0 {
            Ok(count) if count > 0 => discarded += count,
            Ok(_) | Err(_) => return,
        }
    }
}
