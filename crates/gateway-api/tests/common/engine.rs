//! A stand-in engine that speaks the product's own formats and misbehaves as it is told.

use super::notes;
use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use saddlerelay_coordinator::dialect::{EngineReport, VersionOrder};
use saddlerelay_gateway_api::own::{ORDER_PATH, REPORT_PATH};
use saddlerelay_http::body::{BrokenOff, LocalBody, Reply, json, read_whole, whole};
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Answers it.
    Answer,
    /// Answers it late.
    AnswerAfter(Duration),
    /// Says that it did not run it.
    Shed,
    /// Runs it and fails.
    Fail,
    /// Runs it and fails with a status by which saddlerelay promises its clients that nothing has run.
    FailUnavailable,
    /// Says that it can never be done.
    Impossible,
    /// Answers with another request's identifier.
    AnswerAnother,
    /// Answers without its signature.
    AnswerUnsigned,
    /// Breaks its answer off.
    BreakOff,
    /// Breaks a stream off after so many events.
    BreakOffAfter(u32),
    /// Never answers.
    Hang,
}

/// A request as the engine saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl Seen {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

struct State {
    name: String,
    /// When it started, if it tells.
    started_at_ms: Cell<Option<u64>>,
    conduct: Cell<Conduct>,
    version: Cell<u64>,
    orders_taken: Cell<u64>,
    orders: RefCell<Vec<VersionOrder>>,
    /// Orders whose count of earlier ones differed.
    orders_refused: Cell<u32>,
    /// Orders that it takes next without an answer that can be read.
    order_answers_lost: Cell<u32>,
    reports_told: Cell<u32>,
    seen: RefCell<Vec<Seen>>,
    /// Requests whose answer was given up by whoever asked.
    dropped: Cell<u32>,
    event_pause: Cell<Duration>,
    /// Events of all its streams.
    events_made: Cell<u32>,
    in_progress: Cell<u32>,
    /// The most requests that were in progress at once.
    most_at_once: Cell<u32>,
}

/// A request in progress; counts until dropped.
struct InProgress(Rc<State>);

