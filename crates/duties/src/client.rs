//! Makes calls to the platform.

use crate::dialect::PlatformCall;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use saddlerelay_upstream::Failure;
use saddlerelay_upstream::connection::Connection;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Reaches the platform.
#[allow(async_fn_in_trait)]
pub trait PlatformClient: 'static {
    /// Makes a call within `limit` and returns the answer's status. `may_send` is asked immediately before the first byte.
    async fn call(
        &self,
        call: PlatformCall,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<StatusCode, Failure>;
}

/// A platform that is reached over HTTP. Calls are few, so each has a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    /// Where it listens.
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
            let mut connection = Connection::open(self.address, CONNECT_LIMIT).await?;
            if !may_send() {
                return Err(Failure::NotSent("the right to act has ended".to_string()));
            }
            let (head, body) = connection.send(request).await?.into_parts();
            let read = Limited::new(body, ANSWER_BYTES).collect().await;
            read.map_err(|error| Failure::MayHaveRun(format!("the answer broke off: {error}")))?;
            Ok(head.status)
        };
        let ended = compio::time::timeout(limit, exchange).await;
        ended.unwrap_or_else(|_| Err(Failure::MayHaveRun("no answer in time".to_string())))
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
