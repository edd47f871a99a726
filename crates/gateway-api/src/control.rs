//! Calls of operators, trainers and engines to a machine that serves control.

use crate::formats::{ControlCall, Formats, UnreadableCall};
use crate::outcomes;
use crate::refused_calls::RefusedCalls;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use saddlerelay_control_client::reports::ReportGatherer;
use saddlerelay_control_client::{ControlClient, GatewayError};
use saddlerelay_http::body::{BodyError, Reply, read_limited, whole};
use saddlerelay_http::server::HttpHandler;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::InstanceReport;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Callers move on to another machine after a second without a response.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// Longest wait for one control replica.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(600);

/// Largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 34 * 1024 * 1024;

/// Largest report of an engine, in bytes: one with thirty models takes 2 KB. What waits for its service to be named is kept,
/// whoever sent it.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// The address at which operators, trainers and engines reach a machine.
pub struct ControlApi<F> {
    /// Finds the group's leader, which may be this process.
    control: ControlClient<CompioRuntime>,
    reports: Rc<ReportGatherer<CompioRuntime>>,
    report_target: ReportTarget,
    formats: F,
    refused: RefusedCalls,
}

/// Where an engine is to send its later reports, if not anywhere.
pub type ReportTarget = Box<dyn Fn(&InstanceReport) -> Option<SocketAddr>>;

impl<F> ControlApi<F> {
    /// Passes calls on to the group behind `control`, and gathers engines' reports to it, which come each
    /// `report_interval`.
    pub fn start(
        runtime: CompioRuntime,
        control: ControlClient<CompioRuntime>,
        report_interval: Duration,
        report_target: ReportTarget,
        formats: F,
    ) -> Rc<Self> {
        let reports = ReportGatherer::start(runtime, control.clone(), report_interval);
        Rc::new(Self { control, reports, report_target, formats, refused: RefusedCalls::default() })
    }
}

impl<F: Formats> HttpHandler for ControlApi<F> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = match read_limited(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return whole(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", "too large"),
            Err(_) => return whole(StatusCode::BAD_REQUEST, "text/plain", "the body broke off"),
        };
        match self.formats.control_call(&head.method, head.uri.path(), &body) {
            Ok(ControlCall::Change(GatewayRequest::ReportInstance(_))) if body.len() > MAX_REPORT_BYTES => {
                self.refused.note(&head.method, head.uri.path(), "too large for a report");
                whole(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", "too large")
            }
            Ok(ControlCall::Change(GatewayRequest::ReportInstance(report))) => self.take_report(report).await,
            Ok(ControlCall::Change(request)) => outcomes::changed(self.ask(request).await, StatusCode::OK),
            Ok(ControlCall::Read(request)) => outcomes::read(&self.formats, self.ask(request).await),
            Err(UnreadableCall::Unknown) => outcomes::not_found(),
            Err(UnreadableCall::Malformed(reason)) => {
                self.refused.note(&head.method, head.uri.path(), &reason);
                whole(StatusCode::BAD_REQUEST, "text/plain", reason)
            }
        }
    }
}

impl<F: Formats> ControlApi<F> {
    /// Counters, in the text format of metrics.
    pub fn metrics(&self) -> String {
        self.refused.encode()
    }

    async fn ask(&self, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
        self.control.gateway(request, CALL_LIMIT, ATTEMPT_LIMIT).await
    }

    async fn take_report(&self, report: InstanceReport) -> Reply {
        let target = (self.report_target)(&report);
        match self.reports.report(report).await {
            Ok(GatewayReply::Done) => {
                whole(StatusCode::OK, "application/json", self.formats.write_report_answer(target))
            }
            answer => outcomes::changed(answer, StatusCode::OK),
        }
    }
}
