//! Handlers of completion requests: parse the request, pass it to the relay and write a complete or streamed response.

use crate::credentials::{CallerCredentials, caller_credentials, secret_matches};
use crate::errors::{Rejection, body_error_reply, error_reply, failure_body, failure_reply};
use crate::relay::RelayApi;
use crate::wire::{self, ChatRequest, CompletionRequest, ReplyChoice, ReplyFormat, ReplyJson, ReplyMessage, Usage};
use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};
use saddlerelay_http::body::{Reply, json, parse_json, streamed_reply};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::sse;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{IdempotencyKey, ModelName};
use saddlerelay_types::request::{
    CallerRequest, ExecutionOutcome, FailureCode, FinishReason, Generation, Priority, Repeatability, RequestFailure,
    RequestKey, ResponsePart, VersionSpan,
};

/// Fields that all chunks of a response share.
#[derive(Clone)]
struct ReplyHead {
    format: ReplyFormat,
    id: String,
    created: u64,
    model: String,
    prompt_words: u32,
}

/// A parsed request body, independent of its format.
struct ParsedRequest {
    format: ReplyFormat,
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    seed: Option<u64>,
    stream: bool,
    choices: u32,
}

/// `POST /v1/chat/completions`.
pub async fn chat<P: Runtime, B: Backends>(api: &RelayApi<P, B>, head: &Parts, body: RequestBody) -> Reply {
    let bytes = match body.read().await {
        Ok(bytes) => bytes,
        Err(error) => return body_error_reply(&error),
    };
    match parse_json::<ChatRequest>(&bytes) {
        Ok(request) => {
            let parsed = ParsedRequest {
                format: ReplyFormat::Chat,
                prompt: wire::chat_prompt(&request.messages),
                model: request.model,
                max_tokens: request.max_completion_tokens.or(request.max_tokens),
                seed: request.seed,
                stream: request.stream,
                choices: request.n.unwrap_or(1),
            };
            serve(api, &head.headers, parsed).await
        }
        Err(error) => body_error_reply(&error),
    }
}

/// `POST /v1/completions`.
pub async fn completion<P: Runtime, B: Backends>(api: &RelayApi<P, B>, head: &Parts, body: RequestBody) -> Reply {
    let bytes = match body.read().await {
        Ok(bytes) => bytes,
        Err(error) => return body_error_reply(&error),
    };
    match parse_json::<CompletionRequest>(&bytes) {
        Ok(request) => {
            let parsed = ParsedRequest {
                format: ReplyFormat::Completion,
                prompt: request.prompt,
                model: request.model,
                max_tokens: request.max_tokens,
                seed: request.seed,
                stream: request.stream,
                choices: request.n.unwrap_or(1),
            };
            serve(api, &head.headers, parsed).await
        }
        Err(error) => body_error_reply(&error),
    }
}

async fn serve<P: Runtime, B: Backends>(api: &RelayApi<P, B>, headers: &HeaderMap, parsed: ParsedRequest) -> Reply {
    let credentials = match check_credentials(api, headers) {
        Ok(credentials) => credentials,
        Err(rejection) => return *rejection,
    };
    let stream = parsed.stream;
    let reply_head = ReplyHead {
        format: parsed.format,
        id: format!("saddlerelay-{:016x}", api.runtime.random()),
        created: api.runtime.unix_milliseconds() / 1000,
        model: parsed.model.clone(),
        prompt_words: parsed.prompt.split_whitespace().count() as u32,
    };
    let request = match caller_request(api, headers, credentials, parsed) {
        Ok(request) => request,
        Err(message) => return failure_reply(&invalid(message)),
    };
    let parts = api.relay.serve(request);
    if stream {
        streamed_completion(reply_head, parts, api).await
    } else {
        buffered_completion(reply_head, parts).await
    }
}

fn invalid(message: String) -> RequestFailure {
    RequestFailure::new(ExecutionOutcome::NotExecuted, FailureCode::InvalidRequest, message, 0)
}

