//! What came back from an engine.

use crate::connection::Connection;
use crate::names::HeaderNames;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::fmt;
use std::time::Duration;

/// How long an idle connection is kept when the engine does not say.
const DEFAULT_IDLE: Duration = Duration::from_millis(2_500);

/// Part of the engine's own idle time that is left unused, so that a request does not cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the engine.
    NotSent(String),
    /// The request may have run.
    MayHaveRun(String),
    /// The connection ended before the answer was whole: the engine has closed it, or has ended itself. The request may
    /// have run.
    ConnectionLost(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::MayHaveRun(reason) => write!(formatter, "may have run: {reason}"),
            Self::ConnectionLost(reason) => write!(formatter, "may have run, connection lost: {reason}"),
        }
    }
}

/// An engine's answer whose body is still to come.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Connection,
}

impl Answer {
    /// Takes an answer if it belongs to the request with this identifier.
    pub fn check(
        response: Response<Incoming>,
        connection: Connection,
        names: &HeaderNames,
        request_id: &str,
    ) -> Result<Self, Failure> {
        let (head, body) = response.into_parts();
        let echo = head.headers.get(&names.request_id);
        let echoed = echo.is_some_and(|value| value.as_bytes() == request_id.as_bytes());
        // A refusal may lack the identifier; on a connection that carried nothing before, it can be no other request's.
        let refusal = head.status == StatusCode::MISDIRECTED_REQUEST || head.headers.contains_key(&names.not_executed);
        let own_refusal = echo.is_none() && refusal && !connection.is_used();
        if !echoed && !own_refusal {
            return Err(Failure::MayHaveRun("the answer is another request's".to_string()));
        }
        Ok(Self { head, body, connection })
    }

    /// Whether the engine says that it did not run the request.
    pub fn is_not_executed(&self, names: &HeaderNames) -> bool {
        self.head.status == StatusCode::MISDIRECTED_REQUEST || self.head.headers.contains_key(&names.not_executed)
    }

    /// Reads the whole body, of at most `limit` bytes. With it comes the connection, if it can be used again.
    pub async fn read_whole(self, limit: usize) -> Result<(Parts, Bytes, Option<Connection>), Failure> {
        let Self { head, body, connection } = self;
        let collected = Limited::new(body, limit).collect().await;
        let body = collected.map_err(|error| broken_off(error.as_ref()))?.to_bytes();
        let reusable = reusable(connection, idle_time(&head.headers)).await;
        Ok((head, body, reusable))
    }

    /// The body as it comes. The connection closes when it is dropped.
    pub fn into_stream(self) -> (Parts, AnswerStream) {
        let idle = idle_time(&self.head.headers);
        (self.head, AnswerStream { body: self.body, connection: self.connection, idle })
    }
}

/// The failure of an answer that ended before it was whole, or that was larger than the limit.
fn broken_off(error: &(dyn std::error::Error + 'static)) -> Failure {
    let reason = format!("the answer broke off: {error}");
    match error.downcast_ref::<hyper::Error>() {
        Some(_) => Failure::ConnectionLost(reason),
        None => Failure::MayHaveRun(reason),
    }
}

/// The connection after a whole answer, if it can be used again.
async fn reusable(mut connection: Connection, idle: Option<Duration>) -> Option<Connection> {
    let idle = idle?;
    if !connection.is_ready().await {
        return None;
    }
    connection.rest(idle);
    Some(connection)
}

/// How long the engine keeps the connection open after this answer; `None` when it closes it.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(keep_alive_timeout);
    told.map_or(Some(DEFAULT_IDLE), |told| told.checked_sub(IDLE_MARGIN))
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// A body as it comes.
pub struct AnswerStream {
    body: Incoming,
    connection: Connection,
    idle: Option<Duration>,
}

impl AnswerStream {
    /// The connection, if it can be used again; asked only after the whole end.
    pub async fn finish(self) -> Option<Connection> {
        drop(self.body);
        reusable(self.connection, self.idle).await
    }

    /// The next bytes; `None` at the whole end, an error when the answer broke off.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(broken_off(&error))),
            }
        }
    }
}
