//! The product's own interface: its types as JSON.

use crate::formats::{ControlCall, Formats, FrontCall, JobCall, UnreadableCall, query_value};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use saddlerelay_coordinator::EngineDialect;
use saddlerelay_coordinator::dialect::{Call, EngineReport, VersionOrder};
use saddlerelay_duties::PlatformDialect;
use saddlerelay_duties::dialect::{CallRight, EngineCountOrder, PlatformCall};
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

/// The path at which an engine takes orders.
pub const ORDER_PATH: &str = "/v1/weights";

/// The path at which an engine reports itself when asked.
pub const REPORT_PATH: &str = "/v1/report";

/// The product's own formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnFormats;

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, UnreadableCall> {
    serde_json::from_slice(body).map_err(|error| UnreadableCall::Malformed(error.to_string()))
}

fn read_routing(body: &Bytes) -> Result<RoutingDocument, UnreadableCall> {
    let document: RoutingDocument = read(body)?;
    Ok(RoutingDocument { source: body.to_vec(), ..document })
}

impl Formats for OwnFormats {
    fn header_names(&self) -> HeaderNames {
        HeaderNames::default()
    }

    fn front_call(&self, method: &Method, uri: &Uri, _headers: &HeaderMap) -> FrontCall {
        let path = uri.path().trim_matches('/').to_string();
        let number = |name: &str| query_value(uri, name).and_then(|value| value.parse().ok()).unwrap_or(0);
        match (method, path.split('/').collect::<Vec<_>>().as_slice()) {
            (&Method::GET, ["v1", "jobs", job, "results"]) => FrontCall::Job(JobCall::ReadResults {
                job: JobId(job.to_string()),
                after: number("after"),
                wait_ms: number("wait_ms"),
            }),
            (&Method::GET, ["v1", "jobs", job, "items", item, "body"]) => {
                FrontCall::Job(JobCall::ReadBody { job: JobId(job.to_string()), item: ItemId(item.to_string()) })
            }
            (&Method::DELETE, ["v1", "jobs", job]) => FrontCall::Job(JobCall::End(JobId(job.to_string()))),
            _ => FrontCall::Routed,
        }
    }

    fn read_job(&self, id: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSubmission, String> {
        let job: JobSubmission = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        Ok(JobSubmission { id: JobId(id.to_string()), host: host.to_string(), path: path.to_string(), ..job })
    }

    fn write_page(&self, page: &ResultPage) -> Vec<u8> {
        serde_json::to_vec(page).unwrap_or_default()
    }

    fn control_call(&self, method: &Method, path: &str, body: &Bytes) -> Result<ControlCall, UnreadableCall> {
        let path = path.trim_matches('/').split('/').collect::<Vec<_>>();
        let call = match (method, path.as_slice()) {
            (&Method::PUT, ["v1", "instances", _]) => ControlCall::Change(GatewayRequest::ReportInstance(read(body)?)),
            (&Method::DELETE, ["v1", "instances", id]) => {
                ControlCall::Change(GatewayRequest::RemoveInstance(InstanceId::named(*id)))
            }
            (&Method::POST, ["v1", "versions"]) => ControlCall::Change(GatewayRequest::NameVersion(read(body)?)),
            (&Method::PUT, ["admin", "v1", "routing"]) => {
                ControlCall::Change(GatewayRequest::PutRouting(read_routing(body)?))
            }
            (&Method::GET, ["admin", "v1", "routing"]) => ControlCall::Read(GatewayRequest::ReadRouting),
            (&Method::GET, ["admin", "v1", "suspicions"]) => ControlCall::Read(GatewayRequest::ReadSuspicions),
            (&Method::DELETE, ["admin", "v1", "suspicions", work]) => {
                let work = WorkDigest::from_hexadecimal(work).ok_or(UnreadableCall::Unknown)?;
                ControlCall::Change(GatewayRequest::ReleaseWork(work))
            }
            (&Method::GET, ["admin", "v1", "duties"]) => ControlCall::Read(GatewayRequest::ReadDuties),
            (&Method::POST, ["admin", "v1", "stores", name, "retirement"]) => {
                ControlCall::Change(GatewayRequest::RetireStore(name.to_string()))
            }
            (&Method::GET, ["admin", "v1", "stores", name, "retirement"]) => {
                ControlCall::Read(GatewayRequest::ReadRetirement(name.to_string()))
            }
            _ => return Err(UnreadableCall::Unknown),
        };
        Ok(call)
    }

    fn write_report_answer(&self, later_at: Option<SocketAddr>) -> Vec<u8> {
        later_at.map_or_else(|| b"{}".to_vec(), |address| format!(r#"{{"report_to":"{address}"}}"#).into_bytes())
    }

    fn write_retirement(&self, completed: bool) -> Vec<u8> {
        format!("{{\"completed\":{completed}}}").into_bytes()
    }
}

/// A platform that speaks the product's own formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnPlatform;

/// The path at which a platform takes usage reports.
pub const USAGE_PATH: &str = "/v1/usage";

/// The path at which a platform takes orders of engines.
pub const ENGINE_COUNT_PATH: &str = "/v1/engine-count";

/// The header that names who makes a call to the platform.
pub const HOLDER_HEADER: &str = "saddlerelay-holder";

/// The header that holds the fence of a call to the platform.
pub const FENCE_HEADER: &str = "saddlerelay-fence";

fn platform_call(path: &str, right: &CallRight, body: &impl Serialize) -> PlatformCall {
    let mut headers = HeaderMap::new();
    headers.insert(FENCE_HEADER, HeaderValue::from(right.fence.0));
    if let Ok(holder) = HeaderValue::from_str(&right.holder) {
        headers.insert(HOLDER_HEADER, holder);
    }
    let body = serde_json::to_vec(body).unwrap_or_default();
    PlatformCall { method: Method::POST, path: path.to_string(), headers, body: body.into() }
}

impl PlatformDialect for OwnPlatform {
    fn usage_report(&self, right: &CallRight, report: &UsageReport) -> PlatformCall {
        platform_call(USAGE_PATH, right, report)
    }

    fn engine_count(&self, right: &CallRight, order: &EngineCountOrder) -> PlatformCall {
        platform_call(ENGINE_COUNT_PATH, right, order)
    }
}

/// Engines that speak the product's own formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnEngines;

impl EngineDialect for OwnEngines {
    fn order(&self, order: &VersionOrder) -> Call {
        let body = serde_json::to_vec(order).unwrap_or_default();
        Call { method: Method::PUT, path: ORDER_PATH.to_string(), body: body.into() }
    }

    fn report(&self) -> Call {
        Call { method: Method::GET, path: REPORT_PATH.to_string(), body: Bytes::new() }
    }

    fn read_report(&self, body: &[u8]) -> Option<EngineReport> {
        serde_json::from_slice(body).ok()
    }
}
