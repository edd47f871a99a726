//! HTTP client for the interfaces of the service.

use crate::access::{Access, CallerResponse, TrainerCallError};
use hyper::{Method, StatusCode};
use saddlerelay_http::body::parse_json;
use saddlerelay_http::client::{BufferedResponse, Connection, HttpError, call};
use saddlerelay_http::sse::{DONE, EventReader};
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectState, ObjectValue,
};
use saddlerelay_types::identity::{Incarnation, ModelName, Position, Revision, TenantId, WeightVersion};
use saddlerelay_types::protocol::TrainerRefusal;
use saddlerelay_types::request::{
    CallerRequest, ExecutionOutcome, FailureCode, FinishReason, Generation, Repeatability, RequestFailure, VersionSpan,
};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// HTTP client for the relays and control replicas of a deployment.
#[derive(Clone)]
pub struct HttpAccess {
    relays: Rc<Vec<SocketAddr>>,
    control: Rc<Vec<SocketAddr>>,
    operator_token: String,
    next_control: Rc<Cell<usize>>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<FinishReason>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    weight_versions: Vec<VersionSpan>,
    error: Option<ErrorDetail>,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    code: String,
    execution: Option<ExecutionOutcome>,
    #[serde(default)]
    retry_after_ms: u64,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: ModelName,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct Accepted {
    revision: Revision,
}

impl HttpAccess {
    /// Creates a client for `relays` and for the administration API on `control`.
    pub fn new(relays: Vec<SocketAddr>, control: Vec<SocketAddr>, operator_token: String) -> Self {
        Self { relays: Rc::new(relays), control: Rc::new(control), operator_token, next_control: Rc::default() }
    }

    async fn trainer_call<T: DeserializeOwned>(
        &self,
        relay: usize,
        tenant: &TenantId,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, TrainerCallError> {
        let path = format!("/v1/trainers/{tenant}/{path}");
        let authorization = format!("Bearer {tenant}:trainer:");
        let headers = [("authorization", authorization.as_str())];
        let response = call(self.relays[relay], method, &path, &headers, body).await;
        let response = response.map_err(|_| TrainerCallError::Retry)?;
        if response.status.is_success() {
            return parse_json(&response.body).map_err(|_| TrainerCallError::Retry);
        }
        match trainer_refusal(&response) {
            Some(refusal) => Err(TrainerCallError::Refused(refusal)),
            None => Err(TrainerCallError::Retry),
        }
    }

    async fn read_stream(&self, response: hyper::Response<hyper::body::Incoming>, sent_at: Instant) -> CallerResponse {
        let mut reader = EventReader::new(response.into_body());
        let mut generation = Generation::empty();
        let mut finish = None;
        let mut first_token_after = None;
        while let Some(data) = reader.next().await {
            if data == DONE {
                return match finish {
                    Some(finish) => {
                        generation.finish = finish;
                        CallerResponse::Complete { generation, first_token_after }
                    }
                    None => CallerResponse::Lost,
                };
            }
            let Ok(event) = serde_json::from_str::<Event>(&data) else {
                return CallerResponse::Lost;
            };
            if let Some(error) = event.error {
                return CallerResponse::Failed(failure(error));
            }
            first_token_after = first_token_after.or_else(|| Some(sent_at.elapsed()));
            for choice in event.choices {
                generation.text.push_str(&choice.text);
                finish = finish.or(choice.finish_reason);
            }
            for span in event.weight_versions {
                saddlerelay_types::request::extend_spans(&mut generation.versions, span.version, span.tokens);
            }
        }
        CallerResponse::Lost
    }
}

fn failure(error: ErrorDetail) -> RequestFailure {
    let code = serde_json::from_value(json!(error.code)).unwrap_or(FailureCode::InvalidRequest);
    let outcome = error.execution.unwrap_or(ExecutionOutcome::Unknown);
    RequestFailure::new(outcome, code, error.message, error.retry_after_ms)
}

fn trainer_refusal(response: &BufferedResponse) -> Option<TrainerRefusal> {
    let body: ErrorBody = parse_json(&response.body).ok()?;
    serde_json::from_value(json!(body.error.code)).ok()
}

impl Access for HttpAccess {
    fn relays(&self) -> usize {
        self.relays.len()
    }

