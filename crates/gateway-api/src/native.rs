//! saddlerelay's native HTTP interface: the types of `saddlerelay_types` as JSON.

use crate::formats::{CallDecodeError, ClientCall, ControlCall, Formats, JobCall, query_value};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use saddlerelay_coordinator::EngineFormat;
use saddlerelay_coordinator::format::{EngineCall, EngineReport, WeightOrder};
use saddlerelay_duties::PlatformFormat;
use saddlerelay_duties::format::{CallGrant, EngineCountOrder, PlatformCall};
use saddlerelay_types::gateway::GatewayRequest;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemId, JobId, JobSubmission, ResultPage};
use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::usage::UsageReport;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::HeaderNames;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// The engine's path for weight load requests.
pub const ORDER_PATH: &str = "/v1/weights";

/// The engine's path for status polls.
pub const REPORT_PATH: &str = "/v1/report";

/// The native formats for clients, trainers, operators and engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeFormats;

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallDecodeError> {
    serde_json::from_slice(body).map_err(|error| CallDecodeError::Malformed(error.to_string()))
}

fn read_routing(body: &Bytes) -> Result<RoutingDocument, CallDecodeError> {
    let document: RoutingDocument = read(body)?;
    Ok(RoutingDocument { source: body.to_vec(), ..document })
}

impl Formats for NativeFormats {
    fn header_names(&self) -> HeaderNames {
        HeaderNames::default()
    }

    fn client_call(&self, method: &Method, uri: &Uri, _headers: &HeaderMap) -> ClientCall {
        let path = uri.path().trim_matches('/').to_string();
        let number = |name: &str| query_value(uri, name).and_then(|value| value.parse().ok()).unwrap_or(0);
        match (method, path.split('/').collect::<Vec<_>>().as_slice()) {
            (&Method::GET, ["v1", "jobs", job, "results"]) => ClientCall::Job(JobCall::ReadResults {
                job: JobId(job.to_string()),
                after: number("after"),
                wait_ms: number("wait_ms"),
            }),
            (&Method::GET, ["v1", "jobs", job, "items", item, "body"]) => {
                ClientCall::Job(JobCall::ReadBody { job: JobId(job.to_string()), item: ItemId(item.to_string()) })
            }
            (&Method::DELETE, ["v1", "jobs", job]) => ClientCall::Job(JobCall::End(JobId(job.to_string()))),
            _ => ClientCall::Routed,
        }
    }

    fn read_job(&self, id: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSubmission, String> {
        let job: JobSubmission = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        Ok(JobSubmission { id: JobId(id.to_string()), host: host.to_string(), path: path.to_string(), ..job })
    }

    fn write_page(&self, page: &ResultPage) -> Vec<u8> {
        serde_json::to_vec(page).unwrap_or_default()
    }

    fn is_report(&self, method: &Method, path: &str) -> bool {
        method == Method::PUT && path.trim_matches('/').starts_with("v1/instances/")
    }

    fn control_call(&self, method: &Method, path: &str, body: &Bytes) -> Result<ControlCall, CallDecodeError> {
        let path = path.trim_matches('/').split('/').collect::<Vec<_>>();
        let call = match (method, path.as_slice()) {
            (&Method::PUT, ["v1", "instances", _]) => ControlCall::Change(GatewayRequest::ReportInstance(read(body)?)),
            (&Method::DELETE, ["v1", "instances", id]) => {
                ControlCall::Change(GatewayRequest::RemoveInstance(InstanceId::without_start_time(*id)))
            }
            (&Method::POST, ["v1", "versions"]) => ControlCall::Change(GatewayRequest::PublishVersion(read(body)?)),
            (&Method::PUT, ["admin", "v1", "routing"]) => {
                ControlCall::Change(GatewayRequest::PutRouting(read_routing(body)?))
            }
            (&Method::GET, ["admin", "v1", "routing"]) => ControlCall::Read(GatewayRequest::ReadRouting),
            (&Method::GET, ["admin", "v1", "suspicions"]) => ControlCall::Read(GatewayRequest::ReadSuspicions),
            (&Method::DELETE, ["admin", "v1", "suspicions", work]) => {
                let work = WorkDigest::from_hexadecimal(work).ok_or(CallDecodeError::Unknown)?;
                ControlCall::Change(GatewayRequest::ReleaseWork(work))
            }
            (&Method::GET, ["admin", "v1", "duties"]) => ControlCall::Read(GatewayRequest::ReadDuties),
            (&Method::POST, ["admin", "v1", "stores", name, "retirement"]) => {
                ControlCall::Change(GatewayRequest::RetireStore(name.to_string()))
            }
            (&Method::GET, ["admin", "v1", "stores", name, "retirement"]) => {
                ControlCall::Read(GatewayRequest::ReadRetirement(name.to_string()))
            }
            _ => return Err(CallDecodeError::Unknown),
        };
        Ok(call)
    }

    fn write_report_response(&self, report_to: Option<SocketAddr>) -> Vec<u8> {
        report_to.map_or_else(|| b"{}".to_vec(), |address| format!(r#"{{"report_to":"{address}"}}"#).into_bytes())
    }

    fn write_retirement(&self, completed: bool) -> Vec<u8> {
        format!("{{\"completed\":{completed}}}").into_bytes()
    }
}

/// Requests to a platform in the native formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativePlatform;

/// The platform's path for usage reports.
pub const USAGE_PATH: &str = "/v1/usage";

/// The platform's path for requested engine counts.
pub const ENGINE_COUNT_PATH: &str = "/v1/engine-count";

/// The header with the name of the calling duty holder.
pub const HOLDER_HEADER: &str = "saddlerelay-holder";

/// The header with the fencing token of a call to the platform.
pub const FENCE_HEADER: &str = "saddlerelay-fence";

fn platform_call(path: &str, grant: &CallGrant, body: &impl Serialize) -> PlatformCall {
    let mut headers = HeaderMap::new();
    headers.insert(FENCE_HEADER, HeaderValue::from(grant.fence.0));
    if let Ok(holder) = HeaderValue::from_str(&grant.holder) {
        headers.insert(HOLDER_HEADER, holder);
    }
    let body = serde_json::to_vec(body).unwrap_or_default();
    PlatformCall { method: Method::POST, path: path.to_string(), headers, body: body.into() }
}

impl PlatformFormat for NativePlatform {
    fn usage_report(&self, grant: &CallGrant, report: &UsageReport) -> PlatformCall {
        platform_call(USAGE_PATH, grant, report)
    }

    fn engine_count(&self, grant: &CallGrant, order: &EngineCountOrder) -> PlatformCall {
        platform_call(ENGINE_COUNT_PATH, grant, order)
    }
}

/// Requests to engines in the native formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeEngines;

impl EngineFormat for NativeEngines {
    fn order(&self, order: &WeightOrder) -> EngineCall {
        let body = serde_json::to_vec(order).unwrap_or_default();
        EngineCall { method: Method::PUT, path: ORDER_PATH.to_string(), body: body.into() }
    }

    fn report(&self) -> EngineCall {
        EngineCall { method: Method::GET, path: REPORT_PATH.to_string(), body: Bytes::new() }
    }

    fn parse_report(&self, body: &[u8]) -> Option<EngineReport> {
        serde_json::from_slice(body).ok()
    }
}
