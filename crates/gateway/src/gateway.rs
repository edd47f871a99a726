//! The gateway's entry points and shared state.

use crate::config::GatewayConfig;
use crate::drain::Drain;
use crate::follower::AssignedReplica;
use crate::metrics::GatewayMetrics;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use crate::service_load::RejectionLines;
use crate::table::RouteTable;
use crate::usage::{GroupClockSamples, UsageLedger};
use crate::view::View;
use bytes::Bytes;
use hyper::header::HeaderValue;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::suspicions::SuspicionSync;
use saddlerelay_http::body::{BodyError, Reply};
use saddlerelay_http::limits::ConnectionLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::listening::TerminationChecks;
use saddlerelay_scheduling::HedgeBudget;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::{RequestLimits, Route, RouteKind};
use saddlerelay_upstream::{HeaderNames, LoadBalancer, Pool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Start-up options.
#[derive(Clone)]
pub struct GatewayOptions {
    /// The relay's name, as reported to the control group.
    pub name: String,
    /// The relay's zone; engines in it are preferred.
    pub zone: String,
    /// Configured control addresses, used in addition to those that the group reports; follows settings reloads.
    pub seeds: Rc<RefCell<Vec<SocketAddr>>>,
    /// Names of the headers exchanged with clients and engines.
    pub names: HeaderNames,
    /// Limits and timeouts.
    pub config: GatewayConfig,
    /// Holds the memory for clients' requests and for the responses to them.
    pub clients: OverloadManager,
    /// Length of a usage window; `None` disables usage counting.
    pub usage_window: Option<Duration>,
}

pub(crate) struct Inner {
    pub runtime: CompioRuntime,
    pub options: GatewayOptions,
    pub control: ControlClient<CompioRuntime>,
    pub pool: Pool,
    pub view: RefCell<View>,
    /// Identifies this run of the relay process.
    pub incarnation: Incarnation,
    pub clock: RefCell<GroupClockSamples>,
    pub usage: RefCell<UsageLedger>,
    pub balance: LoadBalancer,
    /// Hedges left, by service.
    pub hedge_budgets: RefCell<BTreeMap<String, HedgeBudget>>,
    pub rejection_lines: RejectionLines,
    pub suspicions: Rc<SuspicionSync<CompioRuntime>>,
    pub termination_checks: TerminationChecks,
    pub metrics: GatewayMetrics,
    /// Random start position (0 to 1) in the weighted round-robin of each route's targets.
    pub offset: f64,
    pub drain: Drain,
    /// The control replica that serves this relay's follow requests in place of the leader.
    pub assigned_replica: AssignedReplica,
    /// A control replica in the relay's zone, if there is one.
    pub nearest_replica: Cell<Option<SocketAddr>>,
    /// Time until which `nearest_replica` is skipped after a request to it failed.
    pub nearest_skipped_until: Cell<Duration>,
}

/// The gateway. Clones share state.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) inner: Rc<Inner>,
}

/// A matched route and the version of the route table that contains it.
#[derive(Clone)]
pub struct ChosenRoute {
    pub(crate) table: Rc<RouteTable>,
    pub(crate) index: usize,
}

impl ChosenRoute {
    /// The matched route.
    pub fn route(&self) -> &Route {
        self.table.route(self.index)
    }
}

impl Gateway {
    /// Creates the gateway and spawns the task that follows the control group.
    pub fn start(runtime: CompioRuntime, control: ControlClient<CompioRuntime>, options: GatewayOptions) -> Self {
        let names = Rc::new(options.names.clone());
        let pool = Pool::with_memory(names, options.config.connect_timeout, options.clients.clone());
        let offset = (runtime.random() % 1_000) as f64 / 1_000.0;
        let last_trial_pause = options.config.last_trial_pause;
        let suspicions = SuspicionSync::start(runtime.clone(), control.clone(), last_trial_pause);
        let inner = Inner {
            runtime: runtime.clone(),
            options,
            control,
            pool,
            view: RefCell::default(),
            incarnation: Incarnation(runtime.random()),
            clock: RefCell::default(),
            usage: RefCell::default(),
            balance: LoadBalancer::default(),
            hedge_budgets: RefCell::default(),
            rejection_lines: RejectionLines::default(),
            suspicions,
            termination_checks: TerminationChecks::default(),
            metrics: GatewayMetrics::default(),
            offset,
            drain: Drain::default(),
            assigned_replica: AssignedReplica::default(),
            nearest_replica: Cell::new(None),
            nearest_skipped_until: Cell::new(Duration::ZERO),
        };
        let gateway = Self { inner: Rc::new(inner) };
        runtime.spawn(crate::follow::follow(gateway.clone()));
        gateway
    }

    /// The relay's monotonic time.
    pub fn now(&self) -> Duration {
        self.inner.runtime.monotonic()
    }

    /// The client for requests to the control group.
    pub fn control(&self) -> &ControlClient<CompioRuntime> {
        &self.inner.control
    }

    /// Names of the headers exchanged with clients and engines.
    pub fn names(&self) -> &HeaderNames {
        &self.inner.options.names
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.inner.metrics
    }

    /// Whether the gateway accepts requests: it has a valid lease and a route table, and is not draining.
    pub fn is_ready(&self) -> bool {
        let view = self.inner.view.borrow();
        !self.is_draining() && view.is_leased(self.now()) && view.table().is_some()
    }

