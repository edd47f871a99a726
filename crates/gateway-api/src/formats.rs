//! Wire formats of the HTTP calls.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use saddlerelay_types::gateway::GatewayRequest;
use saddlerelay_types::job::{ItemId, JobId, JobSubmission, ResultPage};
use saddlerelay_upstream::HeaderNames;
use std::net::SocketAddr;

/// A client's call to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientCall {
    /// A call about an existing batch job.
    Job(JobCall),
    /// A request to be routed to an engine or, on a rollout route, the submission of a batch job.
    Routed,
}

/// A call about an existing batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Long-polls a job's results.
    ReadResults {
        /// The job whose results are read.
        job: JobId,
        /// The position to read from.
        after: u64,
        /// How long to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item that has no result yet.
    ReadBody {
        /// The job that contains the item.
        job: JobId,
        /// The item whose body is read.
        item: ItemId,
    },
    /// Cancels a job.
    End(JobId),
}

/// A call to a coordinator's control endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A call that changes state.
    Change(GatewayRequest),
    /// A read-only call.
    Read(GatewayRequest),
}

/// Why a call cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecodeError {
    /// No endpoint has this method and path.
    Unknown,
    /// The body is invalid; contains the reason.
    Malformed(String),
}

/// The header names, paths and body formats of one HTTP interface.
pub trait Formats: 'static {
    /// The headers that clients and engines use.
    fn header_names(&self) -> HeaderNames;
    /// Classifies a client's request to a gateway.
    fn client_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> ClientCall;
    /// Decodes a job submission; `id`, `host` and `path` come from the request that carried it. The error contains the reason.
    fn read_job(&self, id: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSubmission, String>;
    /// Encodes a page of a job's results.
    fn write_page(&self, page: &ResultPage) -> Vec<u8>;
    /// Whether a call to a coordinator is an engine's report, which is small.
    fn is_report(&self, method: &Method, path: &str) -> bool;
    /// Decodes a call of an operator, a trainer or an engine.
    fn control_call(&self, method: &Method, path: &str, body: &Bytes) -> Result<ControlCall, CallDecodeError>;
    /// Encodes the response to an engine's report; `report_to` is the address for its later reports, if one is assigned.
    fn write_report_response(&self, report_to: Option<SocketAddr>) -> Vec<u8>;
    /// Encodes whether the retirement of a machine has completed.
    fn write_retirement(&self, completed: bool) -> Vec<u8>;
}

/// The value of a query parameter.
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