    async fn send_request(&self, relay: usize, request: &CallerRequest) -> CallerResponse {
        let sent_at = Instant::now();
        let mut connection = match Connection::open(self.relays[relay]).await {
            Ok(connection) => connection,
            Err(_) => return CallerResponse::NotSent,
        };
        let authorization = format!("Bearer {}:{}:", request.tenant, request.caller);
        let deadline = request.deadline_milliseconds.to_string();
        let mut headers = vec![("authorization", authorization.as_str()), ("saddlerelay-deadline-ms", &deadline)];
        let expires_at = request.key.as_ref().map(|key| key.expires_at.to_string()).unwrap_or_default();
        if let Some(key) = &request.key {
            headers.push(("idempotency-key", key.key.as_str()));
            headers.push(("idempotency-key-expires", &expires_at));
        }
        if request.repeatability == Repeatability::NotRepeatable {
            headers.push(("saddlerelay-not-repeatable", "true"));
        }
        let body = json!({
            "model": request.model, "prompt": request.prompt, "max_tokens": request.max_tokens,
            "seed": request.seed, "stream": true,
        });
        match connection.send(Method::POST, "/v1/completions", &headers, body.to_string()).await {
            Ok(response) if response.status().is_success() => self.read_stream(response, sent_at).await,
            Ok(response) => {
                let body = saddlerelay_http::body::read_body(response.into_body()).await.unwrap_or_default();
                match parse_json::<ErrorBody>(&body) {
                    Ok(body) => CallerResponse::Failed(failure(body.error)),
                    Err(_) => CallerResponse::Lost,
                }
            }
            Err(HttpError::NotSent(_)) => CallerResponse::NotSent,
            Err(HttpError::Lost(_)) => CallerResponse::Lost,
        }
    }

    async fn models(&self, relay: usize) -> Option<Vec<ModelName>> {
        let response = call(self.relays[relay], Method::GET, "/v1/models", &[], Vec::new()).await.ok()?;
        if !response.status.is_success() {
            return None;
        }
        let list: ModelList = parse_json(&response.body).ok()?;
        Some(list.data.into_iter().map(|entry| entry.id).collect())
    }

    async fn open_trainer(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
    ) -> Result<TrainerState, TrainerCallError> {
        let body = json!({ "incarnation": incarnation }).to_string().into_bytes();
        self.trainer_call(relay, tenant, Method::POST, "open", body).await
    }

    async fn open_step(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        request: &StepRequest,
    ) -> Result<TrainerState, TrainerCallError> {
        let body = json!({
            "incarnation": incarnation, "step": request.step, "prompts": request.prompts,
            "group_size": request.group_size, "max_tokens": request.max_tokens,
        });
        self.trainer_call(relay, tenant, Method::POST, "steps", body.to_string().into_bytes()).await
    }

    async fn fetch(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerCallError> {
        let path = format!("samples?incarnation={incarnation}&cursor={cursor}&limit={limit}");
        self.trainer_call(relay, tenant, Method::GET, &path, Vec::new()).await
    }

    async fn publish(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        version: WeightVersion,
        cursor: Position,
    ) -> Result<TrainerState, TrainerCallError> {
        let body = json!({ "incarnation": incarnation, "version": version, "cursor": cursor });
        self.trainer_call(relay, tenant, Method::POST, "versions", body.to_string().into_bytes()).await
    }

    async fn change_configuration(&self, change: &ConfigurationChange) -> Option<ConfigurationOutcome> {
        let index = self.next_control.replace(self.next_control.get() + 1) % self.control.len();
        let (path, body) = match (&change.name, &change.value) {
            (ObjectName::Template(id), Some(ObjectValue::Template(template))) => {
                (format!("/admin/v1/templates/{id}"), serde_json::to_vec(template).ok()?)
            }
            (ObjectName::Tenant(id), Some(ObjectValue::Tenant(tenant))) => {
                (format!("/admin/v1/tenants/{id}"), serde_json::to_vec(tenant).ok()?)
            }
            (ObjectName::Template(id), _) => (format!("/admin/v1/templates/{id}"), Vec::new()),
            (ObjectName::Tenant(id), _) => (format!("/admin/v1/tenants/{id}"), Vec::new()),
        };
        let method = if change.value.is_some() { Method::PUT } else { Method::DELETE };
        let authorization = format!("Bearer {}", self.operator_token);
        let expected = change.expected.map(|revision| format!("\"{revision}\"")).unwrap_or_default();
        let mut headers = vec![("authorization", authorization.as_str())];
        match change.expected {
            Some(Revision(0)) => headers.push(("if-none-match", "*")),
            Some(_) => headers.push(("if-match", &expected)),
            None => {}
        }
        if let Some(key) = &change.idempotency_key {
            headers.push(("idempotency-key", key.as_str()));
        }
        let response = call(self.control[index], method, &path, &headers, body).await.ok()?;
        match response.status {
            StatusCode::OK => {
                parse_json::<Accepted>(&response.body).ok().map(|body| ConfigurationOutcome::Accepted(body.revision))
            }
            StatusCode::PRECONDITION_FAILED => {
                parse_json::<ObjectState>(&response.body).ok().map(ConfigurationOutcome::RevisionMismatch)
            }
            StatusCode::NOT_FOUND => Some(ConfigurationOutcome::NotFound(change.name.clone())),
            StatusCode::UNPROCESSABLE_ENTITY => Some(ConfigurationOutcome::Invalid(Vec::new())),
            _ => None,
        }
    }
}