    /// Number of ready engines of a service in the current view.
    pub fn ready_engines(&self, service: &str) -> usize {
        self.inner.view.borrow().ready_engines(service).count()
    }

    /// Whether an instance is ready in the current view.
    pub fn is_engine_ready(&self, instance: &InstanceId) -> bool {
        self.inner.view.borrow().is_ready(instance)
    }

    /// Number of work digests that are suspected of crashing engines.
    pub fn suspected_work_count(&self) -> usize {
        self.inner.suspicions.suspected_count()
    }

    /// Finds the route for a host and path; requires a valid lease.
    pub fn choose_route(&self, host: &str, path: &str) -> Result<ChosenRoute, Refusal> {
        let view = self.inner.view.borrow();
        if !view.is_leased(self.now()) {
            return Err(Refusal::NoLease);
        }
        let table = view.table().ok_or(Refusal::NoLease)?;
        let index = table.find(host, path).ok_or(Refusal::NoRoute)?;
        Ok(ChosenRoute { table, index })
    }

    /// Limits on clients' connections by the current routing document; defaults until there is one.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let view = self.inner.view.borrow();
        view.table().map_or(ConnectionLimits::DEFAULT, |table| connection_limits(&table.document().limits))
    }

    /// Reads the body of a request on a route, up to the size limit of the current routing document and until the
    /// request's deadline or the stop of the gateway.
    pub async fn read_body(&self, route: &Route, request: &ClientRequest, body: RequestBody) -> Result<Bytes, Refusal> {
        let time_left = self.time_left(route, request);
        let reading = body.read_within(self.connection_limits().max_body_bytes, time_left);
        self.until_stopped(reading).await.ok_or(Refusal::Stopping)?.map_err(|error| match error {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Lost | BodyError::Malformed(_) => Refusal::Malformed,
            BodyError::Timeout => Refusal::BodyTimeout,
            BodyError::NoMemory => Refusal::NoMemory,
        })
    }

    /// Forwards a request on its route and returns the response.
    pub async fn serve(&self, chosen: ChosenRoute, request: ClientRequest, body: RequestBody) -> Reply {
        self.inner.metrics.requests.inc();
        let body = match self.read_body(chosen.route(), &request, body).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(&request, refusal),
        };
        match chosen.route().kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.forward(&chosen, &request, body).await,
            RouteKind::Streaming | RouteKind::Rollout => self.forward_stream(&chosen, request, body).await,
        }
    }

    /// Logs and counts a refusal and builds its response.
    pub fn refuse(&self, request: &ClientRequest, refusal: Refusal) -> Reply {
        let counter = if refusal.is_not_executed() { &self.inner.metrics.rejected } else { &self.inner.metrics.failed };
        counter.inc();
        let view = self.inner.view.borrow();
        let lacks_lease = matches!(refusal, Refusal::NoLease);
        let control = if lacks_lease { self.inner.control.search().summary() } else { String::new() };
        spdlog::warn!("request refused", kv: {
            request = request.id.as_str(),
            reason = refusal.reason(),
            status = refusal.status().as_u16(),
            held_ms = self.now().saturating_sub(request.arrived_at).as_millis() as u64,
            routing_version = view.routing_version().unwrap_or_default(),
            view_age_ms = view.age(self.now()).as_millis() as u64,
            control = control.as_str()
        });
        let config = &self.inner.options.config;
        let retry_after = match refusal {
            Refusal::NoLease => config.lease_retry_after,
            Refusal::NoMemory | Refusal::BodyTimeout => config.body_retry_after,
            Refusal::Suspected(remaining) => remaining,
            Refusal::Overloaded(rejection) => rejection.retry_after,
            _ => config.retry_after,
        };
        let mut reply = refusal.reply(retry_after);
        if let Ok(id) = HeaderValue::from_str(&request.id) {
            reply.headers_mut().insert(self.names().request_id.clone(), id);
        }
        reply
    }

    /// Time until the request's deadline.
    pub fn time_left(&self, route: &Route, request: &ClientRequest) -> Duration {
        self.request_deadline(route, request).saturating_sub(self.now())
    }

    /// The request's deadline in monotonic time: the route's timeout, or the client's if that is shorter.
    pub(crate) fn request_deadline(&self, route: &Route, request: &ClientRequest) -> Duration {
        let timeout = Duration::from_millis(route.timeout_ms);
        request.arrived_at + request.deadline.map_or(timeout, |deadline| deadline.min(timeout))
    }
}

/// A document's limits as limits of connections; a timeout of zero is none that a client could meet, and stands for the
/// default.
fn connection_limits(limits: &RequestLimits) -> ConnectionLimits {
    let bytes = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    let timeout = |milliseconds: u64, default| match milliseconds {
        0 => default,
        _ => Duration::from_millis(milliseconds),
    };
    let default = ConnectionLimits::DEFAULT;
    ConnectionLimits {
        max_head_bytes: bytes(limits.max_header_bytes),
        max_body_bytes: bytes(limits.max_body_bytes),
        head_timeout: timeout(limits.header_timeout_ms, default.head_timeout),
        idle_timeout: timeout(limits.idle_timeout_ms, default.idle_timeout),
        ..default
    }
}