/// Checks the caller's secret. An unknown tenant passes, because the relay rejects it.
pub fn check_credentials<P: Runtime, B: Backends>(
    api: &RelayApi<P, B>,
    headers: &HeaderMap,
) -> Result<CallerCredentials, Rejection> {
    let reject = |message: &str| Box::new(error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message, 0));
    let Some(credentials) = caller_credentials(headers) else {
        return Err(reject("give `Authorization: Bearer TENANT:CALLER:SECRET`"));
    };
    let digest = api.relay.tenant(&credentials.tenant).and_then(|tenant| tenant.caller_secret_digest);
    match digest {
        Some(digest) if !secret_matches(&credentials.secret, &digest) => Err(reject("the secret is wrong")),
        _ => Ok(credentials),
    }
}

fn caller_request<P: Runtime, B: Backends>(
    api: &RelayApi<P, B>,
    headers: &HeaderMap,
    credentials: CallerCredentials,
    parsed: ParsedRequest,
) -> Result<CallerRequest, String> {
    if parsed.choices != 1 {
        return Err("`n` must be 1".to_string());
    }
    if parsed.max_tokens == Some(0) {
        return Err("`max_tokens` must be at least 1".to_string());
    }
    let not_repeatable = header_flag(headers, wire::NOT_REPEATABLE_HEADER)?;
    let key = request_key(headers, not_repeatable)?;
    let class = api.relay.tenant(&credentials.tenant).map(|tenant| tenant.caller_class);
    let deadline = header_number(headers, wire::DEADLINE_HEADER)?.unwrap_or(wire::DEFAULT_DEADLINE_MILLISECONDS);
    Ok(CallerRequest {
        tenant: credentials.tenant,
        caller: credentials.caller,
        model: ModelName(parsed.model),
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens.unwrap_or(wire::DEFAULT_MAX_TOKENS),
        seed: parsed.seed.unwrap_or_else(|| default_seed(api, key.is_some())),
        key,
        repeatability: if not_repeatable { Repeatability::NotRepeatable } else { Repeatability::Repeatable },
        priority: priority_class(headers, class.unwrap_or(Priority::Interactive))?,
        deadline_milliseconds: deadline,
    })
}

/// A retry with an idempotency key must equal the original request, so such requests get a fixed seed.
fn default_seed<P: Runtime, B: Backends>(api: &RelayApi<P, B>, is_keyed: bool) -> u64 {
    if is_keyed { 0 } else { api.runtime.random() }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| format!("header `{name}` is not a text"))
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let parsed = header_text(headers, name)?.map(str::parse);
    parsed.transpose().map_err(|_| format!("header `{name}` is not a whole number"))
}

fn header_flag(headers: &HeaderMap, name: &str) -> Result<bool, String> {
    match header_text(headers, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(format!("header `{name}` is `{other}`, not `true` or `false`")),
    }
}

/// An idempotency key without an expiry is ignored, or rejected if the request is not repeatable: once the key was dropped,
/// the relay could not distinguish a late retry from a new request.
fn request_key(headers: &HeaderMap, not_repeatable: bool) -> Result<Option<RequestKey>, String> {
    let key = header_text(headers, wire::KEY_HEADER)?;
    let expires_at = header_number(headers, wire::KEY_EXPIRES_HEADER)?;
    match (key, expires_at) {
        (Some(key), Some(expires_at)) => Ok(Some(RequestKey { key: IdempotencyKey::new(key), expires_at })),
        (Some(_), None) if not_repeatable => Err(format!(
            "header `{}` is missing: Unix milliseconds, at most one hour ahead, the same on each resend",
            wire::KEY_EXPIRES_HEADER
        )),
        _ => Ok(None),
    }
}

fn priority_class(headers: &HeaderMap, class: Priority) -> Result<Priority, String> {
    match header_text(headers, wire::CLASS_HEADER)? {
        None => Ok(class),
        Some("interactive") => Ok(class.max(Priority::Interactive)),
        Some("batch") => Ok(class.max(Priority::Batch)),
        Some(other) => Err(format!("header `{}` is `{other}`, not `interactive` or `batch`", wire::CLASS_HEADER)),
    }
}

