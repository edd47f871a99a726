//! Engines that break a response off, at each of its bytes: no part of a response may be taken for a whole one. A response
//! without length and chunks is whole if its connection is closed in order after at least one byte of its body.

use bytes::Bytes;
use compio::runtime::Runtime;
use hyper::{HeaderMap, Method};
use rustix::net::sockopt::set_socket_linger;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::{EngineTarget, Failure, HeaderNames, OutgoingRequest, Pool, Reuse};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Last bytes of each request.
const END_OF_REQUEST: &[u8] = b"the end";

/// More than the socket buffers of both sides take.
const LARGE_BODY_BYTES: usize = 32 << 20;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\
    content-length: 12\r\n\r\nhello, world";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\
    transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n";

const CHUNKED_WITH_TRAILER: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\
    transfer-encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nx-trailer: 1\r\n\r\n";

const AFTER_INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\nHTTP/1.1 200 OK\r\n\
    saddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\ncontent-length: 12\r\n\r\nhello, world";

const HTTP_1_0: &str = "HTTP/1.0 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\
    content-length: 12\r\n\r\nhello, world";

const FRAMED: [&str; 5] = [WITH_LENGTH, CHUNKED, CHUNKED_WITH_TRAILER, AFTER_INTERIM, HTTP_1_0];

const UNFRAMED: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\r\nhello, world",
    "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\nconnection: close\r\n\r\nhello, world",
    "HTTP/1.0 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n\r\nhello, world",
];

/// How the engine ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Closes it in order.
    Close,
    /// Resets it, as the kernel does if a process ends that has not read everything.
    Reset,
}

/// How the response is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// As a whole, on a new connection.
    Buffered,
    /// As a whole, on a connection that has carried a whole response before.
    BufferedOnUsedConnection,
    /// As a stream.
    Streamed,
    /// By a control call.
    Control,
}

const KINDS: [Kind; 4] = [Kind::Buffered, Kind::BufferedOnUsedConnection, Kind::Streamed, Kind::Control];

fn read_until(stream: &mut TcpStream, end: &[u8]) {
    let mut buffer = [0; 4_096];
    let mut received = Vec::new();
    while !received.windows(end.len()).any(|window| window == end) {
        let count = stream.read(&mut buffer).expect("the request arrives");
        assert!(count > 0, "the request was broken off");
        received.extend_from_slice(&buffer[..count]);
    }
}

fn end_connection(stream: TcpStream, end: End) {
    if end == End::Reset {
        set_socket_linger(&stream, Some(Duration::ZERO)).expect("the connection is open");
    }
    drop(stream);
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    (listener, address)
}

/// Answers one request on each of `parts.len()` connections with the next of `parts`, after a whole response to a first
/// request on the connection if `first_is_whole` is set.
fn serve_parts(parts: Vec<Vec<u8>>, first_is_whole: bool, end: End) -> (SocketAddr, JoinHandle<()>) {
    let (listener, address) = listen();
    let server = std::thread::spawn(move || {
        for part in parts {
            let (mut stream, _) = listener.accept().expect("the caller connects");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
            if first_is_whole {
                read_until(&mut stream, END_OF_REQUEST);
                stream.write_all(WITH_LENGTH.as_bytes()).expect("the caller reads");
            }
            read_until(&mut stream, END_OF_REQUEST);
            stream.write_all(&part).expect("the caller reads");
            end_connection(stream, end);
        }
    });
    (address, server)
}

fn target(address: SocketAddr) -> EngineTarget {
    EngineTarget { instance: InstanceId::without_start_time("engine-1"), address }
}

fn request(body: Bytes) -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        uri: "/plans/7".parse().expect("the path is valid"),
        headers: HeaderMap::new(),
        body,
        request_id: "r-1".to_string(),
    }
}

fn small_request() -> OutgoingRequest {
    request(Bytes::from_static(END_OF_REQUEST))
}

fn pool() -> Pool {
    Pool::new(Rc::new(HeaderNames::default()), TEST_TIMEOUT)
}

async fn read_buffered(pool: &Pool, target: &EngineTarget, request: &OutgoingRequest) -> Result<Bytes, Failure> {
    let response = pool.send(target, request, Reuse::Any, || TEST_TIMEOUT, || true).await?;
    let (_, body, connection) = response.read_body(1 << 16).await?;
    if let Some(connection) = connection {
        pool.release(target, connection);
    }
    Ok(body)
}

