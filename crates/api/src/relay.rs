//! Routes of a relay.

use crate::commands::{callers, trainers};
use crate::errors::not_found;
use crate::queries;
use hyper::{Method, Request};
use saddlerelay_http::body::Reply;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_relay::Relay;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use std::rc::Rc;

/// Serves HTTP on a relay.
pub struct RelayApi<P: Runtime, B: Backends> {
    /// The relay.
    pub relay: Relay<P, B>,
    /// Runtime that provides clock, random numbers and tasks.
    pub runtime: P,
}

impl<P: Runtime, B: Backends> HttpHandler for RelayApi<P, B> {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&head.method, segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => callers::chat(&self, &head, body).await,
            (&Method::POST, ["v1", "completions"]) => callers::completion(&self, &head, body).await,
            (&Method::GET, ["v1", "models"]) => queries::relay::models(&self),
            (&Method::POST, ["v1", "trainers", tenant, "open"]) => trainers::open(&self, &head, tenant, body).await,
            (&Method::POST, ["v1", "trainers", tenant, "steps"]) => {
                trainers::open_step(&self, &head, tenant, body).await
            }
            (&Method::GET, ["v1", "trainers", tenant, "samples"]) => trainers::fetch(&self, &head, tenant).await,
            (&Method::POST, ["v1", "trainers", tenant, "versions"]) => {
                trainers::publish(&self, &head, tenant, body).await
            }
            (&Method::GET, ["healthz"]) => queries::health(),
            (&Method::GET, ["readyz"]) => queries::readiness(self.relay.is_ready()),
            (&Method::GET, ["metrics"]) => queries::relay::metrics(&self),
            _ => not_found(),
        }
    }
}
