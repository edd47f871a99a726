//! What clients receive when a listener's limits are met.

use compio::net::TcpListener;
use hyper::{Request, StatusCode};
use saddlerelay_http::body::{BodyError, Reply, full_reply};
use saddlerelay_http::limits::{ConnectionLimits, ListenerLimits};
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Memory for all clients, in bytes.
const MEMORY_BYTES: usize = 400_000;

/// A body that counts as large; two do not fit in the memory.
const LARGE_BYTES: usize = 200_000;

/// Limit for a response; only a hang reaches it.
const HANG_LIMIT: Duration = Duration::from_secs(20);

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: 2_000,
    max_body_bytes: 1_000_000,
    head_timeout: Duration::from_millis(300),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(10),
};

/// Returns the length of the body, or the error as a status.
struct Length;

impl HttpHandler for Length {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        match request.into_body().read().await {
            Ok(body) => full_reply(StatusCode::OK, "text/plain", format!("length {}", body.len())),
            Err(BodyError::TooLarge) => full_reply(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", ""),
            Err(BodyError::NoMemory) => full_reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", ""),
            Err(_) => full_reply(StatusCode::BAD_REQUEST, "text/plain", ""),
        }
    }
}

/// Runs `client` on a thread of its own against a server with [`LIMITS`] and `max_connections`.
fn with_server(max_connections: usize, client: impl FnOnce(SocketAddr) + Send + 'static) {
    let runtime = compio::runtime::Runtime::new().expect("failed to create a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        let limits = ListenerLimits::fixed(LIMITS, max_connections);
        let manager = OverloadManager::new(MEMORY_BYTES);
        compio::runtime::spawn(serve_until(listener, Rc::new(Length), limits, manager, Shutdown::default())).detach();
        let client = std::thread::spawn(move || client(address));
        while !client.is_finished() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        client.join().expect("the client failed");
    });
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("failed to connect");
    stream.set_read_timeout(Some(HANG_LIMIT)).expect("the socket takes a timeout");
    stream
}

fn head(length: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: here\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")
}

/// Sends a body and reads the response to its end; an error if the connection is reset before.
fn post(address: SocketAddr, length: usize) -> std::io::Result<String> {
    let mut stream = connect(address);
    stream.write_all(head(length).as_bytes())?;
    stream.write_all(&vec![b'x'; length])?;
    read(&mut stream)
}

fn read(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

fn assert_status(response: std::io::Result<String>, status: u16) {
    let response = response.expect("the response did not arrive");
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
}

#[test]
fn a_refusal_arrives_although_the_body_is_not_read() {
    with_server(10, |address| assert_status(post(address, 20_000_000), 413));
}

#[test]
fn a_head_over_the_limit_is_refused_in_one_piece_and_without_end() {
    with_server(10, |address| {
        let mut stream = connect(address);
        let filler = "x".repeat(3_000);
        stream.write_all(format!("GET / HTTP/1.1\r\nfiller: {filler}\r\n\r\n").as_bytes()).expect("failed to send");
        let mut response = [0; 12];
        stream.read_exact(&mut response).expect("the response did not arrive");
        assert_eq!(&response, b"HTTP/1.1 431");
        let mut endless = connect(address);
        endless.write_all(b"GET / HTTP/1.1\r\nfiller: ").expect("failed to send");
        for _ in 0..10 {
            endless.write_all(filler.as_bytes()).expect("the server does not reset the connection");
        }
        assert_status(read(&mut endless), 431);
    });
}

#[test]
fn a_head_that_stops_is_answered_and_closed() {
    with_server(10, |address| {
        let mut stream = connect(address);
        stream.write_all(b"GET / HTTP/1.1\r\nhost: here\r\n").expect("failed to send");
        assert_status(read(&mut stream), 408);
    });
}

#[test]
fn a_stalled_body_gives_way_and_small_requests_pass_beside_it() {
    with_server(10, |address| {
        let mut stalled = connect(address);
        stalled.write_all(head(LARGE_BYTES).as_bytes()).expect("failed to send");
        stalled.write_all(&[b'x'; 1_000]).expect("failed to send");
        assert_status(post(address, 1_000), 200);
        // The stalled body has made no progress for less than a second, at first.
        let statuses: Vec<String> = std::iter::from_fn(|| Some(post(address, LARGE_BYTES).expect("no response")))
            .inspect(|_| std::thread::sleep(Duration::from_millis(50)))
            .take_while(|response| !response.starts_with("HTTP/1.1 200"))
            .collect();
        assert!(statuses.iter().all(|response| response.starts_with("HTTP/1.1 503")), "{statuses:?}");
        assert_status(read(&mut stalled), 503);
    });
}

#[test]
fn a_single_body_beyond_the_memory_is_served() {
    with_server(10, |address| assert_status(post(address, 2 * MEMORY_BYTES), 200));
}

#[test]
fn memory_is_given_back() {
    with_server(10, |address| (0..10).for_each(|_| assert_status(post(address, LARGE_BYTES), 200)));
}

#[test]
fn a_connection_that_rests_gives_way_to_a_new_one() {
    with_server(2, |address| {
        let mut resting = connect(address);
        let _younger = connect(address);
        assert_status(post(address, 10), 200);
        assert_eq!(resting.read(&mut [0]).expect("the connection is closed in order"), 0);
    });
}

#[test]
fn a_client_that_waits_for_100_continue_gets_it_only_if_its_body_is_read() {
    with_server(10, |address| {
        let request = |length: usize| {
            let mut stream = connect(address);
            let head = format!(
                "POST / HTTP/1.1\r\nhost: here\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).expect("failed to send");
            let mut start = [0; 12];
            stream.read_exact(&mut start).expect("the response did not arrive");
            String::from_utf8_lossy(&start).into_owned()
        };
        assert_eq!(request(10), "HTTP/1.1 100");
        assert_eq!(request(2_000_000), "HTTP/1.1 413");
    });
}
