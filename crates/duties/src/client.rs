//! HTTP client for the platform.

use crate::format::PlatformCall;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use saddlerelay_control::config::ORDER_DELIVERY_LIMIT;
use saddlerelay_upstream::Failure;
use saddlerelay_upstream::connection::Connection;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum response body size.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Transport for calls to the platform.
#[allow(async_fn_in_trait)]
pub trait PlatformClient: 'static {
    /// Makes a call with timeout `limit` and returns the response status. `may_send` is checked after the connection is
    /// open, immediately before the request is written; if it returns false, the request is not sent.
    async fn call(
        &self,
        call: PlatformCall,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<StatusCode, Failure>;
}

/// A platform reached over HTTP. Each call opens its own connection, as calls are infrequent.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    /// The platform's listening address.
    pub address: SocketAddr,
}

impl PlatformClient for HttpPlatform {
    async fn call(
        &self,
        call: PlatformCall,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<StatusCode, Failure> {
        let request = self.request(call)?;
        let exchange = async {
            let mut connection = Connection::open(self.address, CONNECT_TIMEOUT).await?;
            connection.limit_delivery(ORDER_DELIVERY_LIMIT)?;
            if !may_send() {
                return Err(Failure::NotSent("the grant for this call is no longer valid".to_string()));
            }
            let (head, body) = connection.send(request).await?.into_parts();
            let read = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            read.map_err(|error| Failure::PossiblyExecuted(format!("the response body could not be read: {error}")))?;
            connection.end_request();
            Ok(head.status)
        };
        let result = compio::time::timeout(limit, exchange).await;
        result.unwrap_or_else(|_| {
            Err(Failure::PossiblyExecuted("the platform did not respond within the timeout".to_string()))
        })
    }
}

impl HttpPlatform {
    fn request(&self, call: PlatformCall) -> Result<Request<Full<Bytes>>, Failure> {
        let invalid = |error: &dyn std::fmt::Display| Failure::NotSent(error.to_string());
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|error| invalid(&error))?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(|error| invalid(&error))?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }
}
