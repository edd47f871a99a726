//! A stand-in engine that uses the native formats, with configurable faults.

use super::notes;
use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use saddlerelay_coordinator::format::{EngineReport, WeightOrder};
use saddlerelay_gateway_api::native::{ORDER_PATH, REPORT_PATH};
use saddlerelay_http::body::{BodyInterrupted, LocalBody, Reply, full_reply, json};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How an engine handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Responds at once.
    Respond,
    /// Responds after a delay.
    RespondAfter(Duration),
    /// Rejects the request as not executed.
    Reject,
    /// Executes the request and fails with status 500.
    Fail,
    /// Executes the request and fails with status 503, which saddlerelay itself only sends for requests that did not run.
    FailUnavailable,
    /// Fails with status 422, which marks a request that can never succeed.
    FailUnprocessable,
    /// Responds with another request's identifier.
    WrongRequestId,
    /// Responds without the stamp header.
    MissingStamp,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Closes the connection after this many events of a stream.
    TruncateAfter(u32),
    /// Never responds.
    Hang,
}

/// A request that the engine received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl ReceivedRequest {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

struct State {
    name: String,
    /// Start time in Unix milliseconds, if the engine reports it.
    started_at_ms: Cell<Option<u64>>,
    behavior: Cell<EngineBehavior>,
    version: Cell<u64>,
    orders_accepted: Cell<u64>,
    orders: RefCell<Vec<WeightOrder>>,
    /// Number of orders rejected because their `orders_taken` did not match.
    orders_rejected: Cell<u32>,
    /// Number of next orders that are executed although their response is cut off.
    order_responses_to_lose: Cell<u32>,
    polls_answered: Cell<u32>,
    received_requests: RefCell<Vec<ReceivedRequest>>,
    /// Number of requests that the client cancelled.
    cancelled: Cell<u32>,
    event_interval: Cell<Duration>,
    /// Value of the load header, if the engine sends one.
    load: RefCell<Option<String>>,
    /// Number of events sent in all streams.
    events_sent: Cell<u32>,
    /// How often all streams were broken off.
    streams_broken_off: Cell<u32>,
    in_progress: Cell<u32>,
    /// Maximum number of concurrent requests.
    max_concurrent: Cell<u32>,
}

/// Counts a request as in progress until dropped.
struct InProgress(Rc<State>);

