//! HTTP handlers of a gateway: requests of clients and trainers, and the readiness probe.

use crate::concurrency::ConcurrencyLimit;
use crate::formats::{ClientCall, Formats, JobCall};
use crate::responses;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use saddlerelay_control_client::GatewayError;
use saddlerelay_gateway::refusal::Refusal;
use saddlerelay_gateway::{ClientRequest, Gateway};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::routing::{Route, RouteKind};
use saddlerelay_types::tenancy::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Deadline of a call about batch jobs.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Timeout of one attempt at a single control replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Size from which a job submission counts as large, in bytes. Large ones are decoded and forwarded one at a time, as
/// that takes a multiple of their size.
const LARGE_JOB_BYTES: usize = 256 * 1024;

/// Serves requests of clients and trainers.
pub struct ClientApi<F> {
    /// The gateway.
    gateway: Gateway,
    /// The wire formats.
    formats: F,
    large_jobs: ConcurrencyLimit,
}

impl<F> ClientApi<F> {
    /// Creates the handler.
    pub fn new(gateway: Gateway, formats: F) -> Self {
        Self { gateway, formats, large_jobs: ConcurrencyLimit::new(1) }
    }
}

/// Serves the readiness probe: 200 while the gateway is ready, otherwise 503.
pub struct ReadinessApi {
    /// The gateway.
    pub gateway: Gateway,
}

impl HttpHandler for ReadinessApi {
    async fn handle(self: Rc<Self>, _request: Request<RequestBody>) -> Reply {
        let status = if self.gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        full_reply(status, "text/plain", "")
    }
}

impl<F: Formats> HttpHandler for ClientApi<F> {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let mut reply = self.handle_call(request).await;
        if self.gateway.is_draining() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

impl<F: Formats> ClientApi<F> {
    async fn handle_call(&self, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let call = self.formats.client_call(&head.method, &head.uri, &head.headers);
        let request = ClientRequest::new(head, self.gateway.names(), self.gateway.now());
        match call {
            ClientCall::Routed => self.serve_routed(request, body).await,
            ClientCall::Job(call) => match self.gateway.authenticate_job_call(&request.id, &request.headers) {
                Ok(caller) => self.serve_job_call(call, caller).await,
                Err(refusal) => self.gateway.refuse(&request, refusal),
            },
        }
    }

    async fn serve_job_call(&self, call: JobCall, caller: Caller) -> Reply {
        match call {
            JobCall::ReadResults { job, after, wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                let reading = self.gateway.read_results(job, after, wait, caller);
                responses::read(&self.formats, self.until_stopped(reading).await)
            }
            JobCall::ReadBody { job, item } => {
                responses::read(&self.formats, self.forward(GatewayRequest::ReadBody { job, item, caller }).await)
            }
            JobCall::End(job) => {
                responses::change(self.forward(GatewayRequest::EndJob { job, caller }).await, StatusCode::OK)
            }
        }
    }

    async fn serve_routed(&self, mut request: ClientRequest, body: RequestBody) -> Reply {
        let chosen = self.gateway.choose_route(&request.host, request.path());
        let admitted = chosen.and_then(|chosen| self.gateway.admit(&chosen, &mut request).map(|()| chosen));
        match admitted {
            Ok(chosen) if chosen.route().kind == RouteKind::Rollout && request.method == Method::POST => {
                self.submit(chosen.route(), &request, body).await
            }
            Ok(chosen) => self.gateway.serve(chosen, request, body).await,
            Err(refusal) => self.gateway.refuse(&request, refusal),
        }
    }

    async fn submit(&self, route: &Route, request: &ClientRequest, body: RequestBody) -> Reply {
        let body = match self.gateway.read_body(route, request, body).await {
            Ok(body) => body,
            Err(refusal) => return self.gateway.refuse(request, refusal),
        };
        let _permit = if body.len() >= LARGE_JOB_BYTES {
            let waiting = self.large_jobs.enter(self.gateway.time_left(route, request));
            match self.gateway.until_stopped(waiting).await {
                Some(Some(permit)) => Some(permit),
                Some(None) => return self.gateway.refuse(request, Refusal::NoMemory),
                None => return self.gateway.refuse(request, Refusal::Stopping),
            }
        } else {
            None
        };
        match self.formats.read_job(&request.id, &request.host, request.path(), &body) {
            Ok(mut job) => {
                job.owner = request.caller.tenant().cloned();
                if let Some(error) = job.error() {
                    return self.reject_job(request, error.to_string());
                }
                drop(body);
                let answer = self.forward(GatewayRequest::SubmitJob(job)).await;
                self.log_unaccepted_job(request, &answer);
                responses::change(answer, StatusCode::ACCEPTED)
            }
            Err(reason) => self.reject_job(request, reason),
        }
    }

    /// Logs a job submission that the control group did not confirm, with the replicas' responses.
    fn log_unaccepted_job(&self, request: &ClientRequest, answer: &Result<GatewayReply, GatewayError>) {
        if matches!(answer, Ok(GatewayReply::Done)) {
            return;
        }
        let answer = format!("{answer:?}");
        let search = self.gateway.control().search().summary();
        spdlog::warn!("job not accepted", kv: {
            job = request.id.as_str(), answer = answer.as_str(), control = search.as_str()
        });
    }

    fn reject_job(&self, request: &ClientRequest, reason: String) -> Reply {
        self.gateway.refuse(request, Refusal::Malformed);
        full_reply(StatusCode::BAD_REQUEST, "text/plain", reason)
    }

    async fn forward(&self, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
        self.until_stopped(self.gateway.control().gateway(request, CALL_TIMEOUT, ATTEMPT_TIMEOUT)).await
    }

    /// Runs a call to the control group until the gateway stops. A call that is given up then may still be executed.
    async fn until_stopped(
        &self,
        call: impl Future<Output = Result<GatewayReply, GatewayError>>,
    ) -> Result<GatewayReply, GatewayError> {
        if self.gateway.has_stopped() {
            return Err(GatewayError::NotDone);
        }
        self.gateway.until_stopped(call).await.unwrap_or(Err(GatewayError::Undecided))
    }
}
