//! What is asked of the deployment, and what the whole answer to each request is.

use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{
    BatchTerms, ModelHosting, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use saddlerelay_types::tenancy::TenantAccess;

/// The host of every route.
pub const HOST: &str = "clinic.example";

/// The model that the trainer trains.
pub const MODEL: &str = "notes";

/// The service whose engines run the model.
pub const MODEL_SERVICE: &str = "llm";

/// The two services between which a route moves.
pub const WEB_SERVICES: [&str; 2] = ["web-a", "web-b"];

/// Requests that may run again.
pub const REPEATABLE: &str = "/pages/";

/// Requests that run at most once.
pub const ONCE: &str = "/once/";

/// Requests whose service changes with the routing document.
pub const MOVING: &str = "/moving/";

/// Streams that may go on at another engine.
pub const STREAMS: &str = "/talk/";

/// Batch jobs and their items.
pub const ROLLOUTS: &str = "/rollouts/";

/// Calls for the scores of items' texts; they go by the route of [`REPEATABLE`].
pub const SCORES: &str = "/pages/scores/";

/// The identifier of the call for an item's score.
pub fn score_request(item: &str) -> String {
    format!("{item}-score")
}

/// The tenant of every client and trainer.
pub const TENANT: &str = "clinic";

/// Its key.
pub const KEY: &str = "key-of-the-clinic";

/// A key that no tenant has.
pub const UNKNOWN_KEY: &str = "key-of-nobody";

/// Requests with an unknown key have identifiers that begin so.
pub const STRANGER: &str = "stranger-";

/// A body that begins so ends the engine that begins to run it; a number follows, which tells kinds of such work apart.
pub const CRASHES: &str = "crashes its engine ";

/// The kind of such work that a body is, if it is.
pub fn crashing_kind(body: &[u8]) -> Option<u32> {
    std::str::from_utf8(body).ok()?.strip_prefix(CRASHES)?.parse().ok()
}

/// The longest time that a routed request may be held, in milliseconds.
pub const TIMEOUT_MS: u64 = 2_000;

/// Attempts of an item, and of a request.
pub const MOST_ATTEMPTS: u32 = 3;

/// An item may be given up so long after its job was sent, in milliseconds; longer than any soak keeps a job open.
pub const GIVE_UP_AFTER_MS: u64 = 120_000;

/// Requests that one engine runs at once.
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
        max_attempts: MOST_ATTEMPTS,
        resumable: false,
        public: false,
        batch: BatchTerms::default(),
    }
}

fn service(name: &str, hosting: Option<ModelHosting>) -> Service {
    Service { name: name.to_string(), health_path: "/health".to_string(), max_connections: 200, hosting, scaling: None }
}

/// What is asked of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demands {
    /// Whatever the newest build can do.
    All,
    /// What all builds can do: no tenants with keys, and no work that ends its engines.
    Common,
}

/// A routing document whose moving route goes to `moving_to`, with `idle` routes that nobody asks for.
pub fn document(demands: Demands, version: u64, moving_to: &str, idle: usize) -> RoutingDocument {
    let batch = BatchTerms { give_up_after_ms: GIVE_UP_AFTER_MS, due_after_ms: 5_000, single_version: false };
    let mut routes = vec![
        route(REPEATABLE, RouteKind::Idempotent, WEB_SERVICES[0]),
        route(ONCE, RouteKind::NonIdempotent, WEB_SERVICES[0]),
        route(MOVING, RouteKind::Idempotent, moving_to),
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
    let tenants = (demands == Demands::All).then(|| vec![tenant]);
    let services =
        vec![service(WEB_SERVICES[0], None), service(WEB_SERVICES[1], None), service(MODEL_SERVICE, Some(hosting))];
    RoutingDocument { version, routes, services, limits, tenants, source: Vec::new() }
}

/// The whole answer to a request.
pub fn answer(path: &str, request: &str, body: &[u8]) -> String {
    format!("{path} of {request} with {}", String::from_utf8_lossy(body))
}

/// The data of one event of a stream; names the version that made it.
pub fn event_data(path: &str, number: u32, version: u64) -> String {
    format!("{path} {number} v{version}")
}

/// Reads the number and the version back from an event's data; `None` if it is not the path's own.
pub fn read_event_data(data: &str, path: &str) -> Option<(u32, u64)> {
    let rest = data.strip_prefix(path)?.strip_prefix(' ')?;
    let (number, version) = rest.split_once(" v")?;
    Some((number.parse().ok()?, version.parse().ok()?))
}
