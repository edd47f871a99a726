//! A client's request as the gateway takes it.

use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::work::{Work, WorkDigest};
use saddlerelay_upstream::{HeaderNames, Outgoing};
use std::time::Duration;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// Further ones without a constant of their own.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// A request, without its body.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its identifier; empty if it has none.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The host that it asks for.
    pub host: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// How long the client will wait, if it says so.
    pub deadline: Option<Duration>,
    /// When it arrived, by the relay's clock.
    pub arrived_at: Duration,
    /// Who makes it, once its key has been checked.
    pub caller: Caller,
}

impl ClientRequest {
    /// Takes a request's head.
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

    /// What it asks for, whatever its identifier.
    pub fn work_digest(&self, body: &[u8]) -> WorkDigest {
        let path = self.uri.path_and_query().map_or(self.path(), |path| path.as_str());
        let (caller, method, host) = (&self.caller, self.method.as_str(), self.host.as_str());
        WorkDigest::of(&Work { caller, method, host, path, body })
    }

    /// The request as it goes on to an engine.
    pub fn outgoing(&self, body: Bytes) -> Outgoing {
        let mut headers = self.headers.clone();
        headers.remove(CONTENT_LENGTH);
        Outgoing { method: self.method.clone(), uri: self.uri.clone(), headers, body, request_id: self.id.clone() }
    }
}

/// Removes the headers that concern one connection only, those that `Connection` names among them.
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

/// Requests name their target by path; one in absolute form is cut down to it.
fn path_and_query(uri: Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or(uri)
}