async fn read_streamed(pool: &Pool, target: &EngineTarget, request: &OutgoingRequest) -> Result<Bytes, Failure> {
    let response = pool.send(target, request, Reuse::Any, || TEST_TIMEOUT, || true).await?;
    let (_, mut stream) = response.into_stream();
    let mut body = Vec::new();
    while let Some(part) = stream.next().await {
        body.extend_from_slice(&part?);
    }
    drop(stream.finish().await);
    Ok(body.into())
}

/// Reads a response from an engine; returns the body of a response that counts as whole.
async fn read(kind: Kind, address: SocketAddr) -> Result<Bytes, Failure> {
    let (pool, target, request) = (pool(), target(address), small_request());
    match kind {
        Kind::Buffered => read_buffered(&pool, &target, &request).await,
        Kind::BufferedOnUsedConnection => {
            let first = read_buffered(&pool, &target, &request).await;
            assert_eq!(first.as_deref(), Ok(&b"hello, world"[..]), "the first response is whole");
            read_buffered(&pool, &target, &request).await
        }
        Kind::Streamed => read_streamed(&pool, &target, &request).await,
        Kind::Control => pool.call(&target, &request, TEST_TIMEOUT, || true).await.map(|(_, body)| body),
    }
}

/// Breaks `response` off after each number of bytes in `cuts`; returns what the caller got for each.
fn read_cut(response: &str, cuts: &[usize], kind: Kind, end: End) -> Vec<Result<Bytes, Failure>> {
    let parts = cuts.iter().map(|cut| response.as_bytes()[..*cut].to_vec()).collect();
    let (address, server) = serve_parts(parts, kind == Kind::BufferedOnUsedConnection, end);
    let runtime = Runtime::new().expect("the runtime starts");
    let results = runtime.block_on(async {
        let mut results = Vec::new();
        for _ in cuts {
            let result = compio::time::timeout(TEST_TIMEOUT, read(kind, address)).await;
            results.push(result.expect("the call ends"));
        }
        results
    });
    // A request that was sent again would have taken the connection of the next cut.
    server.join().expect("each connection carried its requests");
    results
}

fn length_of_head(response: &str) -> usize {
    response.find("\r\n\r\n").expect("the response has a head") + 4
}

fn assert_possibly_executed(result: &Result<Bytes, Failure>, case: &str) {
    match result {
        Err(Failure::PossiblyExecuted(_) | Failure::ConnectionLost(_)) => {}
        Err(Failure::NotSent(reason)) => panic!("{case}: reported as not sent: {reason}"),
        Ok(body) => panic!("{case}: taken as whole: {:?}", String::from_utf8_lossy(body)),
    }
}

fn cut_of(response: &str, cut: usize) -> String {
    format!("{:?}", &response[..cut])
}

/// Guards against a response that appears whole although its engine stopped in its head, its body or its trailers.
#[test]
fn no_part_of_a_framed_response_is_taken_as_whole() {
    for response in FRAMED {
        let cuts: Vec<usize> = (0..response.len()).collect();
        for kind in KINDS {
            for end in [End::Close, End::Reset] {
                for (cut, result) in cuts.iter().zip(read_cut(response, &cuts, kind, end)) {
                    assert_possibly_executed(&result, &format!("{kind:?}, {end:?}, {}", cut_of(response, *cut)));
                }
            }
        }
    }
}

/// Guards against a response without length and chunks that appears whole although its engine stopped in its head.
#[test]
fn no_part_of_the_head_of_an_unframed_response_is_taken_as_whole() {
    for response in UNFRAMED {
        let cuts: Vec<usize> = (0..length_of_head(response)).collect();
        for kind in KINDS {
            for end in [End::Close, End::Reset] {
                for (cut, result) in cuts.iter().zip(read_cut(response, &cuts, kind, end)) {
                    assert_possibly_executed(&result, &format!("{kind:?}, {end:?}, {}", cut_of(response, *cut)));
                }
            }
        }
    }
}

/// Guards against a response without length and chunks that appears whole and empty although its engine stopped between
/// its head and its body.
#[test]
fn an_unframed_response_that_ends_with_its_head_is_not_taken_as_whole() {
    for response in UNFRAMED {
        let cut = length_of_head(response);
        for kind in [Kind::Buffered, Kind::BufferedOnUsedConnection, Kind::Streamed] {
            let results = read_cut(response, &[cut], kind, End::Close);
            assert_possibly_executed(&results[0], &format!("{kind:?}, {}", cut_of(response, cut)));
        }
    }
}

