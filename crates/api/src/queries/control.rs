//! Handlers of operators' reads.

use crate::control::ControlApi;
use crate::errors::{error_reply, not_found};
use hyper::StatusCode;
use hyper::header::{ETAG, HeaderValue};
use saddlerelay_control_client::ControlError;
use saddlerelay_http::body::{Reply, full_reply, json};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::metrics::{CONTENT_TYPE, MetricSet};
use saddlerelay_types::configuration::{ObjectName, ObjectState};
use saddlerelay_types::identity::{Revision, TenantId};
use saddlerelay_types::membership::RelayView;
use saddlerelay_types::protocol::{Query, QueryResult};
use serde::Serialize;
use std::time::Duration;

/// Timeout of a read.
const QUERY_TIMEOUT: Duration = Duration::from_secs(4);

/// Retry delay, in milliseconds, while the control group is unavailable.
pub const RETRY_MILLISECONDS: u64 = 300;

/// All configuration objects, with the configuration's revision.
#[derive(Serialize)]
struct ObjectsBody {
    revision: Revision,
    objects: Vec<ObjectState>,
}

/// All relays, with the configuration's revision and the oldest revision in use.
#[derive(Serialize)]
struct RelaysBody {
    revision: Revision,
    revision_in_force: Revision,
    relays: Vec<RelayView>,
}

/// The error response for a failed call to the control group.
pub fn control_error(error: &ControlError) -> Reply {
    match error {
        ControlError::Unavailable => {
            let message = "no leader answered in time; a change may or may not be accepted, send it again with its key";
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "undecided", message, RETRY_MILLISECONDS)
        }
        ControlError::UnsupportedByPeer => {
            let message = "older builds are still being replaced, nothing was changed";
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "refused", message, RETRY_MILLISECONDS)
        }
        ControlError::Refused(reason) => {
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "refused", reason.clone(), RETRY_MILLISECONDS)
        }
    }
}

/// The entity tag of a revision.
pub fn entity_tag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// A response with an object, and its revision as entity tag.
pub fn object_reply(status: StatusCode, state: &ObjectState) -> Reply {
    let mut reply = json(status, state);
    if let Ok(tag) = HeaderValue::from_str(&entity_tag(state.revision)) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}

async fn query<P: Runtime, B: Backends>(api: &ControlApi<P, B>, query: Query) -> Result<QueryResult, Reply> {
    api.client.query(query, QUERY_TIMEOUT).await.map_err(|error| control_error(&error))
}

/// `GET /admin/v1/templates/ID` and `/admin/v1/tenants/ID`.
pub async fn object<P: Runtime, B: Backends>(api: &ControlApi<P, B>, name: ObjectName) -> Reply {
    match query(api, Query::Object(name)).await {
        Ok(QueryResult::Object(Some(state))) if state.value.is_some() => object_reply(StatusCode::OK, &state),
        Ok(_) => not_found(),
        Err(reply) => reply,
    }
}

/// `GET /admin/v1/configuration`.
pub async fn objects<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match query(api, Query::Objects).await {
        Ok(QueryResult::Objects(revision, objects)) => json(StatusCode::OK, &ObjectsBody { revision, objects }),
        Ok(_) => not_found(),
        Err(reply) => reply,
    }
}

/// `GET /admin/v1/engines`.
pub async fn engines<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match query(api, Query::Engines).await {
        Ok(QueryResult::Engines(engines)) => json(StatusCode::OK, &engines),
        Ok(_) => not_found(),
        Err(reply) => reply,
    }
}

/// `GET /admin/v1/relays`.
pub async fn relays<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match query(api, Query::Relays).await {
        Ok(QueryResult::Relays(revision, relays)) => {
            let oldest = relays.iter().map(|relay| relay.revision).min();
            let body = RelaysBody { revision, revision_in_force: oldest.unwrap_or(revision), relays };
            json(StatusCode::OK, &body)
        }
        Ok(_) => not_found(),
        Err(reply) => reply,
    }
}

/// `GET /admin/v1/group`.
pub async fn group<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match query(api, Query::Group).await {
        Ok(QueryResult::Group(group)) => json(StatusCode::OK, &group),
        Ok(_) => not_found(),
        Err(reply) => reply,
    }
}

/// `GET /admin/v1/trainers/TENANT`.
pub async fn trainer<P: Runtime, B: Backends>(api: &ControlApi<P, B>, tenant: TenantId) -> Reply {
    match query(api, Query::Trainer(tenant)).await {
        Ok(QueryResult::Trainer(Some(trainer))) => json(StatusCode::OK, &trainer),
        Ok(_) => error_reply(StatusCode::NOT_FOUND, "not_open", "the tenant's trainer has never opened", 0),
        Err(reply) => reply,
    }
}

/// `GET /metrics`.
pub fn metrics<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    let replica = api.node.replica();
    let view = replica.view();
    let committed = view.as_ref().map_or(0, |view| view.committed);
    let tolerance = replica.loss_tolerance();
    let zones = tolerance.map_or(-1, |tolerance| tolerance.zones as i64);
    let disks = tolerance.map_or(-1, |tolerance| tolerance.disks as i64);
    let text = MetricSet::new()
        .gauge("ready", "1 while the replica takes part in its group", i64::from(replica.is_ready()))
        .gauge("leader", "1 while the replica leads and holds the lease", i64::from(replica.leading_term().is_some()))
        .gauge("committed", "Last committed log index, on the leader", committed as i64)
        .gauge("tolerated_zone_losses", "Zones that may be lost now, on the leader; -1 elsewhere", zones)
        .gauge("tolerated_disk_losses", "Voters' disks that may be lost now, on the leader; -1 elsewhere", disks)
        .traffic(api.runtime.traffic())
        .encode();
    full_reply(StatusCode::OK, CONTENT_TYPE, text)
}
