//! Frames over real connections: whole ones arrive in order; malformed and oversized ones end their connection only.

use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use saddlerelay_rpc::client::Answer;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, MAX_FRAME_BYTES, Runtime};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use std::future::Future;
use std::net::SocketAddr;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("a runtime").block_on(future)
}

async fn listen() -> (TcpFrameListener, SocketAddr) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (TcpFrameListener::new(listener, Default::default()), address)
}

fn platform() -> CompioRuntime {
    CompioRuntime::new(std::env::temp_dir())
}

async fn send_raw(address: SocketAddr, bytes: Vec<u8>) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let BufResult(sent, _) = stream.write_all(bytes).await;
    sent.expect("the bytes were sent");
    stream
}

#[test]
fn frames_of_any_size_arrive_whole_and_in_order() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let sizes = [0, 1, 5, 100, 65_536, 65_537, 3_000_000, 2];
        let sending = async {
            let (mut sender, _receiver) = platform().connect(address).await.expect("a connection");
            for (place, size) in sizes.into_iter().enumerate() {
                sender.send(vec![place as u8; size]).await.expect("a frame was sent");
            }
        };
        let receiving = async {
            let (_sender, mut receiver) = listener.accept().await.expect("a connection");
            for (place, size) in sizes.into_iter().enumerate() {
                let frame = receiver.receive().await.expect("a frame").expect("not the end");
                assert_eq!(frame, vec![place as u8; size]);
            }
            assert_eq!(receiver.receive().await.expect("an orderly end"), None);
        };
        futures::future::join(sending, receiving).await;
    });
}

#[test]
fn a_frame_that_claims_to_be_too_large_is_an_error_before_any_memory_is_taken_for_it() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let length = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec();
        let _stream = send_raw(address, length).await;
        let (_sender, mut receiver) = listener.accept().await.expect("a connection");
        assert!(receiver.receive().await.is_err());
    });
}

#[test]
fn a_frame_that_breaks_off_is_not_given_out() {
    block_on(async {
        let (mut listener, address) = listen().await;
        let mut bytes = 10u32.to_le_bytes().to_vec();
        bytes.extend(b"half");
        drop(send_raw(address, bytes).await);
        let (_sender, mut receiver) = listener.accept().await.expect("a connection");
        assert!(!matches!(receiver.receive().await, Ok(Some(_))));
    });
}

/// A stranger on the internal port is hung up on, and the next peer is served as if nothing had been.
#[test]
fn a_stranger_is_hung_up_on_and_peers_are_still_served() {
    struct Echo;
    impl saddlerelay_rpc::server::Handler for Echo {
        async fn handle(self: std::rc::Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
            (body != b"malformed").then_some(body)
        }
    }
    block_on(async {
        let (listener, address) = listen().await;
        let server = saddlerelay_rpc::server::serve(platform(), listener, "secret".into(), Echo.into());
        compio::runtime::spawn(server).detach();
        let greeting = saddlerelay_rpc::frame::Hello::new(FeatureLevel::NEWEST, "another secret");
        let wrong_secret = bitcode::encode(&greeting);
        let unknown_version = bitcode::encode(&saddlerelay_rpc::frame::Hello {
            version: FeatureLevel::NEWEST.protocol() + 1,
            secret: "secret".to_string(),
            ..greeting
        });
        for stranger in
            [b"GET / HTTP/1.1\r\n\r\n".to_vec(), framed(b"nonsense"), framed(&wrong_secret), framed(&unknown_version)]
        {
            let mut stream = send_raw(address, [stranger, vec![0; 64]].concat()).await;
            let BufResult(answer, bytes) = stream.read_to_end(Vec::new()).await;
            // Hung up on, in order or by a reset, and not one byte of an answer.
            assert!(answer.is_err() || bytes.is_empty());
        }
        let client = saddlerelay_rpc::client::Client::new(platform(), address, "secret");
        let limit = std::time::Duration::from_secs(10);
        let say = |words: &'static [u8]| client.call(move |_| Some(words.to_vec()), limit);
        let echoed = |words: &[u8]| Ok(Answer { level: FeatureLevel::NEWEST, body: words.to_vec() });
        assert_eq!(say(b"hello").await, echoed(b"hello"));
        assert!(say(b"malformed").await.is_err());
        assert_eq!(say(b"again").await, echoed(b"again"));
    });
}

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body].concat()
}