/// Guards against a response without length and chunks that appears whole although its connection was reset.
#[test]
fn an_unframed_response_whose_connection_is_reset_is_not_taken_as_whole() {
    for response in UNFRAMED {
        let cuts: Vec<usize> = (length_of_head(response)..=response.len()).collect();
        for kind in KINDS {
            for (cut, result) in cuts.iter().zip(read_cut(response, &cuts, kind, End::Reset)) {
                assert_possibly_executed(&result, &format!("{kind:?}, {}", cut_of(response, *cut)));
            }
        }
    }
}

/// Guards against whole responses that are rejected: RFC 9112 takes one without length and chunks as whole if its connection
/// is closed in order, wherever that is in the body.
#[test]
fn an_unframed_response_whose_connection_is_closed_in_order_is_whole() {
    for response in UNFRAMED {
        let head = length_of_head(response);
        let cuts: Vec<usize> = (head + 1..=response.len()).collect();
        for kind in KINDS {
            for (cut, result) in cuts.iter().zip(read_cut(response, &cuts, kind, End::Close)) {
                assert_eq!(result.as_deref(), Ok(&response.as_bytes()[head..*cut]), "{kind:?}, cut at {cut}");
            }
        }
    }
}

/// Guards against whole responses with an empty body that are rejected: a length or chunks say that nothing follows.
#[test]
fn an_empty_response_with_length_or_chunks_is_whole() {
    for framing in ["content-length: 0\r\n\r\n", "transfer-encoding: chunked\r\n\r\n0\r\n\r\n"] {
        let response =
            format!("HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: engine-1\r\n{framing}");
        for kind in KINDS {
            for result in read_cut(&response, &[response.len()], kind, End::Close) {
                assert_eq!(result.as_deref(), Ok(&b""[..]), "{kind:?}, {framing:?}");
            }
        }
    }
}

/// Number of requests that are answered during their upload.
const UPLOADS: usize = 50;

/// Responds after the head of each of [`UPLOADS`] requests with `response` and either resets the connection or closes it in
/// the direction to the caller, and reads on.
fn serve_uploads(response: &'static str, end: End) -> (SocketAddr, JoinHandle<()>) {
    let (listener, address) = listen();
    let server = std::thread::spawn(move || {
        for index in 0..UPLOADS {
            let (mut stream, _) = listener.accept().expect("the caller connects");
            read_until(&mut stream, b"\r\n\r\n");
            stream.write_all(response.as_bytes()).expect("the caller reads");
            // Sometimes the response arrives before the end, and sometimes both at once.
            std::thread::sleep(Duration::from_millis(5 * (index as u64 % 2)));
            match end {
                End::Reset => end_connection(stream, end),
                End::Close => {
                    stream.shutdown(Shutdown::Write).expect("the connection is open");
                    // The caller resets the connection, as it has not sent the whole request.
                    let _ = std::io::copy(&mut stream, &mut std::io::sink());
                }
            }
        }
    });
    (address, server)
}

/// Uploads a large request [`UPLOADS`] times; returns the number of responses that counted as whole.
fn count_whole_responses_to_uploads(end: End, streamed: bool) -> usize {
    let (address, server) = serve_uploads(UNFRAMED[0], end);
    let runtime = Runtime::new().expect("the runtime starts");
    let whole = runtime.block_on(async {
        let (target, request) = (target(address), request(vec![b'x'; LARGE_BODY_BYTES].into()));
        let mut whole = 0;
        for _ in 0..UPLOADS {
            let pool = pool();
            let result = match streamed {
                true => read_streamed(&pool, &target, &request).await,
                false => read_buffered(&pool, &target, &request).await,
            };
            whole += usize::from(result.is_ok());
        }
        whole
    });
    drop(runtime);
    server.join().expect("the server ends");
    whole
}

/// Guards against a response without length and chunks that appears whole because the failed write of the request has
/// consumed the socket's error, so that the next read returns the end of the stream.
#[test]
fn an_unframed_response_that_is_reset_during_the_upload_is_not_taken_as_whole() {
    for streamed in [false, true] {
        let whole = count_whole_responses_to_uploads(End::Reset, streamed);
        assert_eq!(whole, 0, "responses taken as whole of {UPLOADS}, streamed: {streamed}");
    }
}

/// Guards against whole responses that are rejected because the engine has not read the whole request.
#[test]
fn an_unframed_response_that_is_closed_in_order_during_the_upload_is_whole() {
    for streamed in [false, true] {
        let whole = count_whole_responses_to_uploads(End::Close, streamed);
        assert_eq!(whole, UPLOADS, "responses taken as whole of {UPLOADS}, streamed: {streamed}");
    }
}
