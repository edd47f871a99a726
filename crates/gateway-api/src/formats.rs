//! What calls look like on the wire.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use saddlerelay_types::gateway::GatewayRequest;
use saddlerelay_types::job::{ItemId, JobId, JobSubmission, ResultPage};
use saddlerelay_upstream::HeaderNames;
use std::net::SocketAddr;

/// A call to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontCall {
    /// One about a batch job.
    Job(JobCall),
    /// A request for a route; on a route of batch jobs, a job that is handed in.
    Routed,
}

/// A call about a batch job that was handed in before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads a job's results from a position on, waiting for one for at most so many milliseconds.
    ReadResults {
        /// The job.
        job: JobId,
        /// The first position wanted.
        after: u64,
        /// Milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item that is not listed.
    ReadBody {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// Ends a job.
    End(JobId),
}

/// A call to a machine that serves control.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// One that changes something.
    Change(GatewayRequest),
    /// One that reads.
    Read(GatewayRequest),
}

/// Why a call cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnreadableCall {
    /// There is no such call.
    Unknown,
    /// Its body cannot be read; the text says why.
    Malformed(String),
}

/// The names and formats of one interface.
pub trait Formats: 'static {
    /// The headers that clients and engines use.
    fn header_names(&self) -> HeaderNames;
    /// What a client asks for.
    fn front_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> FrontCall;
    /// Reads a job with this identifier, sent to this host and path; the error says what cannot be read.
    fn read_job(&self, id: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSubmission, String>;
    /// Writes a part of a job's results.
    fn write_page(&self, page: &ResultPage) -> Vec<u8>;
    /// What an operator, a trainer or an engine asks for.
    fn control_call(&self, method: &Method, path: &str, body: &Bytes) -> Result<ControlCall, UnreadableCall>;
    /// Writes the answer to an engine's report, with the address for its later ones if it is to keep to one.
    fn write_report_answer(&self, later_at: Option<SocketAddr>) -> Vec<u8>;
    /// Writes how far a machine's retirement is.
    fn write_retirement(&self, completed: bool) -> Vec<u8>;
}

/// The value of a query parameter.
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
