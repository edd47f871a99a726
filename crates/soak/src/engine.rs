//! A simulated engine that implements the product's engine protocol, records requests and orders, and misbehaves on
//! demand.

use crate::calls::KEY_HEADER;
use crate::deployment::Addresses;
use crate::journal::{EngineSample, ItemRunEnd, Journal, OrderRecord, Run};
use crate::workload::{self, Features, MODEL, MODEL_SERVICE, ROLLOUTS, SCORES, SLOTS, TENANT, UNKNOWN_KEY_ID_PREFIX};
use bytes::Bytes;
use compio::net::TcpListener;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode};
use saddlerelay_coordinator::format::{EngineReport, RunningStreams, WeightOrder};
use saddlerelay_gateway_api::native::{ORDER_PATH, REPORT_PATH};
use saddlerelay_http::body::{BodyInterrupted, LocalBody, Reply, full_reply, json};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::instance::{InstanceId, InstanceReport, LoadedModel};
use saddlerelay_types::job::{ItemId, JobId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Start time in reports, in Unix milliseconds; any time in the past.
const START_MS: u64 = 1_700_000_000_000;

/// Duration of a weight load.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Polling interval while a load waits for running streams to end.
const LOAD_POLL: Duration = Duration::from_millis(10);

/// Time to generate one stream event.
const EVENT_TIME: Duration = Duration::from_millis(12);

/// Time to execute a non-streaming request.
const REQUEST_TIME: Duration = Duration::from_millis(15);

/// Delay from the start of crashing work to the crash.
const CRASH_TIME: Duration = Duration::from_millis(25);

/// Time for which a hanging engine holds a request.
const HANG_TIME: Duration = Duration::from_secs(6);

/// Number of requests in progress per slot from which new ones are rejected.
const QUEUE_LIMIT_FACTOR: u32 = 3;

/// Behavior on requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineBehavior {
    /// Executes them.
    Normal,
    /// Executes them slower by this factor.
    Slow(u32),
    /// Rejects them without executing them.
    Refusing,
    /// Accepts them and returns an error.
    Failing,
    /// Executes them and aborts the response body.
    BreakingOff,
    /// Holds them for a long time before executing them.
    Hanging,
    /// Executes them and returns another request's id.
    Mistaken,
}

/// Behavior on orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderBehavior {
    /// Accepts them.
    Normal,
    /// Executes them after this delay and does not respond in time.
    Late(Duration),
}

struct State {
    number: u8,
    service: &'static str,
    journal: Journal,
    addresses: Addresses,
    incarnation: Cell<u32>,
    behavior: Cell<EngineBehavior>,
    order_behavior: Cell<OrderBehavior>,
    version: Cell<u64>,
    loading: Cell<bool>,
    orders_accepted: Cell<u64>,
    highest_fence: Cell<u64>,
    running: Cell<u32>,
    leaving: Cell<bool>,
    /// Whether it sends no reports, like an engine that has crashed.
    silent: Cell<bool>,
    sequence: Cell<u64>,
    /// Notified when crashing work has started.
    crash_signal: Signal,
    /// The newest model version that the trainer published; a new instance starts with it.
    newest_version: Rc<Cell<u64>>,
    features: Features,
}

/// A simulated engine. Clones share state.
#[derive(Clone)]
pub struct Engine {
    state: Rc<State>,
}

/// The engine number of an instance.
pub fn number_of(instance: &InstanceId) -> Option<u8> {
    let (number, _) = instance.name.strip_prefix("engine-")?.split_once('-')?;
    number.parse().ok()
}

/// A request in progress; counted until dropped.
struct InProgress {
    state: Rc<State>,
    /// Index of the item execution in the journal, if the request is an item.
    item_run: Option<usize>,
}

impl InProgress {
    fn begin(state: &Rc<State>, item: Option<ItemId>, instance: InstanceId) -> Self {
        state.running.set(state.running.get() + 1);
        let item_run = item.map(|item| state.journal.begin_item_run(item, instance));
        Self { state: state.clone(), item_run }
    }

