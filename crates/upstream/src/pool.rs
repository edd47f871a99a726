//! Idle connections by engine instance, and calls over them.

use crate::answer::{Answer, Failure};
use crate::connection::Connection;
use crate::names::HeaderNames;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Uri};
use saddlerelay_types::instance::InstanceId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections kept to one instance.
const IDLE_KEPT: usize = 32;

/// Largest answer to a call of saddlerelay's own.
const CALL_ANSWER_BYTES: usize = 1 << 20;

/// A connection used so recently is hardly being closed.
const SHORT_REST: Duration = Duration::from_millis(200);

/// An instance to call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineTarget {
    /// The instance; any other at the address refuses the call.
    pub instance: InstanceId,
    /// Where it serves.
    pub address: SocketAddr,
}

/// A request to send on.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers, the host among them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The request's identifier, which the answer must carry back.
    pub request_id: String,
}

/// Which idle connections a request may take. One that the engine closes at that moment leaves it open whether the
/// request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any.
    Any,
    /// Only those used a moment ago.
    Recent,
    /// None.
    None,
}

/// Connections to engines. Clones share them.
#[derive(Clone)]
pub struct Pool {
    names: Rc<HeaderNames>,
    idle: Rc<RefCell<BTreeMap<EngineTarget, Vec<Connection>>>>,
    connect_limit: Duration,
}

impl Pool {
    /// An empty pool whose connects take at most `connect_limit`.
    pub fn new(names: Rc<HeaderNames>, connect_limit: Duration) -> Self {
        Self { names, idle: Rc::default(), connect_limit }
    }

    /// The header names in use.
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Drops the idle connections to instances that `keep` does not want.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.idle.borrow_mut().retain(|target, _| keep(&target.instance));
    }

    /// Gives a connection back.
    pub fn put_back(&self, target: &EngineTarget, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        connections.retain(Connection::is_open);
        if connections.len() < IDLE_KEPT {
            connections.push(connection);
        }
    }

    fn take(&self, target: &EngineTarget, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            let suits = reuse == Reuse::Any || connection.rest_time() < SHORT_REST;
            if connection.is_open() && suits {
                return Some(connection);
            }
        }
        None
    }

    /// A connection to `target`: an idle one if there is one and `reuse` allows it.
    async fn connect(&self, target: &EngineTarget, reuse: Reuse) -> Result<Connection, Failure> {
        if reuse != Reuse::None
            && let Some(connection) = self.take(target, reuse)
        {
            return Ok(connection);
        }
        Connection::open(target.address, self.connect_limit).await
    }

    /// Sends `request` to `target` and returns its answer's head. `time_left` is asked when the connection stands, and
    /// `may_send` immediately before the first byte: a process may have been frozen meanwhile. A used connection that
    /// turns out closed before the request began is replaced by a fresh one.
    pub async fn send(
        &self,
        target: &EngineTarget,
        request: &Outgoing,
        mut reuse: Reuse,
        time_left: impl Fn() -> Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, Failure> {
        loop {
            let mut connection = self.connect(target, reuse).await?;
            let message = self.message(target, request, time_left())?;
            if !may_send() {
                return Err(Failure::NotSent("the right to act has ended".to_string()));
            }
            match connection.send(message).await {
                Ok(response) => return Answer::check(response, connection, &self.names, &request.request_id),
                Err(Failure::NotSent(_)) if connection.is_used() => reuse = Reuse::None,
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Makes a call of saddlerelay's own to `target` and returns the whole answer, within `limit`.
    pub async fn call(
        &self,
        target: &EngineTarget,
        request: &Outgoing,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<(Parts, Bytes), Failure> {
        let exchange = async {
            let mut connection = self.connect(target, Reuse::Recent).await?;
            let message = self.message(target, request, limit)?;
            if !may_send() {
                return Err(Failure::NotSent("the right to act has ended".to_string()));
            }
            let (head, body) = connection.send(message).await?.into_parts();
            let body = Limited::new(body, CALL_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| Failure::MayHaveRun(format!("the answer broke off: {error}")))?;
            Ok((head, body.to_bytes()))
        };
        let ended = compio::time::timeout(limit, exchange).await;
        ended.unwrap_or_else(|_| Err(Failure::MayHaveRun("no answer in time".to_string())))
    }

    fn message(
        &self,
        target: &EngineTarget,
        request: &Outgoing,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        if time_left.is_zero() {
            return Err(Failure::NotSent("no time is left".to_string()));
        }
        let invalid = |error: &dyn std::fmt::Display| Failure::NotSent(error.to_string());
        let instance = HeaderValue::from_str(&target.instance.name).map_err(|error| invalid(&error))?;
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = request.headers.clone();
        message.headers_mut().insert(self.names.expect_instance.clone(), instance);
        let milliseconds = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX).max(1);
        message.headers_mut().insert(self.names.deadline.clone(), HeaderValue::from(milliseconds));
        Ok(message)
    }
}
