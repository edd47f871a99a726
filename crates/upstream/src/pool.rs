//! Connection pool to engine instances, and calls over it.

use crate::connection::Connection;
use crate::limits::DEFAULT_BODY_BYTES;
use crate::names::HeaderNames;
use crate::response::{Failure, UpstreamResponse};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Uri};
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_types::instance::InstanceId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of idle connections per instance.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Maximum size of a response to `Pool::call`, in bytes.
const MAX_CALL_RESPONSE_BYTES: usize = 1 << 20;

/// Idle time up to which `Reuse::Recent` accepts a connection: the engine is unlikely to be closing it.
const RECENT_IDLE_TIME: Duration = Duration::from_millis(200);

/// An engine instance and its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineTarget {
    /// The instance; another instance at the address rejects the request.
    pub instance: InstanceId,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// A request to forward.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers, including `Host`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The request ID, which the response must echo.
    pub request_id: String,
}

/// Which idle connections a request may reuse. If the engine closes a reused connection at the same time, it is unknown
/// whether the request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any open connection.
    Any,
    /// Only connections used within `RECENT_IDLE_TIME`.
    Recent,
    /// No reuse: always opens a new connection.
    None,
}

/// Connections to engines. Clones share the pool.
#[derive(Clone)]
pub struct Pool {
    names: Rc<HeaderNames>,
    idle: Rc<RefCell<BTreeMap<EngineTarget, Vec<Connection>>>>,
    connect_timeout: Duration,
    /// Memory for response bodies.
    memory: OverloadManager,
}

impl Pool {
    /// An empty pool with a connect timeout of `connect_timeout` and a memory budget of its own.
    pub fn new(names: Rc<HeaderNames>, connect_timeout: Duration) -> Self {
        Self::with_memory(names, connect_timeout, OverloadManager::new(DEFAULT_BODY_BYTES))
    }

    /// As [`Self::new`]; response bodies take their memory from `memory`, until the last clone of each is dropped.
    pub fn with_memory(names: Rc<HeaderNames>, connect_timeout: Duration, memory: OverloadManager) -> Self {
        Self { names, idle: Rc::default(), connect_timeout, memory }
    }

    /// The configured header names.
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Closes the idle connections to instances for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.idle.borrow_mut().retain(|target, _| keep(&target.instance));
    }

    /// Returns a connection to the pool.
    pub fn release(&self, target: &EngineTarget, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        connections.retain(Connection::is_open);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    fn take_idle(&self, target: &EngineTarget, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            let may_reuse = reuse == Reuse::Any || connection.idle_time() < RECENT_IDLE_TIME;
            if connection.is_open() && may_reuse {
                return Some(connection);
            }
        }
        None
    }

    /// Returns an idle connection to `target` that `reuse` allows, or opens a new one.
    async fn connect(&self, target: &EngineTarget, reuse: Reuse) -> Result<Connection, Failure> {
        if reuse != Reuse::None
            && let Some(connection) = self.take_idle(target, reuse)
        {
            return Ok(connection);
        }
        Connection::open(target.address, self.connect_timeout).await
    }

    /// Sends `request` to `target` and returns the response once its head has arrived. `time_left` is evaluated once
    /// the connection is established, and `may_send` immediately before the first byte, since the process may have been
    /// suspended while it connected. A reused connection found closed before the first byte is replaced by a new one.
    pub async fn send(
        &self,
        target: &EngineTarget,
        request: &OutgoingRequest,
        mut reuse: Reuse,
        time_left: impl Fn() -> Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, Failure> {
        loop {
            let mut connection = self.connect(target, reuse).await?;
            let message = self.build_request(target, request, time_left())?;
            if !may_send() {
                return Err(Failure::NotSent("permission to send expired".to_string()));
            }
            match connection.send(message).await {
                Ok(response) => {
                    let budget = self.memory.clone();
                    return UpstreamResponse::check(response, connection, budget, &self.names, &request.request_id);
                }
                Err(Failure::NotSent(_)) if connection.is_used() => reuse = Reuse::None,
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Makes a control call, which is not forwarded for a client, and returns the complete response within `timeout`. The
    /// kernel delivers the request within about `timeout` or not at all, also if this process is paused.
    pub async fn call(
        &self,
        target: &EngineTarget,
        request: &OutgoingRequest,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<(Parts, Bytes), Failure> {
        let exchange = async {
            let mut connection = self.connect(target, Reuse::Recent).await?;
            connection.limit_delivery(timeout)?;
            let message = self.build_request(target, request, timeout)?;
            if !may_send() {
                return Err(Failure::NotSent("permission to send expired".to_string()));
            }
            let (head, body) = connection.send(message).await?.into_parts();
            let body = Limited::new(body, MAX_CALL_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| Failure::PossiblyExecuted(format!("response interrupted: {error}")))?;
            connection.end_request();
            Ok((head, body.to_bytes()))
        };
        let result = compio::time::timeout(timeout, exchange).await;
        result.unwrap_or_else(|_| Err(Failure::PossiblyExecuted("response timed out".to_string())))
    }

    fn build_request(
        &self,
        target: &EngineTarget,
        request: &OutgoingRequest,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        if time_left.is_zero() {
            return Err(Failure::NotSent("deadline already exceeded".to_string()));
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