impl InProgress {
    fn begin(state: &Rc<State>) -> Self {
        let count = state.in_progress.get() + 1;
        state.in_progress.set(count);
        state.max_concurrent.set(state.max_concurrent.get().max(count));
        Self(state.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// A stand-in engine; clones share its state.
#[derive(Clone)]
pub struct StandInEngine {
    state: Rc<State>,
    address: SocketAddr,
}

impl StandInEngine {
    /// Starts an engine.
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        let state = Rc::new(State {
            name: name.to_string(),
            started_at_ms: Cell::new(None),
            behavior: Cell::new(EngineBehavior::Respond),
            version: Cell::new(1),
            orders_accepted: Cell::new(0),
            orders: RefCell::default(),
            orders_rejected: Cell::new(0),
            order_responses_to_lose: Cell::new(0),
            polls_answered: Cell::new(0),
            received_requests: RefCell::default(),
            cancelled: Cell::new(0),
            event_interval: Cell::new(Duration::from_millis(1)),
            load: RefCell::default(),
            events_sent: Cell::new(0),
            streams_broken_off: Cell::new(0),
            in_progress: Cell::new(0),
            max_concurrent: Cell::new(0),
        });
        let engine = Self { state, address };
        compio::runtime::spawn(serve_until(
            listener,
            Rc::new(engine.clone()),
            ListenerLimits::default(),
            OverloadManager::default(),
            Shutdown::default(),
        ))
        .detach();
        engine
    }

    pub fn instance(&self) -> InstanceId {
        InstanceId { name: self.state.name.clone(), started_at_ms: self.state.started_at_ms.get() }
    }

    /// Sets the start time that the engine reports, in Unix milliseconds.
    pub fn set_started_at(&self, at_ms: u64) {
        self.state.started_at_ms.set(Some(at_ms));
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn models(&self) -> Vec<LoadedModel> {
        vec![notes(self.state.version.get())]
    }

    pub fn set_behavior(&self, behavior: EngineBehavior) {
        self.state.behavior.set(behavior);
    }

    pub fn set_version(&self, version: u64) {
        self.state.version.set(version);
    }

    pub fn set_event_interval(&self, pause: Duration) {
        self.state.event_interval.set(pause);
    }

    /// Sets the load header of responses, rejections included; none is sent if empty.
    pub fn set_load(&self, load: &str) {
        *self.state.load.borrow_mut() = Some(load.to_string()).filter(|load| !load.is_empty());
    }

    /// All requests received.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.received_requests.borrow().clone()
    }

    /// All orders accepted.
    pub fn orders(&self) -> Vec<WeightOrder> {
        self.state.orders.borrow().clone()
    }

    /// Number of orders rejected because their `orders_taken` did not match.
    pub fn orders_rejected(&self) -> u32 {
        self.state.orders_rejected.get()
    }

    /// Makes the engine execute the next `count` orders but cut off the responses.
    pub fn lose_order_responses(&self, count: u32) {
        self.state.order_responses_to_lose.set(count);
    }

    /// Number of status polls answered.
    pub fn polls_answered(&self) -> u32 {
        self.state.polls_answered.get()
    }

    /// Number of events sent in all streams.
    pub fn events_sent(&self) -> u32 {
        self.state.events_sent.get()
    }

    /// Interrupts all streams in progress at their next event.
    pub fn break_off_streams(&self) {
        self.state.streams_broken_off.set(self.state.streams_broken_off.get() + 1);
    }

    /// Maximum number of concurrent requests without a stream.
    pub fn max_concurrent(&self) -> u32 {
        self.state.max_concurrent.get()
    }

    pub fn cancelled(&self) -> u32 {
        self.state.cancelled.get()
    }

    fn add_engine_headers(&self, reply: &mut Reply, request_id: &str) {
        let headers = reply.headers_mut();
        headers.insert(
            "saddlerelay-request",
            HeaderValue::from_str(request_id).expect("the request ID is not a valid header value"),
        );
        headers.insert(
            "saddlerelay-stamp",
            HeaderValue::from_str(&self.state.name).expect("the engine name is not a valid header value"),
        );
        headers.insert("saddlerelay-version", HeaderValue::from(self.state.version.get()));
        if let Some(load) = self.state.load.borrow().as_deref() {
            headers
                .insert("saddlerelay-load", HeaderValue::from_str(load).expect("the load is not a valid header value"));
        }
    }

    fn not_executed(&self, status: StatusCode, request_id: &str) -> Reply {
        let mut reply = full_reply(status, "text/plain", "not executed");
        self.add_engine_headers(&mut reply, request_id);
        reply.headers_mut().insert("saddlerelay-not-executed", HeaderValue::from_static("1"));
        reply
    }

    async fn order(&self, body: Bytes) -> Reply {
        let order: WeightOrder = serde_json::from_slice(&body).expect("the body is not a weight order");
        let executed = self.state.orders_accepted.get();
        if order.orders_taken != executed {
            self.state.orders_rejected.set(self.state.orders_rejected.get() + 1);
            return full_reply(StatusCode::CONFLICT, "text/plain", "");
        }
        self.state.orders_accepted.set(executed + 1);
        self.state.version.set(order.target.version);
        self.state.orders.borrow_mut().push(order);
        let mut reply = full_reply(StatusCode::ACCEPTED, "text/plain", "");
        let lost = self.state.order_responses_to_lose.get();
        if lost > 0 {
            self.state.order_responses_to_lose.set(lost - 1);
            *reply.body_mut() = truncated_body();
        }
        reply
    }

    async fn respond(&self, request: ReceivedRequest) -> Reply {
        let _in_progress = InProgress::begin(&self.state);
        let request_id = request.header("saddlerelay-request").unwrap_or_default().to_string();
        let events: Option<u32> = request.header("events").and_then(|events| events.parse().ok());
        let required_version = request.header("saddlerelay-for-version").and_then(|version| version.parse().ok());
        if required_version.is_some_and(|required_version: u64| required_version != self.state.version.get()) {
            return self.not_executed(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let behavior = self.state.behavior.get();
        match behavior {
            EngineBehavior::Reject => return self.not_executed(StatusCode::SERVICE_UNAVAILABLE, &request_id),
            EngineBehavior::Hang => {
                let _cancel_counter = CancelCounter(self.state.clone());
                std::future::pending::<()>().await;
            }
            EngineBehavior::RespondAfter(time) => compio::time::sleep(time).await,
            _ => {}
        }
        let is_streamable = !matches!(
            behavior,
            EngineBehavior::Fail | EngineBehavior::FailUnavailable | EngineBehavior::FailUnprocessable
        );
        if let Some(events) = events.filter(|_| is_streamable) {
            return self.stream(&request, &request_id, events, behavior);
        }
        let status = match behavior {
            EngineBehavior::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            EngineBehavior::FailUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            EngineBehavior::FailUnprocessable => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::OK,
        };
        let mut reply = full_reply(status, "text/plain", format!("{} answers {}", self.state.name, request.path));
        self.add_engine_headers(&mut reply, &request_id);
        match behavior {
            EngineBehavior::WrongRequestId => {
                reply.headers_mut().insert("saddlerelay-request", HeaderValue::from_static("another"));
            }
            EngineBehavior::MissingStamp => {
                reply.headers_mut().remove("saddlerelay-stamp");
            }
            EngineBehavior::Truncate => {
                *reply.body_mut() = truncated_body();
            }
            _ => {}
        }
        reply
    }

    fn stream(&self, request: &ReceivedRequest, request_id: &str, events: u32, behavior: EngineBehavior) -> Reply {
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let state = self.state.clone();
        let item = request.path.clone();
        let cancel_counter = CancelCounter(self.state.clone());
        let broken_off = self.state.streams_broken_off.get();
        let parts = futures::stream::unfold((after, cancel_counter), move |(sent, cancel_counter)| {
            let state = state.clone();
            let item = item.clone();
            async move {
                if sent == events {
                    std::mem::forget(cancel_counter);
                    return None;
                }
                compio::time::sleep(state.event_interval.get()).await;
                let truncates = matches!(behavior, EngineBehavior::TruncateAfter(count) if sent - after == count);
                if truncates || state.streams_broken_off.get() != broken_off {
                    return Some((Err(BodyInterrupted), (sent, cancel_counter)));
                }
                state.events_sent.set(state.events_sent.get() + 1);
                let number = sent + 1;
                let version = state.version.get();
                let event = format!("saddlerelay-version: {version}\nid: {number}\ndata: {item} {number}\n\n");
                Some((Ok(Bytes::from(event)), (number, cancel_counter)))
            }
        });
        let mut reply = Reply::new(LocalBody::Fallible(Box::pin(parts)));
        self.add_engine_headers(&mut reply, request_id);
        reply
    }
}

/// A body that fails before its end.
fn truncated_body() -> LocalBody {
    let parts = futures::stream::iter([Ok(Bytes::from_static(b"half")), Err(BodyInterrupted)]);
    LocalBody::Fallible(Box::pin(parts))
}

/// Counts a cancelled request when dropped.
struct CancelCounter(Rc<State>);

impl Drop for CancelCounter {
    fn drop(&mut self) {
        self.0.cancelled.set(self.0.cancelled.get() + 1);
    }
}

impl HttpHandler for StandInEngine {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let body = body.read().await.unwrap_or_default();
        let expected = head.headers.get("saddlerelay-for-instance").and_then(|value| value.to_str().ok());
        if expected.is_some_and(|expected| expected != self.state.name) {
            let mut reply = full_reply(StatusCode::MISDIRECTED_REQUEST, "text/plain", "");
            reply.headers_mut().insert("saddlerelay-not-executed", HeaderValue::from_static("1"));
            return reply;
        }
        let path = head.uri.path_and_query().map(|path| path.to_string()).unwrap_or_default();
        match path.as_str() {
            ORDER_PATH => self.order(body).await,
            REPORT_PATH => {
                let orders_taken = self.state.orders_accepted.get();
                self.state.polls_answered.set(self.state.polls_answered.get() + 1);
                let started_at_ms = self.state.started_at_ms.get();
                json(StatusCode::OK, &EngineReport { models: self.models(), busy: false, orders_taken, started_at_ms })
            }
            _ => {
                let received = ReceivedRequest { method: head.method.to_string(), path, headers: head.headers, body };
                self.state.received_requests.borrow_mut().push(received.clone());
                self.respond(received).await
            }
        }
    }
}

/// A server that answers each request with fixed bytes, in which `{id}` is replaced by the request's identifier.
pub struct RawServer {
    pub address: SocketAddr,
    pub requests: Rc<Cell<u32>>,
    pub connections: Rc<Cell<u32>>,
}

impl RawServer {
    /// Starts a server that sends `response`, and then closes the connection if `closes` is set.
    pub async fn start(response: &'static str, closes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        let requests = Rc::new(Cell::new(0));
        let connections = Rc::new(Cell::new(0));
        let server = Self { address, requests: requests.clone(), connections: connections.clone() };
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                compio::runtime::spawn(serve_raw(stream, response, closes, requests.clone())).detach();
            }
        })
        .detach();
        server
    }
}

async fn serve_raw(mut stream: TcpStream, response: &str, closes: bool, requests: Rc<Cell<u32>>) {
    let mut received: Vec<u8> = Vec::new();
    loop {
        let compio::BufResult(count, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        if !matches!(count, Ok(count) if count > 0) {
            return;
        }
        received.extend_from_slice(&buffer);
        let text = String::from_utf8_lossy(&received).to_string();
        if !text.contains("\r\n\r\n") {
            continue;
        }
        received.clear();
        requests.set(requests.get() + 1);
        let id = text.lines().find_map(|line| line.strip_prefix("saddlerelay-request: ")).unwrap_or_default();
        let bytes = response.replace("{id}", id.trim()).into_bytes();
        if stream.write_all(bytes).await.0.is_err() || closes {
            return;
        }
    }
}
