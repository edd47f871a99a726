//! A connection whose response is complete is closed in order: a reset would tell the peer that the call was given up.

mod common;

use common::order;
use saddlerelay_upstream::Reuse;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const KEPT_OPEN: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\ncontent-length: 2\r\n\r\nok";

const CLOSED: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";

/// Responds to one request; returns how the connection ended.
fn serve(response: &'static str) -> (SocketAddr, JoinHandle<Result<usize, ErrorKind>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the caller connects");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let mut buffer = [0; 4096];
        let mut request = Vec::new();
        while !request.ends_with(b"load") {
            let count = stream.read(&mut buffer).expect("the request arrives");
            request.extend_from_slice(&buffer[..count]);
        }
        stream.write_all(response.as_bytes()).expect("the caller reads");
        stream.read(&mut buffer).map_err(|error| error.kind())
    });
    (address, server)
}

/// Guards against control calls that end in a reset although they have completed.
#[test]
fn a_completed_control_call_is_closed_in_order() {
    let (address, server) = serve(KEPT_OPEN);
    let (pool, target, request) = order(address, TEST_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let response = runtime.block_on(pool.call(&target, &request, TEST_TIMEOUT, || true));
    assert_eq!(response.expect("the server responds").1, "ok");
    drop((runtime, pool));
    assert_eq!(server.join().expect("the server ends"), Ok(0), "how the connection ended");
}

fn check_forwarded_request(response: &'static str, streamed: bool) {
    let (address, server) = serve(response);
    let (pool, target, request) = order(address, TEST_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let response = pool.send(&target, &request, Reuse::None, || TEST_TIMEOUT, || true).await;
        let response = response.expect("the server responds");
        if streamed {
            let (_, mut stream) = response.into_stream();
            while let Some(part) = stream.next().await {
                part.expect("the response is whole");
            }
            drop(stream.finish().await);
        } else {
            drop(response.read_body(1 << 16).await.expect("the response is whole"));
        }
    });
    drop((runtime, pool));
    assert_eq!(server.join().expect("the server ends"), Ok(0), "how the connection ended");
}

/// Guards against resets of idle connections that are not reused.
#[test]
fn a_completed_request_is_closed_in_order() {
    check_forwarded_request(KEPT_OPEN, false);
    check_forwarded_request(KEPT_OPEN, true);
}

/// Guards against resets after a response that announces the end of the connection.
#[test]
fn a_completed_request_is_closed_in_order_if_the_engine_will_close() {
    check_forwarded_request(CLOSED, false);
}

/// Guards against resets after a stream that announces the end of the connection.
#[test]
fn a_completed_stream_is_closed_in_order_if_the_engine_will_close() {
    check_forwarded_request(CLOSED, true);
}

/// Guards against resets of streams that were read to their end by a caller that does not reuse the connection.
#[test]
fn a_completed_stream_that_is_dropped_is_closed_in_order() {
    let (address, server) = serve(KEPT_OPEN);
    let (pool, target, request) = order(address, TEST_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let response = pool.send(&target, &request, Reuse::None, || TEST_TIMEOUT, || true).await;
        let (_, mut stream) = response.expect("the server responds").into_stream();
        while let Some(part) = stream.next().await {
            part.expect("the response is whole");
        }
    });
    drop((runtime, pool));
    assert_eq!(server.join().expect("the server ends"), Ok(0), "how the connection ended");
}