    /// Records the end of the item execution.
    fn end(&self, end: ItemRunEnd) {
        if let Some(number) = self.item_run {
            self.state.journal.end_item_run(number, end);
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.state.running.set(self.state.running.get() - 1);
        self.end(ItemRunEnd::Open);
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

impl Engine {
    /// Starts an engine at its backend address.
    pub async fn start(
        number: u8,
        service: &'static str,
        addresses: Addresses,
        journal: Journal,
        newest_version: Rc<Cell<u64>>,
        features: Features,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addresses.engine_backend(number)).await?;
        let state = Rc::new(State {
            number,
            service,
            journal,
            addresses,
            incarnation: Cell::new(1),
            behavior: Cell::new(EngineBehavior::Normal),
            order_behavior: Cell::new(OrderBehavior::Normal),
            version: Cell::new(1),
            loading: Cell::new(false),
            orders_accepted: Cell::new(0),
            highest_fence: Cell::new(0),
            running: Cell::new(0),
            leaving: Cell::new(false),
            silent: Cell::new(false),
            sequence: Cell::new(0),
            crash_signal: Signal::default(),
            newest_version,
            features,
        });
        let engine = Self { state };
        compio::runtime::spawn(serve_until(
            listener,
            Rc::new(engine.clone()),
            ListenerLimits::default(),
            OverloadManager::default(),
            Shutdown::default(),
        ))
        .detach();
        Ok(engine)
    }

    /// Number of the engine in the deployment, from 0.
    pub fn number(&self) -> u8 {
        self.state.number
    }

    /// Identifier of the current instance.
    pub fn instance(&self) -> InstanceId {
        InstanceId::without_start_time(format!("engine-{}-{}", self.state.number, self.state.incarnation.get()))
    }

    /// Notified when crashing work has started at this instance.
    pub fn crash_signal(&self) -> &Signal {
        &self.state.crash_signal
    }

    /// Whether it runs the model.
    pub fn hosts_model(&self) -> bool {
        self.state.service == MODEL_SERVICE
    }

    /// Whether its reports announce a drain.
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.get()
    }

    /// Sets the behavior on requests.
    pub fn set_behavior(&self, behavior: EngineBehavior) {
        self.state.behavior.set(behavior);
    }

    /// Sets the behavior on orders.
    pub fn set_order_behavior(&self, behavior: OrderBehavior) {
        self.state.order_behavior.set(behavior);
    }

    /// Announces a drain in its reports from now on.
    pub fn leave(&self) {
        self.state.leaving.set(true);
    }

    /// Stops or resumes its reports.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.set(silent);
    }

    /// Whether it sends no reports.
    pub fn is_silent(&self) -> bool {
        self.state.silent.get()
    }

    /// Its current state; `is_reachable` says whether its address accepts connections.
    pub fn sample(&self, is_reachable: bool) -> EngineSample {
        let state = &self.state;
        let behaves_normally =
            state.behavior.get() == EngineBehavior::Normal && state.order_behavior.get() == OrderBehavior::Normal;
        let is_available = !state.loading.get() && !state.leaving.get();
        EngineSample {
            number: state.number,
            version: state.version.get(),
            running: state.running.get(),
            accepts_items: is_reachable && behaves_normally && is_available,
        }
    }

    /// Ends this instance and its requests; the next instance uses the same address.
    pub fn start_next_incarnation(&self) {
        let state = &self.state;
        state.journal.end_engine_runs(&self.instance());
        state.incarnation.set(state.incarnation.get() + 1);
        state.version.set(state.newest_version.get());
        state.loading.set(false);
        state.orders_accepted.set(0);
        state.highest_fence.set(0);
        state.leaving.set(false);
        state.sequence.set(0);
        state.behavior.set(EngineBehavior::Normal);
        state.order_behavior.set(OrderBehavior::Normal);
    }

    /// The instance id in reports. If older builds take part, it includes a start time, which some of them do not
    /// support.
    fn reported_instance(&self) -> InstanceId {
        match self.state.features {
            Features::All | Features::SingleVersion => self.instance(),
            Features::Common => InstanceId::started(self.instance().name, START_MS + u64::from(self.state.number)),
        }
    }

    /// Creates the next report.
    pub fn report(&self) -> InstanceReport {
        let state = &self.state;
        state.sequence.set(state.sequence.get() + 1);
        InstanceReport {
            id: self.reported_instance(),
            service: state.service.to_string(),
            address: state.addresses.engine(state.number),
            zone: "north".to_string(),
            slots: SLOTS,
            leaving: state.leaving.get(),
            models: self.models(),
            sequence: state.sequence.get(),
        }
    }

    fn models(&self) -> Vec<LoadedModel> {
        let model = LoadedModel { model: MODEL.to_string(), version: self.state.version.get() };
        if self.hosts_model() { vec![model] } else { Vec::new() }
    }

