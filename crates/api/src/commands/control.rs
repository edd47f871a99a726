//! Handlers of operators' changes.

use crate::control::ControlApi;
use crate::errors::{body_error_reply, error_reply, not_found, serialized_name};
use crate::queries::control::{RETRY_MILLISECONDS, control_error, entity_tag, object_reply};
use crate::wire::KEY_HEADER;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};
use saddlerelay_http::body::{Reply, json, parse_json};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectValue, ParameterError,
};
use saddlerelay_types::identity::{EngineId, IdempotencyKey, Revision};
use saddlerelay_types::membership::{EngineAvailability, EngineObservation};
use saddlerelay_types::protocol::{Command, CommandOutcome, MembershipCommand, Query, QueryResult};
use serde::Serialize;
use std::time::Duration;

/// Timeout of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Response to an accepted change.
#[derive(Serialize)]
struct AcceptedBody {
    revision: Revision,
}

/// Response to an invalid change, with all errors.
#[derive(Serialize)]
struct InvalidBody {
    errors: Vec<ParameterError>,
}

/// `PUT /admin/v1/templates/ID` and `/admin/v1/tenants/ID`.
pub async fn put_object<P: Runtime, B: Backends>(
    api: &ControlApi<P, B>,
    head: &Parts,
    name: ObjectName,
    body: RequestBody,
) -> Reply {
    let bytes = match body.read().await {
        Ok(bytes) => bytes,
        Err(error) => return body_error_reply(&error),
    };
    let value = match &name {
        ObjectName::Template(_) => parse_json(&bytes).map(ObjectValue::Template),
        ObjectName::Tenant(_) => parse_json(&bytes).map(ObjectValue::Tenant),
    };
    match value {
        Ok(value) => change(api, head, name, Some(value)).await,
        Err(error) => body_error_reply(&error),
    }
}

/// `DELETE /admin/v1/templates/ID` and `/admin/v1/tenants/ID`.
pub async fn delete_object<P: Runtime, B: Backends>(api: &ControlApi<P, B>, head: &Parts, name: ObjectName) -> Reply {
    change(api, head, name, None).await
}

async fn change<P: Runtime, B: Backends>(
    api: &ControlApi<P, B>,
    head: &Parts,
    name: ObjectName,
    value: Option<ObjectValue>,
) -> Reply {
    let expected = match expected_revision(&head.headers) {
        Ok(expected) => expected,
        Err(message) => return error_reply(StatusCode::BAD_REQUEST, "invalid_header", message, 0),
    };
    let sent_key = head.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok());
    // A generated key makes the client's internal retries idempotent when the operator sent none.
    let key = sent_key.map_or_else(|| format!("call-{:016x}", api.runtime.random()), str::to_string);
    let change = ConfigurationChange { name, value, expected, idempotency_key: Some(IdempotencyKey(key)) };
    match api.client.execute(Command::Configuration(change), CHANGE_TIMEOUT).await {
        Ok(CommandOutcome::Configuration(outcome)) => outcome_reply(&outcome),
        Ok(_) => not_found(),
        Err(error) => control_error(&error),
    }
}

/// The revision that the object must have: that of `If-Match: "N"`, or 0 for `If-None-Match`, meaning that it must not exist.
fn expected_revision(headers: &HeaderMap) -> Result<Option<Revision>, String> {
    if headers.contains_key(IF_NONE_MATCH) {
        return Ok(Some(Revision(0)));
    }
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let tag = value.to_str().unwrap_or_default().trim_matches('"');
    let revision = tag.parse().map_err(|_| "`If-Match` is not a revision in quotes".to_string())?;
    Ok(Some(Revision(revision)))
}

fn outcome_reply(outcome: &ConfigurationOutcome) -> Reply {
    match outcome {
        ConfigurationOutcome::Accepted(revision) => {
            let mut reply = json(StatusCode::OK, &AcceptedBody { revision: *revision });
            if let Ok(tag) = HeaderValue::from_str(&entity_tag(*revision)) {
                reply.headers_mut().insert(ETAG, tag);
            }
            reply
        }
        ConfigurationOutcome::RevisionMismatch(current) => object_reply(StatusCode::PRECONDITION_FAILED, current),
        ConfigurationOutcome::Invalid(errors) => {
            json(StatusCode::UNPROCESSABLE_ENTITY, &InvalidBody { errors: errors.clone() })
        }
        ConfigurationOutcome::NotFound(name) => {
            error_reply(StatusCode::NOT_FOUND, "not_found", format!("{name:?} does not exist"), 0)
        }
        ConfigurationOutcome::InUse(tenants) => {
            let names: Vec<String> = tenants.iter().map(ToString::to_string).collect();
            error_reply(StatusCode::CONFLICT, "in_use", format!("used by {}", names.join(", ")), 0)
        }
        ConfigurationOutcome::KeyReused => {
            let message = "the idempotency key belongs to another change";
            error_reply(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message, 0)
        }
    }
}

/// `POST /admin/v1/engines/ID/drain`: drains the engine until it restarts.
pub async fn drain_engine<P: Runtime, B: Backends>(api: &ControlApi<P, B>, id: EngineId) -> Reply {
    let engines = match api.client.query(Query::Engines, CHANGE_TIMEOUT).await {
        Ok(QueryResult::Engines(engines)) => engines,
        Ok(_) => return not_found(),
        Err(error) => return control_error(&error),
    };
    let Some(engine) = engines.into_iter().find(|engine| engine.description.id == id) else {
        return not_found();
    };
    let observation = EngineObservation {
        id,
        incarnation: engine.incarnation,
        availability: EngineAvailability::Leaving,
        weights: engine.weights,
    };
    let command = Command::Membership(MembershipCommand::Observe(vec![observation]));
    match api.client.execute(command, CHANGE_TIMEOUT).await {
        Ok(_) => json(StatusCode::OK, &serialized_name(&EngineAvailability::Leaving)),
        Err(error) => control_error(&error),
    }
}

/// `POST /admin/v1/initialize`: bootstraps a new group with this replica as its only member.
pub async fn initialize<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match api.node.replica().initialize().await {
        Ok(true) => json(StatusCode::OK, &"initialized"),
        Ok(false) => {
            let message = "this replica already belongs to a group";
            error_reply(StatusCode::CONFLICT, "already_initialized", message, 0)
        }
        Err(error) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "storage", error.to_string(), RETRY_MILLISECONDS),
    }
}

/// `POST /admin/v1/dump-log`: writes the log ring to the data folder.
pub fn dump_log<P: Runtime, B: Backends>(api: &ControlApi<P, B>) -> Reply {
    match api.log.as_ref().map(|log| log.write_out()) {
        Some(Ok(path)) => json(StatusCode::OK, &path.display().to_string()),
        Some(Err(error)) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "storage", error.to_string(), 0),
        None => not_found(),
    }
}
