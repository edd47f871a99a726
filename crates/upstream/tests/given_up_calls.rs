//! A call that is given up is taken back as far as it has not reached the peer: the connection is reset, so that the
//! kernel drops the unsent part instead of delivering it later, when another process may act in the caller's place.

use bytes::Bytes;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use saddlerelay_upstream::Failure;
use saddlerelay_upstream::connection::Connection;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the caller gives up.
const PATIENCE: Duration = Duration::from_millis(100);

/// More than the socket buffers of both sides take.
const LARGE_BODY_BYTES: usize = 32 << 20;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    (listener, address)
}

/// Sends a request with a body of `bytes` and gives up on the response.
async fn give_up_call(address: SocketAddr, bytes: usize) {
    let mut connection = Connection::open(address, TEST_TIMEOUT).await.expect("the server listens");
    let body = Full::new(Bytes::from(vec![b'x'; bytes]));
    let request = Request::put("/v1/weights").body(body).expect("the request is valid");
    let outcome = compio::time::timeout(PATIENCE, connection.send(request)).await;
    assert!(outcome.is_err(), "the server sent no response");
}

/// Reads until the connection ends; returns the number of bytes and the error, if it did not end in order.
async fn read_to_end(mut stream: TcpStream) -> (usize, Option<ErrorKind>) {
    let mut total = 0;
    let mut buffer = Vec::with_capacity(1 << 16);
    loop {
        buffer.clear();
        let BufResult(count, read) = stream.read(buffer).await;
        match count {
            Ok(0) => return (total, None),
            Ok(count) => total += count,
            Err(error) => return (total, Some(error.kind())),
        }
        buffer = read;
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async { compio::time::timeout(TEST_TIMEOUT, future).await.expect("the test completes in time") })
}

#[test]
fn giving_up_a_call_resets_its_connection() {
    block_on(async {
        let (listener, address) = listen().await;
        let (accepted, ()) = futures::future::join(listener.accept(), give_up_call(address, 10)).await;
        let (_, end) = read_to_end(accepted.expect("the caller connects").0).await;
        assert_eq!(end, Some(ErrorKind::ConnectionReset));
    });
}

#[test]
fn the_unsent_part_of_a_call_that_is_given_up_does_not_arrive() {
    block_on(async {
        let (listener, address) = listen().await;
        let call = give_up_call(address, LARGE_BODY_BYTES);
        let (accepted, ()) = futures::future::join(listener.accept(), call).await;
        let (bytes, end) = read_to_end(accepted.expect("the caller connects").0).await;
        assert_eq!(end, Some(ErrorKind::ConnectionReset));
        assert!(bytes < LARGE_BODY_BYTES, "the whole request arrived after the caller had given up");
    });
}

#[test]
fn an_idle_connection_is_closed_in_order() {
    block_on(async {
        let (listener, address) = listen().await;
        let call = async {
            let mut connection = Connection::open(address, TEST_TIMEOUT).await.expect("the server listens");
            let request = Request::get("/").body(Full::new(Bytes::new())).expect("the request is valid");
            let response = connection.send(request).await.expect("the server responds");
            response.into_body().collect().await.expect("the response is whole");
            connection.mark_idle(TEST_TIMEOUT);
        };
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("the caller connects");
            stream.read(Vec::with_capacity(1 << 16)).await.0.expect("the request arrives");
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
            stream.write_all(response).await.0.expect("the caller reads");
            stream
        };
        let (stream, ()) = futures::future::join(serve, call).await;
        assert_eq!(read_to_end(stream).await, (0, None));
    });
}

/// Guards against a request that the kernel still delivers after the time in which it may arrive, while the sender is
/// paused and gives nothing up itself.
#[test]
fn the_kernel_gives_up_a_request_that_is_not_acknowledged_in_time() {
    const DELIVERY_LIMIT: Duration = Duration::from_millis(500);
    const GIVEN_UP_WITHIN: Duration = Duration::from_secs(1);
    block_on(async {
        let (listener, address) = listen().await;
        let mut connection = Connection::open(address, TEST_TIMEOUT).await.expect("the server listens");
        connection.limit_delivery(DELIVERY_LIMIT).expect("the connection is open");
        // Accepts the connection and reads nothing.
        let _peer = listener.accept().await.expect("the caller connects");
        let body = Full::new(Bytes::from(vec![b'x'; LARGE_BODY_BYTES]));
        let request = Request::put("/v1/weights").body(body).expect("the request is valid");
        let sent_at = Instant::now();
        let outcome = connection.send(request).await;
        let elapsed = sent_at.elapsed();
        assert!(elapsed < GIVEN_UP_WITHIN, "given up after {elapsed:?}");
        assert!(matches!(outcome, Err(Failure::ConnectionLost(_))), "{:?}", outcome.map(|response| response.status()));
    });
}
