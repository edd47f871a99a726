//! HTTP handler of a coordinator for operators, trainers and engines.

use crate::concurrency::ConcurrencyLimit;
use crate::formats::{CallDecodeError, ControlCall, Formats};
use crate::rejected_calls::RejectedCalls;
use crate::responses;
use hyper::{Request, StatusCode};
use saddlerelay_control_client::reports::ReportBatcher;
use saddlerelay_control_client::{ControlClient, GatewayError};
use saddlerelay_http::body::{BodyError, Reply, full_reply};
use saddlerelay_http::limits::ConnectionLimits;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::InstanceReport;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Deadline of one call; below the one-second response timeout of callers.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of one attempt at a single control replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Limits on connections: a routing document may be as large as the largest batch job that it allows.
pub const CONTROL_LIMITS: ConnectionLimits =
    ConnectionLimits { max_body_bytes: 34 * 1024 * 1024, ..ConnectionLimits::DEFAULT };

/// Maximum size of an engine's report, in bytes. Reports are stored even if the routing document does not contain their
/// service yet.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Maximum number of reads that are forwarded at the same time. Their responses may be as large as a routing document.
const MAX_CONCURRENT_READS: usize = 4;

/// Serves the control endpoints of a coordinator.
pub struct ControlApi<F> {
    /// Sends requests to the control group's leader, which may be this process.
    control: ControlClient<CompioRuntime>,
    reports: Rc<ReportBatcher<CompioRuntime>>,
    report_target: ReportTarget,
    formats: F,
    reads: ConcurrencyLimit,
    rejected: RejectedCalls,
}

/// Selects the address to which an engine must send its later reports; `None` if it may use any coordinator.
pub type ReportTarget = Box<dyn Fn(&InstanceReport) -> Option<SocketAddr>>;

impl<F> ControlApi<F> {
    /// Starts the handler. Requests are forwarded to the control group through `control`; engine reports, expected every
    /// `report_interval`, are batched before they are forwarded.
    pub fn start(
        runtime: CompioRuntime,
        control: ControlClient<CompioRuntime>,
        report_interval: Duration,
        report_target: ReportTarget,
        formats: F,
    ) -> Rc<Self> {
        let reports = ReportBatcher::start(runtime, control.clone(), report_interval);
        let reads = ConcurrencyLimit::new(MAX_CONCURRENT_READS);
        Rc::new(Self { control, reports, report_target, formats, reads, rejected: RejectedCalls::default() })
    }
}

impl<F: Formats> HttpHandler for ControlApi<F> {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let is_report = self.formats.is_report(&head.method, head.uri.path());
        let max_bytes = if is_report { MAX_REPORT_BYTES } else { CONTROL_LIMITS.max_body_bytes };
        let body = match body.read_within(max_bytes, CONTROL_LIMITS.body_timeout).await {
            Ok(body) => body,
            Err(error) => {
                if error == BodyError::TooLarge && is_report {
                    self.rejected.record(&head.method, head.uri.path(), "too large for a report");
                }
                return responses::unreadable(&error);
            }
        };
        match self.formats.control_call(&head.method, head.uri.path(), &body) {
            Ok(ControlCall::Change(GatewayRequest::ReportInstance(report))) => self.handle_report(report).await,
            Ok(ControlCall::Change(request)) => responses::change(self.forward(request).await, StatusCode::OK),
            Ok(ControlCall::Read(request)) => self.handle_read(request).await,
            Err(CallDecodeError::Unknown) => responses::not_found(),
            Err(CallDecodeError::Malformed(reason)) => {
                self.rejected.record(&head.method, head.uri.path(), &reason);
                full_reply(StatusCode::BAD_REQUEST, "text/plain", reason)
            }
        }
    }
}

impl<F: Formats> ControlApi<F> {
    /// Encodes the counters in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        self.rejected.encode()
    }

    async fn forward(&self, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
        self.control.gateway(request, CALL_TIMEOUT, ATTEMPT_TIMEOUT).await
    }

    async fn handle_read(&self, request: GatewayRequest) -> Reply {
        match self.reads.enter(CALL_TIMEOUT).await {
            Some(_permit) => responses::read(&self.formats, self.forward(request).await),
            None => responses::unavailable(),
        }
    }

    async fn handle_report(&self, report: InstanceReport) -> Reply {
        let report_to = (self.report_target)(&report);
        match self.reports.report(report).await {
            Ok(GatewayReply::Done) => {
                full_reply(StatusCode::OK, "application/json", self.formats.write_report_response(report_to))
            }
            result => responses::change(result, StatusCode::OK),
        }
    }
}
