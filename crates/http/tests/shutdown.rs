//! A server that shuts down must still answer connections that reached it.

use bytes::Bytes;
use compio::net::TcpListener;
use futures::channel::mpsc;
use hyper::{Request, StatusCode};
use saddlerelay_http::body::{Reply, full_reply, streamed_reply};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of [`Shutdown::close`] where requests outlast it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a client waits for the next byte of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

struct Hello;

impl HttpHandler for Hello {
    async fn handle(self: Rc<Self>, _request: Request<RequestBody>) -> Reply {
        full_reply(StatusCode::OK, "text/plain", "hello")
    }
}

/// Reads the request whole and never completes its response. Streams one event below `/stream`.
#[derive(Default)]
struct Endless {
    streams: RefCell<Vec<mpsc::UnboundedSender<Bytes>>>,
}

impl HttpHandler for Endless {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let is_stream = request.uri().path() == "/stream";
        request.into_body().read().await.expect("the body broke off");
        if !is_stream {
            std::future::pending::<()>().await;
        }
        let (sender, events) = mpsc::unbounded();
        sender.unbounded_send(Bytes::from_static(b"data: first\n\n")).expect("the stream has ended");
        self.streams.borrow_mut().push(sender);
        streamed_reply("text/event-stream", events)
    }
}

/// Runs a client on another thread: connects, waits for `pause`, sends a request and returns the response text.
fn client(address: SocketAddr, pause: Duration) -> Receiver<std::io::Result<String>> {
    client_sending(address, pause, "GET / HTTP/1.1\r\nhost: here\r\n\r\n")
}

/// Like [`client`], with the bytes to send.
fn client_sending(address: SocketAddr, pause: Duration, sent: &'static str) -> Receiver<std::io::Result<String>> {
    let (result_sender, result) = channel();
    std::thread::spawn(move || {
        let request = || {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(READ_TIMEOUT))?;
            std::thread::sleep(pause);
            stream.write_all(sent.as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        // The test may have ended.
        let _ = result_sender.send(request());
    });
    result
}

/// Runs the server until the client has received all that it gets, up to the end of its connection.
async fn received(result: Receiver<std::io::Result<String>>) -> String {
    let read = loop {
        match result.try_recv() {
            Ok(read) => break read,
            Err(_) => compio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    read.expect("the client received no response")
}

/// Runs the server until the client has received its response.
async fn assert_answered(result: Receiver<std::io::Result<String>>) {
    let text = received(result).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("hello"), "{text}");
}

async fn start() -> (SocketAddr, Shutdown) {
    start_with(Hello).await
}

async fn start_with(handler: impl HttpHandler) -> (SocketAddr, Shutdown) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let shutdown = Shutdown::default();
    compio::runtime::spawn(serve_until(
        listener,
        Rc::new(handler),
        ListenerLimits::default(),
        OverloadManager::default(),
        shutdown.clone(),
    ))
    .detach();
    (address, shutdown)
}

fn block_on(test: impl Future<Output = ()>) {
    let outcome = compio::runtime::Runtime::new()
        .expect("failed to create a runtime")
        .block_on(compio::time::timeout(TEST_TIMEOUT, test));
    outcome.expect("test timed out");
}

#[test]
fn a_request_sent_during_shutdown_on_an_accepted_connection_is_answered() {
    block_on(async {
        let (address, shutdown) = start().await;
        let result = client(address, Duration::from_millis(120));
        // The connection is established; its request is sent after the shutdown has begun.
        compio::time::sleep(Duration::from_millis(60)).await;
        assert!(shutdown.close(TEST_TIMEOUT).await, "a connection stayed open");
        assert_answered(result).await;
    });
}

#[test]
fn a_connection_in_the_backlog_of_a_stalled_server_is_answered_during_shutdown() {
    for _ in 0..20 {
        block_on(async {
            let (address, shutdown) = start().await;
            compio::time::sleep(Duration::from_millis(5)).await;
            let closing = shutdown.clone();
            let closed = compio::runtime::spawn(async move { closing.close(TEST_TIMEOUT).await });
            // The server drains its backlog. Blocking its thread delays it while a client connects.
            compio::time::sleep(Duration::from_millis(5)).await;
            let result = client(address, Duration::ZERO);
            std::thread::sleep(Duration::from_millis(60));
            assert_answered(result).await;
            assert!(closed.await.expect("the shutdown task panicked"), "a connection stayed open");
        });
    }
}

/// Sends `request` to a server that never completes a response, lets the shutdown time out, and returns what the client
/// receives.
async fn received_at_timeout(request: &'static str) -> String {
    let (address, shutdown) = start_with(Endless::default()).await;
    let result = client_sending(address, Duration::ZERO, request);
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(!shutdown.close(CLOSE_TIMEOUT).await, "a request that is never answered counts as completed");
    received(result).await
}

// Guards against requests that were passed on being cut without a response when the time of a planned stop is over.
#[test]
fn a_request_in_progress_when_the_shutdown_times_out_is_answered_as_possibly_executed() {
    block_on(async {
        let text = received_at_timeout("POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 2\r\n\r\nhi").await;
        assert!(text.starts_with("HTTP/1.1 504") && text.contains("connection: close"), "{text}");
        assert!(!text.contains("retry-after"), "the request may have run: {text}");
    });
}

// Guards against requests whose body is not complete being cut without a response at the end of a planned stop.
#[test]
fn a_request_whose_body_is_incomplete_when_the_shutdown_times_out_is_answered_as_not_executed() {
    block_on(async {
        let text = received_at_timeout("POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 2\r\n\r\nh").await;
        assert!(text.starts_with("HTTP/1.1 503") && text.contains("connection: close"), "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    });
}

// Guards against streams that outlast a planned stop ending like complete ones, or not at all.
#[test]
fn a_stream_in_progress_when_the_shutdown_times_out_ends_incomplete() {
    block_on(async {
        let text = received_at_timeout("GET /stream HTTP/1.1\r\nhost: here\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.contains("data: first"), "{text}");
        assert!(!text.ends_with("0\r\n\r\n"), "the stream ended like a complete one: {text}");
    });
}
