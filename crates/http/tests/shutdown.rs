//! A server that shuts down must still answer connections that reached it.

use compio::net::TcpListener;
use hyper::{Request, StatusCode};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

struct Hello;

impl HttpHandler for Hello {
    async fn handle(self: Rc<Self>, _request: Request<RequestBody>) -> Reply {
        full_reply(StatusCode::OK, "text/plain", "hello")
    }
}

/// Runs a client on another thread: connects, waits for `pause`, sends a request and returns the response text.
fn client(address: SocketAddr, pause: Duration) -> Receiver<std::io::Result<String>> {
    let (result_sender, result) = channel();
    std::thread::spawn(move || {
        let request = || {
            let mut stream = TcpStream::connect(address)?;
            std::thread::sleep(pause);
            stream.write_all(b"GET / HTTP/1.1\r\nhost: here\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        // The test may have ended.
        let _ = result_sender.send(request());
    });
    result
}

/// Runs the server until the client has received its response.
async fn assert_answered(result: Receiver<std::io::Result<String>>) {
    let read = loop {
        match result.try_recv() {
            Ok(read) => break read,
            Err(_) => compio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let text = read.expect("the client received no response");
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("hello"), "{text}");
}

async fn start() -> (SocketAddr, Shutdown) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let shutdown = Shutdown::default();
    compio::runtime::spawn(serve_until(
        listener,
        Rc::new(Hello),
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
