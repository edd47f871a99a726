//! One connection to an engine.

use crate::answer::Failure;
use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use saddlerelay_runtime_compio::clock::boot_time;
use std::net::SocketAddr;
use std::time::Duration;

/// An engine that acknowledges no byte for so long is given up, in milliseconds. A cut link tells nobody.
const ENGINE_SILENCE_MS: u32 = 1_500;

/// A connection that carries one request at a time. Dropping it closes it, whatever it was doing.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Moves the bytes; dropping it closes the socket.
    _driver: JoinHandle<()>,
    /// Requests sent on it before.
    used: bool,
    /// When the answer before was whole, since the machine's start: the engine's time goes on while this machine is
    /// suspended.
    rested_at: Duration,
    /// The engine may close it at any moment from then on.
    expires_at: Duration,
}

impl Connection {
    /// Connects within `limit`; a failure proves that nothing was sent.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let connecting = compio::time::timeout(limit, TcpStream::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Err(_) => return Err(Failure::NotSent("the connect limit is over".to_string())),
        };
        let options = stream
            .set_nodelay(true)
            .and_then(|()| Ok(rustix::net::sockopt::set_tcp_user_timeout(&stream, ENGINE_SILENCE_MS)?));
        options.map_err(|error| Failure::NotSent(error.to_string()))?;
        let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
        let (sender, driver) = handshake.map_err(|error| Failure::NotSent(error.to_string()))?;
        let driver = compio::runtime::spawn(async move {
            // Its error reaches the request that waits for an answer.
            let _ = driver.await;
        });
        let now = boot_time();
        Ok(Self { sender, _driver: driver, used: false, rested_at: now, expires_at: now })
    }

    /// Whether it has carried a request before; the engine may have closed it since.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether it can be expected to take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && boot_time() < self.expires_at
    }

    /// How long it has rested since its last answer.
    pub fn rest_time(&self) -> Duration {
        boot_time().saturating_sub(self.rested_at)
    }

    /// Notes that a whole answer was read, after which the engine keeps it open for `idle`.
    pub fn rest(&mut self, idle: Duration) {
        self.used = true;
        self.rested_at = boot_time();
        self.expires_at = self.rested_at + idle;
    }

    /// Whether the answer before has left it clean.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                // A request that comes back was never begun.
                Some(_) => Err(Failure::NotSent(error.into_error().to_string())),
                None => Err(Failure::ConnectionLost(error.into_error().to_string())),
            },
        }
    }
}
