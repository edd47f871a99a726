//! Frames over TCP connections: frames arrive complete and in order; malformed and oversized frames close only their
//! own connection.

use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use saddlerelay_rpc::client::EncodedReply;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, MAX_FRAME_BYTES, Runtime};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::Cell;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("the runtime starts").block_on(future)
}

async fn listen() -> (TcpFrameListener, SocketAddr) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    (TcpFrameListener::new(listener, Default::default()), address)
}

fn platform() -> CompioRuntime {
    CompioRuntime::new(std::env::temp_dir())
}

async fn send_raw(address: SocketAddr, bytes: Vec<u8>) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the connection is established");
    let BufResult(sent, _) = stream.write_all(bytes).await;
    sent.expect("the bytes are sent");
    stream
}

#[test]
fn frames_of_any_size_arrive_complete_and_in_order() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let sizes = [0, 1, 5, 100, 65_536, 65_537, 3_000_000, 2];
        let sending = async {
            let (mut sender, _receiver) = platform().connect(address).await.expect("the connection is established");
            for (index, size) in sizes.into_iter().enumerate() {
                sender.send(vec![index as u8; size]).await.expect("the frame is sent");
            }
        };
        let receiving = async {
            let (_sender, mut receiver) = listener.accept().await.expect("the connection is established");
            for (index, size) in sizes.into_iter().enumerate() {
                let frame =
                    receiver.receive().await.expect("the receive succeeds").expect("the connection is still open");
                assert_eq!(frame, vec![index as u8; size]);
            }
            assert_eq!(receiver.receive().await.expect("the connection is closed without an error"), None);
        };
        futures::future::join(sending, receiving).await;
    });
}

#[test]
fn an_oversized_frame_length_is_rejected() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let length = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec();
        let _stream = send_raw(address, length).await;
        let (_sender, mut receiver) = listener.accept().await.expect("the connection is established");
        assert!(receiver.receive().await.is_err());
    });
}

#[test]
fn a_truncated_frame_is_not_returned() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let mut bytes = 10u32.to_le_bytes().to_vec();
        bytes.extend(b"half");
        drop(send_raw(address, bytes).await);
        let (_sender, mut receiver) = listener.accept().await.expect("the connection is established");
        assert!(!matches!(receiver.receive().await, Ok(Some(_))));
    });
}

/// Guards against a thread that does nothing but receive the frames of one peer, which sends as fast as they are received.
#[test]
fn a_peer_that_sends_frames_without_end_holds_up_no_other_task() {
    const SENDING_TIME: Duration = Duration::from_secs(1);
    const TICK: Duration = Duration::from_millis(5);
    const MAX_TASK_DELAY: Duration = Duration::from_millis(400);
    let flood = |address: SocketAddr| {
        let mut stream = std::net::TcpStream::connect(address).expect("the connection is established");
        let frames = framed(&[0]).repeat(10_000);
        let until = Instant::now() + SENDING_TIME;
        while Instant::now() < until {
            stream.write_all(&frames).expect("the receiver reads");
        }
    };
    block_on(async {
        let (mut listener, address) = listen().await;
        let sender = std::thread::spawn(move || flood(address));
        let (_sender, mut receiver) = listener.accept().await.expect("the connection is established");
        let last_tick = Rc::new(Cell::new(Instant::now()));
        let longest_gap = Rc::new(Cell::new(Duration::ZERO));
        let (tick, gap) = (last_tick.clone(), longest_gap.clone());
        let ticking = compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(TICK).await;
                gap.set(gap.get().max(tick.get().elapsed()));
                tick.set(Instant::now());
            }
        });
        let mut frames = 0;
        while let Some(frame) = receiver.receive().await.expect("the receive succeeds") {
            assert_eq!(frame, [0]);
            frames += 1;
        }
        let gap = longest_gap.get().max(last_tick.get().elapsed());
        drop(ticking);
        sender.join().expect("the sender ends");
        assert!(gap < MAX_TASK_DELAY, "no other task ran for {gap:?}, while {frames} frames were received");
    });
}

/// Clients with an invalid handshake are disconnected, and other clients are still served.
#[test]
fn clients_with_an_invalid_handshake_are_disconnected_and_others_are_served() {
    struct Echo;
    impl Handler for Echo {
        async fn handle(self: std::rc::Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
            (body != b"malformed").then_some(body.into())
        }
    }
    block_on(async {
        let (listener, address) = listen().await;
        let server = saddlerelay_rpc::server::serve(platform(), listener, "secret".into(), Echo.into());
        compio::runtime::spawn(server).detach();
        let hello = saddlerelay_rpc::frame::Hello::new(FeatureLevel::NEWEST, "another secret");
        let wrong_secret = bitcode::encode(&hello);
        let unknown_version = bitcode::encode(&saddlerelay_rpc::frame::Hello {
            version: FeatureLevel::NEWEST.protocol() + 1,
            secret: "secret".to_string(),
            ..hello
        });
        for invalid_hello in
            [b"GET / HTTP/1.1\r\n\r\n".to_vec(), framed(b"nonsense"), framed(&wrong_secret), framed(&unknown_version)]
        {
            let mut stream = send_raw(address, [invalid_hello, vec![0; 64]].concat()).await;
            let BufResult(result, bytes) = stream.read_to_end(Vec::new()).await;
            // The server closes or resets the connection without sending anything.
            assert!(result.is_err() || bytes.is_empty());
        }
        let client = saddlerelay_rpc::client::Client::new(platform(), address, "secret");
        let limit = std::time::Duration::from_secs(10);
        let call = |body: &'static [u8]| client.call(move |_| Some(body.to_vec()), limit);
        let expected = |body: &[u8]| Ok(EncodedReply { level: FeatureLevel::NEWEST, body: body.to_vec() });
        assert_eq!(call(b"hello").await, expected(b"hello"));
        assert!(call(b"malformed").await.is_err());
        assert_eq!(call(b"again").await, expected(b"again"));
    });
}

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body].concat()
}
