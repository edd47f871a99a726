//! Clients' and trainers' calls to a gateway, and the question whether it takes connections.

use crate::formats::{Formats, FrontCall, JobCall};
use crate::outcomes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use saddlerelay_control_client::GatewayError;
use saddlerelay_gateway::refusal::Refusal;
use saddlerelay_gateway::{ClientRequest, Gateway};
use saddlerelay_http::body::{Reply, whole};
use saddlerelay_http::server::HttpHandler;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::routing::RouteKind;
use saddlerelay_types::tenancy::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a call about batch jobs.
const CALL_LIMIT: Duration = Duration::from_millis(2_400);

/// Longest wait for one control replica.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(800);

/// The address at which clients reach a gateway.
pub struct FrontApi<F> {
    /// The gateway.
    pub gateway: Gateway,
    /// The interface.
    pub formats: F,
}

/// The address at which a gateway is asked whether it takes connections.
pub struct ReadinessApi {
    /// The gateway.
    pub gateway: Gateway,
}

impl HttpHandler for ReadinessApi {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        let status = if self.gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        whole(status, "text/plain", "")
    }
}

impl<F: Formats> HttpHandler for FrontApi<F> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let mut reply = self.answer(request).await;
        if self.gateway.is_draining() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

impl<F: Formats> FrontApi<F> {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let call = self.formats.front_call(&head.method, &head.uri, &head.headers);
        let request = ClientRequest::new(head, self.gateway.names(), self.gateway.now());
        match call {
            FrontCall::Routed => self.answer_routed(request, body).await,
            FrontCall::Job(call) => match self.gateway.job_caller(&request.id, &request.headers) {
                Ok(caller) => self.answer_about_job(call, caller).await,
                Err(refusal) => self.gateway.refuse(&request, refusal),
            },
        }
    }

    async fn answer_about_job(&self, call: JobCall, caller: Caller) -> Reply {
        match call {
            JobCall::ReadResults { job, after, wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                outcomes::read(&self.formats, self.gateway.read_results(job, after, wait, caller).await)
            }
            JobCall::ReadBody { job, item } => {
                outcomes::read(&self.formats, self.ask(GatewayRequest::ReadBody { job, item, caller }).await)
            }
            JobCall::End(job) => {
                outcomes::changed(self.ask(GatewayRequest::EndJob { job, caller }).await, StatusCode::OK)
            }
        }
    }

    async fn answer_routed(&self, mut request: ClientRequest, body: Incoming) -> Reply {
        let chosen = self.gateway.choose_route(&request.host, request.path());
        let admitted = chosen.and_then(|chosen| self.gateway.admit(&chosen, &mut request).map(|()| chosen));
        match admitted {
            Ok(chosen) if chosen.route().kind == RouteKind::Rollout && request.method == Method::POST => {
                self.submit(&request, body).await
            }
            Ok(chosen) => self.gateway.serve_on(chosen, request, body).await,
            Err(refusal) => self.gateway.refuse(&request, refusal),
        }
    }

    async fn submit(&self, request: &ClientRequest, body: Incoming) -> Reply {
        let body = match self.gateway.read_body(body).await {
            Ok(body) => body,
            Err(refusal) => return self.gateway.refuse(request, refusal),
        };
        match self.formats.read_job(&request.id, &request.host, request.path(), &body) {
            Ok(mut job) => {
                job.owner = request.caller.tenant().cloned();
                if let Some(error) = job.error() {
                    return self.refuse_job(request, error.to_string());
                }
                drop(body);
                let answer = self.ask(GatewayRequest::SubmitJob(job)).await;
                self.tell_job(request, &answer);
                outcomes::changed(answer, StatusCode::ACCEPTED)
            }
            Err(reason) => self.refuse_job(request, reason),
        }
    }

    /// Says that a job was not accepted, and what the group's replicas answered.
    fn tell_job(&self, request: &ClientRequest, answer: &Result<GatewayReply, GatewayError>) {
        if matches!(answer, Ok(GatewayReply::Done)) {
            return;
        }
        let answer = format!("{answer:?}");
        let search = self.gateway.control().search().summary();
        spdlog::warn!("job not accepted", kv: {
            job = request.id.as_str(), answer = answer.as_str(), control = search.as_str()
        });
    }

    fn refuse_job(&self, request: &ClientRequest, reason: String) -> Reply {
        self.gateway.refuse(request, Refusal::Malformed);
        whole(StatusCode::BAD_REQUEST, "text/plain", reason)
    }

    async fn ask(&self, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
        self.gateway.control().gateway(request, CALL_LIMIT, ATTEMPT_LIMIT).await
    }
}
