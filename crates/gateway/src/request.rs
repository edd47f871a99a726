//! Client requests.

use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::work::{Work, WorkDigest};
use saddlerelay_upstream::{HeaderNames, OutgoingRequest};
use std::time::Duration;

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// Hop-by-hop headers that hyper defines no constant for.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// A request without its body.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request ID; empty if the client sent none.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The `Host` header.
    pub host: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The client's timeout from its deadline header.
    pub deadline: Option<Duration>,
    /// Arrival time, in the relay's monotonic time.
    pub arrived_at: Duration,
    /// The authenticated caller; `Anyone` until the key is checked.
    pub caller: Caller,
}

impl ClientRequest {
    /// Parses a request's head.
    pub fn new(head: Parts, names: &HeaderNames, arrived_at: Duration) -> Self {
        let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let id = text(&names.request_id).to_string();
        let host = text(&HOST).to_string();
        let deadline = text(&names.deadline).parse().ok().map(Duration::from_millis);
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        let uri = path_and_query(head.uri);
        let caller = Caller::Anyone;
        Self { id, method: head.method, uri, host, headers, deadline, arrived_at, caller }
    }

    /// The path.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// The digest of the work asked for; independent of the request ID.
    pub fn work_digest(&self, body: &[u8]) -> WorkDigest {
        let path = self.uri.path_and_query().map_or(self.path(), |path| path.as_str());
        let (caller, method, host) = (&self.caller, self.method.as_str(), self.host.as_str());
        WorkDigest::of(&Work { caller, method, host, path, body })
    }

    /// The request as forwarded to engines.
    pub fn outgoing(&self, body: Bytes) -> OutgoingRequest {
        let mut headers = self.headers.clone();
        headers.remove(CONTENT_LENGTH);
        OutgoingRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers,
            body,
            request_id: self.id.clone(),
        }
    }
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

/// Reduces an absolute-form target to its path and query.
fn path_and_query(uri: Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or(uri)
}