async fn buffered_completion(head: ReplyHead, mut parts: mpsc::UnboundedReceiver<ResponsePart>) -> Reply {
    let mut generation = Generation::empty();
    while let Some(part) = parts.next().await {
        match part {
            ResponsePart::Tokens { tokens, text, version } => generation.extend(&tokens, &text, version),
            ResponsePart::End(finish) => {
                generation.finish = finish;
                return complete_reply(&head, &generation);
            }
            ResponsePart::Failed(failure) => return failure_reply(&failure),
        }
    }
    failure_reply(&interrupted())
}

fn interrupted() -> RequestFailure {
    let message = "the answer was cut off".to_string();
    RequestFailure::new(ExecutionOutcome::Unknown, FailureCode::EngineFailed, message, 0)
}

fn complete_reply(head: &ReplyHead, generation: &Generation) -> Reply {
    let (message, text) = match head.format {
        ReplyFormat::Chat => (Some(ReplyMessage { role: Some("assistant"), content: generation.text.clone() }), None),
        ReplyFormat::Completion => (None, Some(generation.text.clone())),
    };
    let choice = ReplyChoice { index: 0, message, delta: None, text, finish_reason: Some(generation.finish) };
    let completion_tokens = generation.tokens.len() as u32;
    let usage = Usage {
        prompt_tokens: head.prompt_words,
        completion_tokens,
        total_tokens: head.prompt_words + completion_tokens,
    };
    let body = ReplyJson {
        id: head.id.clone(),
        object: head.format.complete_object(),
        created: head.created,
        model: head.model.clone(),
        choices: vec![choice],
        usage: Some(usage),
        weight_versions: generation.versions.clone(),
    };
    let mut reply = json(StatusCode::OK, &body);
    let versions: Vec<String> = generation.versions.iter().map(|span| span.version.to_string()).collect();
    if let Ok(value) = HeaderValue::from_str(&versions.join(",")) {
        reply.headers_mut().insert(wire::VERSIONS_HEADER, value);
    }
    reply
}

/// Waits for the first part, so that an early failure gets its own status code, and then streams.
async fn streamed_completion<P: Runtime, B: Backends>(
    head: ReplyHead,
    mut parts: mpsc::UnboundedReceiver<ResponsePart>,
    api: &RelayApi<P, B>,
) -> Reply {
    let first = match parts.next().await {
        Some(ResponsePart::Failed(failure)) => return failure_reply(&failure),
        Some(part) => part,
        None => return failure_reply(&interrupted()),
    };
    let (events, body) = mpsc::unbounded();
    api.runtime.spawn(async move {
        let mut next = Some(first);
        while let Some(part) = next {
            let last = !matches!(part, ResponsePart::Tokens { .. });
            if !send_chunk(&head, part, &events) || last {
                return;
            }
            next = parts.next().await;
        }
        // The relay's task ended before the last part: the stream ends without `[DONE]`.
    });
    streamed_reply(sse::CONTENT_TYPE, body)
}

/// Sends one part; `false` if the caller has disconnected.
fn send_chunk(head: &ReplyHead, part: ResponsePart, events: &mpsc::UnboundedSender<Bytes>) -> bool {
    match part {
        ResponsePart::Tokens { tokens, text, version } => {
            let span = VersionSpan { version, tokens: tokens.len() as u32 };
            events.unbounded_send(sse::event(&chunk_body(head, text, Some(span), None))).is_ok()
        }
        ResponsePart::End(finish) => {
            let end = sse::event(&chunk_body(head, String::new(), None, Some(finish)));
            events.unbounded_send(end).is_ok() && events.unbounded_send(sse::done()).is_ok()
        }
        ResponsePart::Failed(failure) => events.unbounded_send(sse::event(&failure_body(&failure))).is_ok(),
    }
}

fn chunk_body(head: &ReplyHead, text: String, span: Option<VersionSpan>, finish: Option<FinishReason>) -> ReplyJson {
    let (delta, text) = match head.format {
        ReplyFormat::Chat => (Some(ReplyMessage { role: Some("assistant"), content: text }), None),
        ReplyFormat::Completion => (None, Some(text)),
    };
    ReplyJson {
        id: head.id.clone(),
        object: head.format.chunk_object(),
        created: head.created,
        model: head.model.clone(),
        choices: vec![ReplyChoice { index: 0, message: None, delta, text, finish_reason: finish }],
        usage: None,
        weight_versions: span.into_iter().collect(),
    }
}
