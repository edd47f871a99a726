//! Routes and requests of the load, and the expected response to each request.

use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{
    BatchSettings, ModelHosting, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use saddlerelay_types::tenancy::TenantAccess;

/// Host of all routes.
pub const HOST: &str = "clinic.example";

/// Model that is trained.
pub const MODEL: &str = "notes";

/// Service whose engines run the model.
pub const MODEL_SERVICE: &str = "llm";

/// Services between which the [`REROUTED`] route alternates.
pub const WEB_SERVICES: [&str; 2] = ["web-a", "web-b"];

/// Path prefix of idempotent requests.
pub const IDEMPOTENT: &str = "/pages/";

/// Path prefix of non-idempotent requests.
pub const NON_IDEMPOTENT: &str = "/once/";

/// Path prefix of requests whose service changes with the routing document.
pub const REROUTED: &str = "/moving/";

/// Path prefix of streams that can be resumed at another engine.
pub const STREAMS: &str = "/talk/";

/// Path prefix of batch jobs and their items.
pub const ROLLOUTS: &str = "/rollouts/";

/// Path prefix of scoring requests; they match the route of [`IDEMPOTENT`].
pub const SCORES: &str = "/pages/scores/";

/// Id of an item's scoring request.
pub fn score_request(item: &str) -> String {
    format!("{item}-score")
}

/// Tenant of all clients and trainers.
pub const TENANT: &str = "clinic";

/// The tenant's key.
pub const KEY: &str = "key-of-the-clinic";

/// A key that belongs to no tenant.
pub const UNKNOWN_KEY: &str = "key-of-nobody";

/// Id prefix of requests with an unknown key.
pub const UNKNOWN_KEY_ID_PREFIX: &str = "stranger-";

/// Body prefix of work that crashes its engine; followed by the number of its kind.
pub const CRASH_BODY_PREFIX: &str = "crashes its engine ";

/// First kind of crashing work of the trainer's items; the clients' kinds count from 0.
pub const FIRST_CRASHING_ITEM: u32 = 1_000_000;

/// Whether a kind of crashing work is an item of the trainer.
pub fn is_crashing_item(kind: u32) -> bool {
    kind >= FIRST_CRASHING_ITEM
}

/// The kind of crashing work of a body; `None` if it is not crashing work.
pub fn crashing_kind(body: &[u8]) -> Option<u32> {
    std::str::from_utf8(body).ok()?.strip_prefix(CRASH_BODY_PREFIX)?.parse().ok()
}

/// Timeout of every route, in milliseconds.
pub const TIMEOUT_MS: u64 = 2_000;

/// Maximum number of attempts of a request or item.
pub const MAX_ATTEMPTS: u32 = 3;

/// Time after a job's submission from which items may be aborted, in milliseconds; longer than a soak keeps a job
/// open.
pub const GIVE_UP_AFTER_MS: u64 = 120_000;

/// Number of concurrent requests per engine.
pub const SLOTS: u32 = 6;

fn route(prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').to_string(),
        host: HOST.to_string(),
        path_prefix: prefix.to_string(),
        kind,
        timeout_ms: TIMEOUT_MS,
        objective_ms: 200,
        priority: 1,
        targets: vec![WeightedTarget { service: service.to_string(), weight: 1 }],
        max_attempts: MAX_ATTEMPTS,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    }
}

fn service(name: &str, hosting: Option<ModelHosting>) -> Service {
    Service { name: name.to_string(), health_path: "/health".to_string(), max_connections: 200, hosting, scaling: None }
}

/// Product features that the load uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Features {
    /// All features of the newest build.
    All,
    /// As `All`, and the route of batch jobs allows only one weight version per text.
    SingleVersion,
    /// Features that all builds support: no tenant keys and no crashing work.
    Common,
}

/// Creates a routing document whose [`REROUTED`] route targets `rerouted_to`, with `idle` unused routes.
pub fn document(features: Features, version: u64, rerouted_to: &str, idle: usize) -> RoutingDocument {
    let single_version = features == Features::SingleVersion;
    let batch = BatchSettings { give_up_after_ms: GIVE_UP_AFTER_MS, due_after_ms: 5_000, single_version };
    let mut routes = vec![
        route(IDEMPOTENT, RouteKind::Idempotent, WEB_SERVICES[0]),
        route(NON_IDEMPOTENT, RouteKind::NonIdempotent, WEB_SERVICES[0]),
        route(REROUTED, RouteKind::Idempotent, rerouted_to),
        Route { resumable: true, ..route(STREAMS, RouteKind::Streaming, WEB_SERVICES[1]) },
        Route { resumable: true, batch, ..route(ROLLOUTS, RouteKind::Rollout, MODEL_SERVICE) },
    ];
    let idle_route = |number| route(&format!("/idle-{number}/"), RouteKind::Idempotent, WEB_SERVICES[1]);
    routes.extend((0..idle).map(idle_route));
    let hosting =
        ModelHosting { slots: SLOTS, token_capacity: 50_000, tokens_per_event: 10, models: vec![MODEL.to_string()] };
    let limits = RequestLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_000_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let keys = vec![SecretDigest::of(KEY.as_bytes())];
    let tenant = TenantAccess { name: TenantId::new(TENANT), keys, priority: None };
    let tenants = (features != Features::Common).then(|| vec![tenant]);
    let services =
        vec![service(WEB_SERVICES[0], None), service(WEB_SERVICES[1], None), service(MODEL_SERVICE, Some(hosting))];
    RoutingDocument { version, routes, services, limits, tenants, source: Vec::new() }
}

/// The complete response body of a request.
pub fn expected_response(path: &str, request: &str, body: &[u8]) -> String {
    format!("{path} of {request} with {}", String::from_utf8_lossy(body))
}

/// The data of a stream event, including the model version that generated it.
pub fn event_data(path: &str, number: u32, version: u64) -> String {
    format!("{path} {number} v{version}")
}

/// Parses an event's number and model version; `None` if it belongs to another path.
pub fn parse_event_data(data: &str, path: &str) -> Option<(u32, u64)> {
    let rest = data.strip_prefix(path)?.strip_prefix(' ')?;
    let (number, version) = rest.split_once(" v")?;
    Some((number.parse().ok()?, version.parse().ok()?))
}