    fn add_response_headers(&self, reply: &mut Reply, request: &str) {
        let stamp = HeaderValue::from_str(&self.instance().name);
        let echo = match self.state.behavior.get() {
            EngineBehavior::Mistaken => HeaderValue::from_str("another request"),
            _ => HeaderValue::from_str(request),
        };
        let headers = reply.headers_mut();
        if let (Ok(stamp), Ok(echo)) = (stamp, echo) {
            headers.insert("saddlerelay-stamp", stamp);
            headers.insert("saddlerelay-request", echo);
        }
        headers.insert("saddlerelay-version", HeaderValue::from(self.state.version.get()));
    }

    fn rejection(&self, status: StatusCode, request: &str) -> Reply {
        let mut reply = full_reply(status, "text/plain", "not executed");
        self.add_response_headers(&mut reply, request);
        reply.headers_mut().insert("saddlerelay-not-executed", HeaderValue::from_static("1"));
        reply
    }

    async fn order(&self, body: Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<WeightOrder>(&body) else {
            return full_reply(StatusCode::BAD_REQUEST, "text/plain", "");
        };
        let state = &self.state;
        let observed = OrderRecord {
            at: state.journal.now(),
            instance: self.instance(),
            holder: order.holder.clone(),
            fence: order.fence,
        };
        state.journal.write(|records| records.orders.push(observed));
        match state.order_behavior.get() {
            OrderBehavior::Normal => self.execute_order(order),
            OrderBehavior::Late(delay) => {
                let engine = self.clone();
                let incarnation = state.incarnation.get();
                compio::runtime::spawn(async move {
                    compio::time::sleep(delay).await;
                    if engine.state.incarnation.get() == incarnation {
                        engine.execute_order(order);
                    }
                })
                .detach();
                compio::time::sleep(HANG_TIME).await;
                full_reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
            }
        }
    }

    fn execute_order(&self, order: WeightOrder) -> Reply {
        let state = &self.state;
        if order.fence < state.highest_fence.get() {
            return full_reply(StatusCode::PRECONDITION_FAILED, "text/plain", "");
        }
        state.highest_fence.set(order.fence);
        if order.target.version == state.version.get() {
            return full_reply(StatusCode::OK, "text/plain", "");
        }
        if state.loading.get() || order.orders_taken != state.orders_accepted.get() {
            return full_reply(StatusCode::CONFLICT, "text/plain", "");
        }
        state.orders_accepted.set(state.orders_accepted.get() + 1);
        state.loading.set(true);
        compio::runtime::spawn(self.clone().load(order)).detach();
        full_reply(StatusCode::ACCEPTED, "text/plain", "")
    }

    async fn load(self, order: WeightOrder) {
        let state = &self.state;
        let incarnation = state.incarnation.get();
        while order.running == RunningStreams::Wait && state.running.get() > 0 {
            compio::time::sleep(LOAD_POLL).await;
        }
        compio::time::sleep(LOAD_TIME).await;
        if state.incarnation.get() == incarnation {
            state.version.set(order.target.version);
            state.loading.set(false);
        }
    }

    /// Checks that a request has the tenant header and no key. Skipped if older builds take part, which have no
    /// tenants.
    fn check_tenant(&self, request: &str, headers: &HeaderMap) {
        if self.state.features == Features::Common {
            return;
        }
        let tenant = header(headers, "saddlerelay-tenant");
        if tenant != Some(TENANT) || headers.contains_key(KEY_HEADER) || request.starts_with(UNKNOWN_KEY_ID_PREFIX) {
            let observed = format!("{request} reached {} with tenant {tenant:?}", self.instance().name);
            self.state.journal.violation("an engine receives the tenant of the key, and never the key", observed);
        }
    }

    async fn run(&self, path: String, headers: HeaderMap, body: Bytes) -> Reply {
        let state = &self.state;
        let request = header(&headers, "saddlerelay-request").unwrap_or_default().to_string();
        self.check_tenant(&request, &headers);
        let requested_version: Option<u64> =
            header(&headers, "saddlerelay-for-version").and_then(|version| version.parse().ok());
        if requested_version.is_some_and(|requested_version| requested_version != state.version.get()) {
            return self.rejection(StatusCode::MISDIRECTED_REQUEST, &request);
        }
        let is_full = state.running.get() >= SLOTS * QUEUE_LIMIT_FACTOR;
        if state.behavior.get() == EngineBehavior::Refusing || is_full || state.loading.get() {
            return self.rejection(StatusCode::SERVICE_UNAVAILABLE, &request);
        }
        let item = path.starts_with(ROLLOUTS).then(|| ItemId(request.clone()));
        let in_progress = InProgress::begin(state, item, self.instance());
        let run = Run {
            at: state.journal.now(),
            instance: self.instance(),
            service: state.service.to_string(),
            request: request.clone(),
            job: job_of(&path),
            crashing: workload::crashing_kind(&body),
        };
        let crashes = run.crashing.is_some();
        state.journal.write(|records| records.runs.push(run));
        if crashes {
            compio::time::sleep(CRASH_TIME).await;
            state.crash_signal.notify();
            // Never returns: the connection is closed with the instance.
            std::future::pending::<()>().await;
        }
        if state.behavior.get() == EngineBehavior::Hanging {
            compio::time::sleep(HANG_TIME).await;
        }
        if state.behavior.get() == EngineBehavior::Failing {
            state.journal.write(|records| *records.item_failures.entry(request.clone()).or_default() += 1);
            in_progress.end(ItemRunEnd::Failed);
            let mut reply = full_reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed");
            self.add_response_headers(&mut reply, &request);
            return reply;
        }
        match header(&headers, "events").and_then(|events| events.parse().ok()) {
            Some(events) => self.stream(path, &request, &headers, events, in_progress),
            None => self.respond(path, &request, body, in_progress).await,
        }
    }

