//! A relay's gateway and what its parts share.

use crate::config::GatewayConfig;
use crate::follower::NamedFollower;
use crate::metrics::GatewayMetrics;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use crate::table::RouteTable;
use crate::usage::{FollowedClock, UsageLedger};
use crate::view::View;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::suspicions::SuspicionKeeper;
use saddlerelay_http::body::{BodyError, Reply, read_limited};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::listening::EndedChecks;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::{Route, RouteKind};
use saddlerelay_upstream::{Balance, HeaderNames, Pool};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How a gateway is started.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The relay's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where control replicas may be found, whatever the group tells; changes with the settings.
    pub seeds: Rc<RefCell<Vec<SocketAddr>>>,
    /// The headers that clients and engines use.
    pub names: HeaderNames,
    /// Limits.
    pub config: GatewayConfig,
    /// How long the windows are for which tenants' requests are counted; `None` if they are not.
    pub usage_window: Option<Duration>,
}

pub(crate) struct Inner {
    pub runtime: CompioRuntime,
    pub options: GatewayOptions,
    pub control: ControlClient<CompioRuntime>,
    pub pool: Pool,
    pub view: RefCell<View>,
    /// This start of the relay.
    pub incarnation: Incarnation,
    pub clock: RefCell<FollowedClock>,
    pub usage: RefCell<UsageLedger>,
    pub balance: Balance,
    pub suspicions: Rc<SuspicionKeeper<CompioRuntime>>,
    pub ended_checks: EndedChecks,
    pub metrics: GatewayMetrics,
    /// Where in each route's turn of targets this relay begins.
    pub offset: f64,
    pub draining: Cell<bool>,
    /// The replica that this relay asks for news instead of the leader.
    pub follower: NamedFollower,
    /// A control replica in the relay's zone.
    pub nearest_replica: Cell<Option<SocketAddr>>,
    /// Until when that one is not asked, because it did not answer.
    pub nearest_passed_over_until: Cell<Duration>,
}

/// The gateway. Clones are the same one.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) inner: Rc<Inner>,
}

/// A route, and the table that it stands in.
#[derive(Clone)]
pub struct ChosenRoute {
    pub(crate) table: Rc<RouteTable>,
    pub(crate) index: usize,
}

impl ChosenRoute {
    /// The route.
    pub fn route(&self) -> &Route {
        self.table.route(self.index)
    }
}

impl Gateway {
    /// Starts following the control group.
    pub fn start(runtime: CompioRuntime, control: ControlClient<CompioRuntime>, options: GatewayOptions) -> Self {
        let pool = Pool::new(Rc::new(options.names.clone()), options.config.connect_limit);
        let offset = (runtime.random() % 1_000) as f64 / 1_000.0;
        let pause = options.config.last_trial_pause;
        let suspicions = SuspicionKeeper::start(runtime.clone(), control.clone(), pause);
        let inner = Inner {
            runtime: runtime.clone(),
            options,
            control,
            pool,
            view: RefCell::default(),
            incarnation: Incarnation(runtime.random()),
            clock: RefCell::default(),
            usage: RefCell::default(),
            balance: Balance::default(),
            suspicions,
            ended_checks: EndedChecks::default(),
            metrics: GatewayMetrics::default(),
            offset,
            draining: Cell::new(false),
            follower: NamedFollower::default(),
            nearest_replica: Cell::new(None),
            nearest_passed_over_until: Cell::new(Duration::ZERO),
        };
        let gateway = Self { inner: Rc::new(inner) };
        runtime.spawn(crate::follow::follow(gateway.clone()));
        gateway
    }

    /// The time by the relay's clock.
    pub fn now(&self) -> Duration {
        self.inner.runtime.monotonic()
    }

    /// The control group's client.
    pub fn control(&self) -> &ControlClient<CompioRuntime> {
        &self.inner.control
    }

    /// The header names in use.
    pub fn names(&self) -> &HeaderNames {
        &self.inner.options.names
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.inner.metrics
    }

    /// Whether clients should be sent here.
    pub fn is_ready(&self) -> bool {
        let view = self.inner.view.borrow();
        !self.inner.draining.get() && view.is_leased(self.now()) && view.table().is_some()
    }

    /// How many engines of a service may be given new work, as far as this relay knows.
    pub fn ready_engines(&self, service: &str) -> usize {
        self.inner.view.borrow().ready_engines(service).count()
    }

    /// Whether this relay may send to an instance, as far as it knows.
    pub fn sends_to(&self, instance: &InstanceId) -> bool {
        self.inner.view.borrow().is_ready(instance)
    }

    /// How many kinds of work this relay suspects of ending engines.
    pub fn suspected_work(&self) -> usize {
        self.inner.suspicions.suspected()
    }

    /// From now on every answer tells its client to go elsewhere.
    pub fn drain(&self) {
        self.inner.draining.set(true);
    }

    /// Whether answers tell clients to go elsewhere.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.get()
    }

    /// The route for this host and path.
    pub fn choose_route(&self, host: &str, path: &str) -> Result<ChosenRoute, Refusal> {
        let view = self.inner.view.borrow();
        if !view.is_leased(self.now()) {
            return Err(Refusal::NoLease);
        }
        let table = view.table().ok_or(Refusal::NoLease)?;
        let index = table.find(host, path).ok_or(Refusal::NoRoute)?;
        Ok(ChosenRoute { table, index })
    }

    /// Reads a request's body within the limits in force.
    pub async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let table = self.inner.view.borrow().table();
        let default = self.inner.options.config.default_body_bytes;
        let limit = table.map_or(default, |table| table.document().limits.max_body_bytes);
        let read = read_limited(body, usize::try_from(limit).unwrap_or(usize::MAX)).await;
        read.map_err(|error| match error {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Lost | BodyError::Malformed(_) => Refusal::Malformed,
        })
    }

    /// Serves a request on its route.
    pub async fn serve_on(&self, chosen: ChosenRoute, request: ClientRequest, body: Incoming) -> Reply {
        self.inner.metrics.requests.inc();
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(&request, refusal),
        };
        match chosen.route().kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.forward(&chosen, &request, body).await,
            RouteKind::Streaming | RouteKind::Rollout => self.forward_stream(&chosen, request, body).await,
        }
    }

    /// A final answer of the gateway's own.
    pub fn refuse(&self, request: &ClientRequest, refusal: Refusal) -> Reply {
        let not_run = refusal.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
        let counter = if not_run { &self.inner.metrics.refused } else { &self.inner.metrics.failed };
        counter.inc();
        let view = self.inner.view.borrow();
        let is_unled = matches!(refusal, Refusal::NoLease);
        let control = if is_unled { self.inner.control.search().summary() } else { String::new() };
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
        let wait = match refusal {
            Refusal::NoLease => config.lease_retry_after,
            Refusal::Suspected(left) => left,
            _ => config.retry_after,
        };
        let mut reply = refusal.reply(wait);
        if let Ok(id) = HeaderValue::from_str(&request.id) {
            reply.headers_mut().insert(self.names().request_id.clone(), id);
        }
        reply
    }

    /// The moment at which a request on `route` is over.
    pub(crate) fn limit_of(&self, route: &Route, request: &ClientRequest) -> Duration {
        let timeout = Duration::from_millis(route.timeout_ms);
        request.arrived_at + request.deadline.map_or(timeout, |deadline| deadline.min(timeout))
    }
}
