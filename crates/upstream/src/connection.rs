//! A connection to an engine.

use crate::driver::Driver;
use crate::limits::MAX_HEAD_BYTES;
use crate::response::Failure;
use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use saddlerelay_http::server_stream::{HeadLimit, ServerStream};
use saddlerelay_runtime_compio::clock::boot_time;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// `TCP_USER_TIMEOUT` in milliseconds: closes connections over broken links, on which no reset arrives.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// Time from a send to its first regular retransmission, from which the kernel counts the user timeout (Linux: a tail
/// loss probe after at least 200 ms, then a retransmission after as long again).
const FIRST_RETRANSMISSION_DELAY: Duration = Duration::from_millis(400);

/// A connection that carries one request at a time. Dropping it closes the socket. During a request it is reset, also
/// if the process is killed, so that the kernel does not go on sending a request that nobody waits for.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    socket: TcpStream,
    driver: Driver,
    head_limit: HeadLimit,
    /// Task that runs the driver.
    _task: JoinHandle<()>,
    /// Whether it has carried a request before.
    used: bool,
    /// End of the previous response, in boot time, which includes the time that this machine is suspended.
    idle_since: Duration,
    /// End of the keep-alive time, in boot time; the engine may close the connection afterwards.
    expires_at: Duration,
}

impl Connection {
    /// Connects within `timeout`. A failure means that nothing was sent.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let connecting = compio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Err(_) => return Err(Failure::NotSent("connect timed out".to_string())),
        };
        let options = stream.set_nodelay(true).and_then(|()| Ok(set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)?));
        options.map_err(|error| Failure::NotSent(error.to_string()))?;
        let socket = stream.clone();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (stream, head_limit) = ServerStream::new(stream);
        let handshake = builder.handshake(stream).await;
        let (sender, io) = handshake.map_err(|error| Failure::NotSent(error.to_string()))?;
        let driver = Driver::new(io);
        let task = compio::runtime::spawn(driver.clone().run());
        let now = boot_time();
        Ok(Self { sender, socket, driver, head_limit, _task: task, used: false, idle_since: now, expires_at: now })
    }

    /// Whether it has carried a request before.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether it is open and within its keep-alive time.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && boot_time() < self.expires_at
    }

    /// Time since the end of the previous response.
    pub fn idle_time(&self) -> Duration {
        boot_time().saturating_sub(self.idle_since)
    }

    /// Makes the kernel reset the connection if the peer has not acknowledged a request within `limit`, also while this
    /// process is paused. Time in which the machine is suspended does not count.
    pub fn limit_delivery(&self, limit: Duration) -> Result<(), Failure> {
        let user_timeout = limit.saturating_sub(FIRST_RETRANSMISSION_DELAY).max(Duration::from_millis(1));
        let user_timeout_ms = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
        set_tcp_user_timeout(&self.socket, user_timeout_ms).map_err(|error| Failure::NotSent(error.to_string()))
    }

    /// Ends the request after a complete response: the connection is closed in order from now on.
    pub fn end_request(&self) {
        // A socket that rejects the option has failed, and is closed by the next use.
        let _ = set_socket_linger(&self.socket, None);
    }

    /// Waits for the end of a connection whose last response ends with it; fails if the connection was reset.
    pub async fn closed_in_order(&self) -> Result<(), Failure> {
        match self.driver.ended().await {
            Ok(()) => Ok(()),
            // The engine closed the connection before it had read the whole request. A reset socket has no peer any more.
            Err(error) if error.is_incomplete_message() && self.socket.peer_addr().is_ok() => Ok(()),
            Err(error) => Err(Failure::ConnectionLost(format!("connection broke off: {error}"))),
        }
    }

    /// Marks the connection idle after a complete response; it may be reused for `idle_timeout`.
    pub fn mark_idle(&mut self, idle_timeout: Duration) {
        self.end_request();
        self.used = true;
        self.idle_since = boot_time();
        self.expires_at = self.idle_since + idle_timeout;
    }

    /// Whether it can carry the next request; waits until the previous exchange has completed.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the response once its head has arrived. The first bytes are written before this
    /// future yields for the first time: what the caller has checked immediately before still holds.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        set_socket_linger(&self.socket, Some(Duration::ZERO)).map_err(|error| Failure::NotSent(error.to_string()))?;
        self.head_limit.begin();
        let mut response = pin!(self.sender.try_send_request(request));
        let mut is_driven = false;
        let response = poll_fn(|context| {
            let polled = response.as_mut().poll(context);
            if is_driven || polled.is_ready() {
                return polled;
            }
            is_driven = true;
            self.driver.write_now(context);
            response.as_mut().poll(context)
        });
        match response.await {
            Ok(response) => {
                self.head_limit.end();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                // hyper returns the message only if it has not begun to send it.
                Some(_) => Err(Failure::NotSent(error.into_error().to_string())),
                None => Err(Failure::ConnectionLost(error.into_error().to_string())),
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.close();
    }
}