    fn slowdown_factor(&self) -> u32 {
        match self.state.behavior.get() {
            EngineBehavior::Slow(factor) => factor,
            _ => 1,
        }
    }

    async fn respond(&self, path: String, request: &str, body: Bytes, in_progress: InProgress) -> Reply {
        let incarnation = self.state.incarnation.get();
        compio::time::sleep(REQUEST_TIME * self.slowdown_factor()).await;
        drop(in_progress);
        let text = workload::expected_response(&path, request, &body);
        let has_ended = self.state.incarnation.get() != incarnation;
        let mut reply = full_reply(StatusCode::OK, "text/plain", text.clone());
        if has_ended || self.state.behavior.get() == EngineBehavior::BreakingOff {
            let half = Bytes::from(text.into_bytes()).slice(..path.len());
            let parts = futures::stream::iter([Ok(half), Err(BodyInterrupted)]);
            *reply.body_mut() = LocalBody::Fallible(Box::pin(parts));
        }
        self.add_response_headers(&mut reply, request);
        reply
    }

    fn stream(&self, path: String, request: &str, headers: &HeaderMap, events: u32, in_progress: InProgress) -> Reply {
        let after: u32 = header(headers, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let incarnation = self.state.incarnation.get();
        let (engine, request_id) = (self.clone(), request.to_string());
        let parts = futures::stream::unfold((after, in_progress), move |(sent, in_progress)| {
            let (engine, path, request_id) = (engine.clone(), path.clone(), request_id.clone());
            async move {
                if sent >= events {
                    return None;
                }
                compio::time::sleep(EVENT_TIME * engine.slowdown_factor()).await;
                let state = &engine.state;
                let aborts = state.behavior.get() == EngineBehavior::BreakingOff && sent > after;
                if state.incarnation.get() != incarnation || aborts {
                    return Some((Err(BodyInterrupted), (sent, in_progress)));
                }
                let (number, version) = (sent + 1, state.version.get());
                state.journal.write(|records| records.events.insert((request_id, number, version)));
                if number == events {
                    in_progress.end(ItemRunEnd::Finished);
                }
                let data = workload::event_data(&path, number, version);
                let event = format!("saddlerelay-version: {version}\nid: {number}\ndata: {data}\n\n");
                Some((Ok(Bytes::from(event)), (number, in_progress)))
            }
        });
        let mut reply = Reply::new(LocalBody::Fallible(Box::pin(parts)));
        self.add_response_headers(&mut reply, request);
        reply
    }
}

/// The job in the path of an item or of its scoring request.
fn job_of(path: &str) -> Option<JobId> {
    let rest = path.strip_prefix(ROLLOUTS).or_else(|| path.strip_prefix(SCORES))?;
    rest.split_once('/').map(|(job, _)| JobId(job.to_string()))
}

impl HttpHandler for Engine {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let body = body.read().await.unwrap_or_default();
        let expected = header(&head.headers, "saddlerelay-for-instance");
        if expected.is_some_and(|expected| expected != self.instance().name) {
            let id = header(&head.headers, "saddlerelay-request").unwrap_or_default().to_string();
            return self.rejection(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        let path = head.uri.path_and_query().map(|path| path.to_string()).unwrap_or_default();
        match path.as_str() {
            ORDER_PATH => self.order(body).await,
            REPORT_PATH => {
                let busy = self.state.loading.get();
                let orders_taken = self.state.orders_accepted.get();
                json(StatusCode::OK, &EngineReport { models: self.models(), busy, orders_taken, started_at_ms: None })
            }
            _ => self.run(path, head.headers, body).await,
        }
    }
}
