//! A server that closes still answers whoever has reached it.

use compio::net::TcpListener;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use saddlerelay_http::body::{Reply, whole};
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Ends a test that hangs.
const LIMIT: Duration = Duration::from_secs(5);

struct Hello;

impl HttpHandler for Hello {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        whole(StatusCode::OK, "text/plain", "hello")
    }
}

/// A client on a thread of its own: connects, waits, asks, and tells what it read.
fn client(address: SocketAddr, pause: Duration) -> Receiver<std::io::Result<String>> {
    let (told, answer) = channel();
    std::thread::spawn(move || {
        let ask = || {
            let mut stream = TcpStream::connect(address)?;
            std::thread::sleep(pause);
            stream.write_all(b"GET / HTTP/1.1\r\nhost: here\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        // The test may have ended.
        let _ = told.send(ask());
    });
    answer
}

/// Lets the server run until the client has its answer.
async fn assert_answered(answer: Receiver<std::io::Result<String>>) {
    let read = loop {
        match answer.try_recv() {
            Ok(read) => break read,
            Err(_) => compio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let text = read.expect("it was answered");
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("hello"), "{text}");
}

async fn start() -> (SocketAddr, Shutdown) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let shutdown = Shutdown::default();
    compio::runtime::spawn(serve_until(listener, Rc::new(Hello), shutdown.clone())).detach();
    (address, shutdown)
}

fn block_on(test: impl Future<Output = ()>) {
    let ended = compio::runtime::Runtime::new().expect("a runtime").block_on(compio::time::timeout(LIMIT, test));
    ended.expect("the test hangs");
}

#[test]
fn a_request_that_follows_its_connection_while_the_server_closes_is_answered() {
    block_on(async {
        let (address, shutdown) = start().await;
        let answer = client(address, Duration::from_millis(120));
        // The connection stands, and the request is on its way.
        compio::time::sleep(Duration::from_millis(60)).await;
        assert!(shutdown.close(LIMIT).await, "a connection stayed open");
        assert_answered(answer).await;
    });
}

#[test]
fn a_connection_that_comes_while_a_closing_server_stands_still_is_answered() {
    for _ in 0..20 {
        block_on(async {
            let (address, shutdown) = start().await;
            compio::time::sleep(Duration::from_millis(5)).await;
            let closing = shutdown.clone();
            let closed = compio::runtime::spawn(async move { closing.close(LIMIT).await });
            // The server looks for connections; the machine gives it no time, and one comes.
            compio::time::sleep(Duration::from_millis(5)).await;
            let answer = client(address, Duration::ZERO);
            std::thread::sleep(Duration::from_millis(60));
            assert_answered(answer).await;
            assert!(closed.await.expect("it ends"), "a connection stayed open");
        });
    }
}
