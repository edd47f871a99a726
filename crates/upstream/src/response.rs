//! Responses from engines, and failures to get one.

use crate::connection::Connection;
use crate::names::HeaderNames;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_scheduling::LoadReport;
use std::fmt;
use std::time::Duration;

/// Longest wait for a connection to be ready for its next request after a complete response.
const REUSE_WAIT: Duration = Duration::from_millis(20);

/// Idle timeout of a connection if the engine sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Margin below the engine's keep-alive timeout, against races with its close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Why a call failed without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the engine.
    NotSent(String),
    /// The request may have executed.
    PossiblyExecuted(String),
    /// The connection closed before the response was complete: the engine closed it, or its process ended. The request
    /// may have executed.
    ConnectionLost(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::PossiblyExecuted(reason) => write!(formatter, "may have run: {reason}"),
            Self::ConnectionLost(reason) => write!(formatter, "may have run, connection lost: {reason}"),
        }
    }
}

/// An engine's response whose body is not read yet.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Connection,
    memory: OverloadManager,
}

impl UpstreamResponse {
    /// Verifies that a response belongs to the request with this ID.
    pub(crate) fn check(
        response: Response<Incoming>,
        connection: Connection,
        memory: OverloadManager,
        names: &HeaderNames,
        request_id: &str,
    ) -> Result<Self, Failure> {
        let (head, body) = response.into_parts();
        let echoed_id = head.headers.get(&names.request_id);
        let is_echoed = echoed_id.is_some_and(|value| value.as_bytes() == request_id.as_bytes());
        // A rejection may lack the request ID; on a fresh connection it can only belong to this request.
        let rejection =
            head.status == StatusCode::MISDIRECTED_REQUEST || head.headers.contains_key(&names.not_executed);
        let own_rejection = echoed_id.is_none() && rejection && !connection.is_used();
        if !is_echoed && !own_rejection {
            return Err(Failure::PossiblyExecuted("response carries another request ID".to_string()));
        }
        Ok(Self { head, body, connection, memory })
    }

    /// Whether the engine reported that it did not execute the request.
    pub fn is_not_executed(&self, names: &HeaderNames) -> bool {
        self.head.status == StatusCode::MISDIRECTED_REQUEST || self.head.headers.contains_key(&names.not_executed)
    }

    /// The load that the engine reported with the response.
    pub fn load_report(&self, names: &HeaderNames) -> Option<LoadReport> {
        LoadReport::parse(self.head.headers.get(&names.load)?.to_str().ok()?)
    }

    /// Reads the body, at most `limit` bytes. Also returns the connection if it can be reused. Fails if the body is
    /// larger; the connection is closed then. Waits while the process holds too many large bodies; the caller bounds the
    /// wait.
    pub async fn read_body(self, limit: usize) -> Result<(Parts, Bytes, Option<Connection>), Failure> {
        let memory = self.memory.clone();
        let (head, mut stream) = self.into_stream();
        let body = read_limited(&mut stream, limit, &memory).await?;
        Ok((head, body, stream.finish().await))
    }

    /// Returns the body as a stream. Dropping the stream closes the connection.
    pub fn into_stream(self) -> (Parts, ResponseStream) {
        let Self { head, body, connection, .. } = self;
        let idle = idle_timeout(&head.headers);
        let ends_with_connection = body.size_hint().exact().is_none() && !is_chunked(&head.headers);
        let lacks_body = ends_with_connection && head.status.is_success();
        (head, ResponseStream { body, connection, idle, ends_with_connection, lacks_body })
    }
}

/// Reads a body of at most `limit` bytes into memory that is reserved before it is used.
async fn read_limited(stream: &mut ResponseStream, limit: usize, memory: &OverloadManager) -> Result<Bytes, Failure> {
    let too_large = || Failure::PossiblyExecuted(format!("response body exceeds {limit} bytes"));
    let mut reservation = memory.memory().begin();
    let mut received: Vec<u8> = Vec::new();
    let length = stream.body.size_hint().exact().map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    if length > limit {
        return Err(too_large());
    }
    memory.reserve_patiently(&mut reservation, length).await;
    received.reserve_exact(length);
    while let Some(bytes) = stream.next().await {
        let bytes = bytes?;
        let needed = received.len() + bytes.len();
        if needed > limit {
            return Err(too_large());
        }
        if needed > received.capacity() {
            let capacity = needed.max((2 * received.capacity()).min(limit));
            memory.reserve_patiently(&mut reservation, capacity).await;
            received.reserve_exact(capacity - received.len());
        }
        received.extend_from_slice(&bytes);
    }
    Ok(reservation.attach(received))
}

/// The failure of a read of a response body that broke off.
fn interrupted(error: &hyper::Error) -> Failure {
    Failure::ConnectionLost(format!("response interrupted: {error}"))
}

/// Returns the connection after a complete response, if it can be reused. A response may be complete before its request is
/// sent; it does not wait for the rest of the request.
async fn reusable(mut connection: Connection, idle: Option<Duration>) -> Option<Connection> {
    connection.end_request();
    let idle = idle?;
    if compio::time::timeout(REUSE_WAIT, connection.is_ready()).await != Ok(true) {
        return None;
    }
    connection.mark_idle(idle);
    Some(connection)
}

/// How long the connection may stay idle after this response; `None` if the engine closes it.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let advertised = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(keep_alive_timeout);
    advertised.map_or(Some(DEFAULT_IDLE_TIMEOUT), |advertised| advertised.checked_sub(KEEP_ALIVE_MARGIN))
}

/// Whether the body consists of chunks, the last of which marks its end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back().and_then(|codings| codings.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// A response body read as a stream.
pub struct ResponseStream {
    body: Incoming,
    connection: Connection,
    idle: Option<Duration>,
    /// Whether the body has neither a length nor chunks, so that the end of the connection marks its end.
    ends_with_connection: bool,
    /// Whether such a body of a success has no byte yet.
    lacks_body: bool,
}

impl ResponseStream {
    /// Returns the connection if it can be reused. Call only after `next` returned `None`.
    pub async fn finish(self) -> Option<Connection> {
        drop(self.body);
        reusable(self.connection, self.idle).await
    }

    /// The next bytes; `None` at the end of a complete response, an error if it was interrupted.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if let Err(failure) = self.check_end().await {
                    return Some(Err(failure));
                }
                self.connection.end_request();
                return None;
            };
            match frame {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.lacks_body &= bytes.is_empty();
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(interrupted(&error))),
            }
        }
    }

    /// Checks that the end of the connection marks the end of the body, if nothing else does.
    async fn check_end(&self) -> Result<(), Failure> {
        if !self.ends_with_connection {
            return Ok(());
        }
        // After a reset, only the first operation on the socket fails. If that is a write of the request, the body ends as
        // after an orderly close.
        self.connection.closed_in_order().await?;
        // An engine that stops before its body closes the connection in order too.
        if self.lacks_body {
            return Err(Failure::ConnectionLost("connection closed between head and body".to_string()));
        }
        Ok(())
    }
}
