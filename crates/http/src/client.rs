//! HTTP client with one connection per call, so that errors before and after the request was sent are distinguishable.

use crate::body::{BodyError, read_body};
use crate::server_stream::{HeadLimit, MAX_HEAD_BYTES, ServerStream};
use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use std::fmt;
use std::net::SocketAddr;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection could not be established; nothing was sent.
    NotSent(String),
    /// The connection failed later; the server may have received the request.
    Lost(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::Lost(reason) => write!(formatter, "lost: {reason}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// An open connection to a server.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    head_limit: HeadLimit,
}

/// A response with its body buffered.
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr) -> Result<Self, HttpError> {
        let stream = TcpStream::connect(address).await.map_err(|error| HttpError::NotSent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| HttpError::NotSent(error.to_string()))?;
        let (stream, head_limit) = ServerStream::new(stream);
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|error| HttpError::NotSent(error.to_string()))?;
        compio::runtime::spawn(async move {
            // The pending request reports the connection's error.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender, address, head_limit })
    }

    /// Waits until the connection can send another request; `false` if it is closed.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the response with an unread body. `Host` is the server's address unless `headers`
    /// contains one.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut builder = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case(HOST.as_str())) {
            builder = builder.header(HOST, self.address.to_string());
        }
        builder = builder.header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into()));
        let request = request.map_err(|error| HttpError::NotSent(error.to_string()))?;
        self.head_limit.begin();
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|error| HttpError::Lost(error.to_string()))?;
        self.head_limit.end();
        Ok(response)
    }
}

/// Sends one request over a new connection and reads the entire response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<BufferedResponse, HttpError> {
    let mut connection = Connection::open(address).await?;
    let response = connection.send(method, path, headers, body).await?;
    let (head, body) = response.into_parts();
    let body = read_body(body).await.map_err(|error: BodyError| HttpError::Lost(format!("{error:?}")))?;
    Ok(BufferedResponse { status: head.status, headers: head.headers, body })
}