impl InProgress {
    fn begin(state: &Rc<State>) -> Self {
        let count = state.in_progress.get() + 1;
        state.in_progress.set(count);
        state.most_at_once.set(state.most_at_once.get().max(count));
        Self(state.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// The engine.
#[derive(Clone)]
pub struct StandInEngine {
    state: Rc<State>,
    address: SocketAddr,
}

impl StandInEngine {
    /// Starts an engine.
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Rc::new(State {
            name: name.to_string(),
            started_at_ms: Cell::new(None),
            conduct: Cell::new(Conduct::Answer),
            version: Cell::new(1),
            orders_taken: Cell::new(0),
            orders: RefCell::default(),
            orders_refused: Cell::new(0),
            order_answers_lost: Cell::new(0),
            reports_told: Cell::new(0),
            seen: RefCell::default(),
            dropped: Cell::new(0),
            event_pause: Cell::new(Duration::from_millis(1)),
            events_made: Cell::new(0),
            in_progress: Cell::new(0),
            most_at_once: Cell::new(0),
        });
        let engine = Self { state, address };
        compio::runtime::spawn(serve_until(listener, Rc::new(engine.clone()), Shutdown::default())).detach();
        engine
    }

    pub fn instance(&self) -> InstanceId {
        InstanceId { name: self.state.name.clone(), started_at_ms: self.state.started_at_ms.get() }
    }

    /// Has it tell when it started, in Unix milliseconds.
    pub fn set_started_at(&self, at_ms: u64) {
        self.state.started_at_ms.set(Some(at_ms));
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn models(&self) -> Vec<LoadedModel> {
        vec![notes(self.state.version.get())]
    }

    pub fn set_conduct(&self, conduct: Conduct) {
        self.state.conduct.set(conduct);
    }

    pub fn set_version(&self, version: u64) {
        self.state.version.set(version);
    }

    pub fn set_event_pause(&self, pause: Duration) {
        self.state.event_pause.set(pause);
    }

    /// The requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.borrow().clone()
    }

    /// The orders that reached it.
    pub fn orders(&self) -> Vec<VersionOrder> {
        self.state.orders.borrow().clone()
    }

    /// Orders that it refused because their count of earlier ones differed.
    pub fn orders_refused(&self) -> u32 {
        self.state.orders_refused.get()
    }

    /// Has it take the next `count` orders and break its answers off.
    pub fn lose_order_answers(&self, count: u32) {
        self.state.order_answers_lost.set(count);
    }

    /// Reports that it was asked for.
    pub fn reports_told(&self) -> u32 {
        self.state.reports_told.get()
    }

    /// Events that it has made of all its streams.
    pub fn events_made(&self) -> u32 {
        self.state.events_made.get()
    }

    /// The most requests without a stream that were in progress at once.
    pub fn most_at_once(&self) -> u32 {
        self.state.most_at_once.get()
    }

    pub fn dropped(&self) -> u32 {
        self.state.dropped.get()
    }

    fn sign(&self, reply: &mut Reply, request_id: &str) {
        let headers = reply.headers_mut();
        headers.insert("saddlerelay-request", HeaderValue::from_str(request_id).expect("an identifier"));
        headers.insert("saddlerelay-stamp", HeaderValue::from_str(&self.state.name).expect("a name"));
        headers.insert("saddlerelay-version", HeaderValue::from(self.state.version.get()));
    }

    fn not_executed(&self, status: StatusCode, request_id: &str) -> Reply {
        let mut reply = whole(status, "text/plain", "not executed");
        self.sign(&mut reply, request_id);
        reply.headers_mut().insert("saddlerelay-not-executed", HeaderValue::from_static("1"));
        reply
    }

    async fn order(&self, body: Bytes) -> Reply {
        let order: VersionOrder = serde_json::from_slice(&body).expect("an order");
        let taken = self.state.orders_taken.get();
        if order.orders_taken != taken {
            self.state.orders_refused.set(self.state.orders_refused.get() + 1);
            return whole(StatusCode::CONFLICT, "text/plain", "");
        }
        self.state.orders_taken.set(taken + 1);
        self.state.version.set(order.target.version);
        self.state.orders.borrow_mut().push(order);
        let mut reply = whole(StatusCode::ACCEPTED, "text/plain", "");
        let lost = self.state.order_answers_lost.get();
        if lost > 0 {
            self.state.order_answers_lost.set(lost - 1);
            *reply.body_mut() = broken_off();
        }
        reply
    }

    async fn answer(&self, seen: Seen) -> Reply {
        let _in_progress = InProgress::begin(&self.state);
        let request_id = seen.header("saddlerelay-request").unwrap_or_default().to_string();
        let events: Option<u32> = seen.header("events").and_then(|events| events.parse().ok());
        let wanted = seen.header("saddlerelay-for-version").and_then(|version| version.parse().ok());
        if wanted.is_some_and(|wanted: u64| wanted != self.state.version.get()) {
            return self.not_executed(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let conduct = self.state.conduct.get();
        match conduct {
            Conduct::Shed => return self.not_executed(StatusCode::SERVICE_UNAVAILABLE, &request_id),
            Conduct::Hang => {
                let _watch = Watch(self.state.clone());
                std::future::pending::<()>().await;
            }
            Conduct::AnswerAfter(time) => compio::time::sleep(time).await,
            _ => {}
        }
        let streams = !matches!(conduct, Conduct::Fail | Conduct::FailUnavailable | Conduct::Impossible);
        if let Some(events) = events.filter(|_| streams) {
            return self.stream(&seen, &request_id, events, conduct);
        }
        let status = match conduct {
            Conduct::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            Conduct::FailUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Conduct::Impossible => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::OK,
        };
        let mut reply = whole(status, "text/plain", format!("{} answers {}", self.state.name, seen.path));
        self.sign(&mut reply, &request_id);
        match conduct {
            Conduct::AnswerAnother => {
                reply.headers_mut().insert("saddlerelay-request", HeaderValue::from_static("another"));
            }
            Conduct::AnswerUnsigned => {
                reply.headers_mut().remove("saddlerelay-stamp");
            }
            Conduct::BreakOff => {
                *reply.body_mut() = broken_off();
            }
            _ => {}
        }
        reply
    }

    fn stream(&self, seen: &Seen, request_id: &str, events: u32, conduct: Conduct) -> Reply {
        let after = seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let state = self.state.clone();
        let item = seen.path.clone();
        let watch = Watch(self.state.clone());
        let parts = futures::stream::unfold((after, watch), move |(sent, watch)| {
            let state = state.clone();
            let item = item.clone();
            async move {
                if sent == events {
                    std::mem::forget(watch);
                    return None;
                }
                compio::time::sleep(state.event_pause.get()).await;
                if matches!(conduct, Conduct::BreakOffAfter(count) if sent - after == count) {
                    return Some((Err(BrokenOff), (sent, watch)));
                }
                state.events_made.set(state.events_made.get() + 1);
                let number = sent + 1;
                let version = state.version.get();
                let event = format!("saddlerelay-version: {version}\nid: {number}\ndata: {item} {number}\n\n");
                Some((Ok(Bytes::from(event)), (number, watch)))
            }
        });
        let mut reply = Reply::new(LocalBody::Breakable(Box::pin(parts)));
        self.sign(&mut reply, request_id);
        reply
    }
}

/// A body that ends before it is whole.
fn broken_off() -> LocalBody {
    let parts = futures::stream::iter([Ok(Bytes::from_static(b"half")), Err(BrokenOff)]);
    LocalBody::Breakable(Box::pin(parts))
}

/// Counts a request that is given up.
struct Watch(Rc<State>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.dropped.set(self.0.dropped.get() + 1);
    }
}

impl HttpHandler for StandInEngine {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = read_whole(body).await.unwrap_or_default();
        let expected = head.headers.get("saddlerelay-for-instance").and_then(|value| value.to_str().ok());
        if expected.is_some_and(|expected| expected != self.state.name) {
            let mut reply = whole(StatusCode::MISDIRECTED_REQUEST, "text/plain", "");
            reply.headers_mut().insert("saddlerelay-not-executed", HeaderValue::from_static("1"));
            return reply;
        }
        let path = head.uri.path_and_query().map(|path| path.to_string()).unwrap_or_default();
        match path.as_str() {
            ORDER_PATH => self.order(body).await,
            REPORT_PATH => {
                let orders_taken = self.state.orders_taken.get();
                self.state.reports_told.set(self.state.reports_told.get() + 1);
                let started_at_ms = self.state.started_at_ms.get();
                json(StatusCode::OK, &EngineReport { models: self.models(), busy: false, orders_taken, started_at_ms })
            }
            _ => {
                let seen = Seen { method: head.method.to_string(), path, headers: head.headers, body };
                self.state.seen.borrow_mut().push(seen.clone());
                self.answer(seen).await
            }
        }
    }
}

/// A server that answers each request with fixed bytes; `{id}` in them stands for the request's identifier.
pub struct RawServer {
    pub address: SocketAddr,
    pub requests: Rc<Cell<u32>>,
    pub connections: Rc<Cell<u32>>,
}

impl RawServer {
    /// Starts a server whose answer is `answer`; it closes the connection after it if told so.
    pub async fn start(answer: &'static str, closes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = Rc::new(Cell::new(0));
        let connections = Rc::new(Cell::new(0));
        let server = Self { address, requests: requests.clone(), connections: connections.clone() };
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                compio::runtime::spawn(serve_raw(stream, answer, closes, requests.clone())).detach();
            }
        })
        .detach();
        server
    }
}

async fn serve_raw(mut stream: TcpStream, answer: &str, closes: bool, requests: Rc<Cell<u32>>) {
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
        let bytes = answer.replace("{id}", id.trim()).into_bytes();
        if stream.write_all(bytes).await.0.is_err() || closes {
            return;
        }
    }
}
