//! Handlers of reads on a relay.

use crate::queries::readiness;
use crate::relay::RelayApi;
use crate::wire::{ModelEntry, ModelList};
use hyper::StatusCode;
use saddlerelay_http::body::{Reply, full_reply, json};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::metrics::{CONTENT_TYPE, MetricSet};

/// `GET /v1/models`: the models that tenants use; 503 while the relay is not ready.
pub fn models<P: Runtime, B: Backends>(api: &RelayApi<P, B>) -> Reply {
    if !api.relay.is_ready() {
        return readiness(false);
    }
    let entry = |id: String| ModelEntry { id, object: "model", created: 0, owned_by: "saddlerelay" };
    let data = api.relay.models().into_iter().map(|model| entry(model.to_string())).collect();
    json(StatusCode::OK, &ModelList { object: "list", data })
}

/// `GET /metrics`.
pub fn metrics<P: Runtime, B: Backends>(api: &RelayApi<P, B>) -> Reply {
    let counters = api.relay.counters();
    let text = MetricSet::new()
        .counter("requests", "Callers' requests taken", counters.requests)
        .counter("answered", "Whole answers given", counters.answered)
        .counter("failed", "Requests refused or failed", counters.failed)
        .counter("retries", "Attempts beyond a request's first", counters.retries)
        .counter("samples", "Samples finished", counters.samples)
        .counter("tokens", "Tokens received from engines", counters.tokens)
        .counter("fenced", "Times declared lost", counters.fenced)
        .gauge("in_progress", "Requests and samples in progress", api.relay.in_progress() as i64)
        .gauge("ready", "1 while the relay takes new requests", i64::from(api.relay.is_ready()))
        .gauge("configuration_revision", "Configuration revision acted on", api.relay.revision().0 as i64)
        .traffic(api.runtime.traffic())
        .encode();
    full_reply(StatusCode::OK, CONTENT_TYPE, text)
}
