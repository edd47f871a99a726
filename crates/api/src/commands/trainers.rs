//! Handlers of trainers' calls.

use crate::commands::callers::check_credentials;
use crate::errors::{Rejection, body_error_reply, error_reply, serialized_name};
use crate::relay::RelayApi;
use crate::wire::{OpenStepBody, OpenTrainerBody, PublishBody};
use hyper::StatusCode;
use hyper::http::request::Parts;
use saddlerelay_http::body::{Reply, json, parse_json};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_relay::commands::trainers::TrainerError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Position, TenantId};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Retry delay, in milliseconds, after a call whose outcome is unknown.
const RETRY_MILLISECONDS: u64 = 200;

/// Maximum number of samples in a response if the request sets none.
const DEFAULT_FETCH_LIMIT: u32 = 64;

/// Returns the tenant of the path if the credentials belong to it; otherwise the error response.
fn authorize<P: Runtime, B: Backends>(api: &RelayApi<P, B>, head: &Parts, tenant: &str) -> Result<TenantId, Rejection> {
    let credentials = check_credentials(api, &head.headers)?;
    if credentials.tenant.as_str() != tenant {
        let message = "the credentials are another tenant's";
        return Err(Box::new(error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message, 0)));
    }
    Ok(credentials.tenant)
}

async fn read<T: DeserializeOwned>(body: RequestBody) -> Result<T, Rejection> {
    let bytes = body.read().await.map_err(|error| Box::new(body_error_reply(&error)))?;
    parse_json(&bytes).map_err(|error| Box::new(body_error_reply(&error)))
}

fn trainer_reply<T: Serialize>(outcome: Result<T, TrainerError>) -> Reply {
    match outcome {
        Ok(value) => json(StatusCode::OK, &value),
        Err(TrainerError::Refused(refusal)) => {
            let code = serialized_name(&refusal);
            error_reply(StatusCode::CONFLICT, &code, format!("refused: {code}"), 0)
        }
        Err(TrainerError::Unavailable) => {
            let message = "not decided in time; send the same call again";
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "undecided", message, RETRY_MILLISECONDS)
        }
    }
}

/// `POST /v1/trainers/TENANT/open`.
pub async fn open<P: Runtime, B: Backends>(
    api: &RelayApi<P, B>,
    head: &Parts,
    tenant: &str,
    body: RequestBody,
) -> Reply {
    let reply = async {
        let tenant = authorize(api, head, tenant)?;
        let body: OpenTrainerBody = read(body).await?;
        Ok(trainer_reply(api.relay.open_trainer(tenant, body.incarnation).await))
    };
    reply.await.unwrap_or_else(|rejection: Rejection| *rejection)
}

/// `POST /v1/trainers/TENANT/steps`.
pub async fn open_step<P: Runtime, B: Backends>(
    api: &RelayApi<P, B>,
    head: &Parts,
    tenant: &str,
    body: RequestBody,
) -> Reply {
    let reply = async {
        let tenant = authorize(api, head, tenant)?;
        let body: OpenStepBody = read(body).await?;
        Ok(trainer_reply(api.relay.open_step(tenant, body.incarnation, body.request).await))
    };
    reply.await.unwrap_or_else(|rejection: Rejection| *rejection)
}

/// `POST /v1/trainers/TENANT/versions`.
pub async fn publish<P: Runtime, B: Backends>(
    api: &RelayApi<P, B>,
    head: &Parts,
    tenant: &str,
    body: RequestBody,
) -> Reply {
    let reply = async {
        let tenant = authorize(api, head, tenant)?;
        let body: PublishBody = read(body).await?;
        Ok(trainer_reply(api.relay.publish(tenant, body.incarnation, body.version, body.cursor).await))
    };
    reply.await.unwrap_or_else(|rejection: Rejection| *rejection)
}

/// `GET /v1/trainers/TENANT/samples?incarnation=I&cursor=C&limit=L`.
pub async fn fetch<P: Runtime, B: Backends>(api: &RelayApi<P, B>, head: &Parts, tenant: &str) -> Reply {
    let reply = async {
        let tenant = authorize(api, head, tenant)?;
        let query = head.uri.query().unwrap_or_default();
        let incarnation = Incarnation(required(query, "incarnation")?);
        let cursor = Position(required(query, "cursor")?);
        let limit = parameter(query, "limit")?.map_or(DEFAULT_FETCH_LIMIT, |limit| limit as u32);
        Ok(trainer_reply(api.relay.fetch(tenant, incarnation, cursor, limit).await))
    };
    reply.await.unwrap_or_else(|rejection: Rejection| *rejection)
}

fn parameter(query: &str, name: &str) -> Result<Option<u64>, Rejection> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    let message = format!("parameter `{name}` is not a whole number");
    value.parse().map(Some).map_err(|_| Box::new(error_reply(StatusCode::BAD_REQUEST, "invalid_parameter", message, 0)))
}

fn required(query: &str, name: &str) -> Result<u64, Rejection> {
    let message = format!("parameter `{name}` is missing");
    parameter(query, name)?
        .ok_or_else(|| Box::new(error_reply(StatusCode::BAD_REQUEST, "missing_parameter", message, 0)))
}
