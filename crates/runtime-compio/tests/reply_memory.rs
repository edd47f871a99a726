//! The memory of a server's large replies: reserved in order, and released by peers that do not read.

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use saddlerelay_rpc::frame::{Envelope, Hello};
use saddlerelay_rpc::reply_memory::ReplyMemory;
use saddlerelay_rpc::server::{Handler, Response, serve};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SECRET: &str = "a secret of sixteen signs";

/// Long enough for anything that a test waits for; only a hang reaches it.
const HANG_LIMIT: Duration = Duration::from_secs(20);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("the runtime starts").block_on(future)
}

fn runtime() -> CompioRuntime {
    CompioRuntime::without_files()
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < HANG_LIMIT, "not reached: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a small request that overtakes a large one which has waited longer.
#[test]
fn requests_get_memory_in_the_order_of_their_arrival() {
    block_on(async {
        let memory = ReplyMemory::new(100);
        let first = memory.reserve(&runtime(), 60, HANG_LIMIT).await.expect("the memory is free");
        let order = Rc::new(RefCell::new(Vec::new()));
        for bytes in [80, 10] {
            let (memory, order) = (memory.clone(), order.clone());
            compio::runtime::spawn(async move {
                let _reservation =
                    memory.reserve(&runtime(), bytes, HANG_LIMIT).await.expect("the memory becomes free");
                order.borrow_mut().push(bytes);
            })
            .detach();
        }
        eventually("both wait", || memory.waiting() == 2).await;
        drop(first);
        eventually("both were served", || order.borrow().len() == 2).await;
        assert_eq!(*order.borrow(), [80, 10]);
        assert_eq!((memory.used(), memory.waiting()), (0, 0));
    });
}

#[test]
fn a_request_without_memory_is_rejected_and_holds_up_no_other() {
    block_on(async {
        let memory = ReplyMemory::new(100);
        let _held = memory.reserve(&runtime(), 60, HANG_LIMIT).await.expect("the memory is free");
        assert!(memory.reserve(&runtime(), 80, Duration::from_millis(20)).await.is_none());
        let _small = memory.reserve(&runtime(), 40, Duration::from_millis(20)).await.expect("40 bytes are left");
        assert_eq!((memory.used(), memory.timed_out()), (100, 1));
    });
}

/// Guards against a limit that the largest reply can never meet.
#[test]
fn a_reply_larger_than_the_limit_is_sent_alone() {
    block_on(async {
        let memory = ReplyMemory::new(100);
        let huge = memory.reserve(&runtime(), 1_000, Duration::from_millis(20)).await;
        let mut huge = huge.expect("nothing else is reserved");
        assert!(memory.reserve(&runtime(), 1, Duration::from_millis(20)).await.is_none());
        huge.shrink_to(50);
        assert!(memory.reserve(&runtime(), 1, Duration::from_millis(20)).await.is_some());
    });
}

/// Size of a reply that fits into no socket buffer, in bytes.
const LARGE_REPLY_BYTES: usize = 32 * 1024 * 1024;

struct LargeReplies {
    memory: ReplyMemory,
}

impl Handler for LargeReplies {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Response> {
        let reservation = self.memory.reserve(&runtime(), LARGE_REPLY_BYTES, HANG_LIMIT).await;
        Some(Response {
            body: vec![1; LARGE_REPLY_BYTES],
            reservation: Some(reservation.expect("the memory becomes free")),
            write_limit: Some(Duration::from_millis(200)),
        })
    }
}

/// Guards against peers that keep memory by not reading their replies.
#[test]
fn a_peer_that_does_not_read_its_reply_is_disconnected_and_its_memory_released() {
    block_on(async {
        let memory = ReplyMemory::new(LARGE_REPLY_BYTES);
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let listener = TcpFrameListener::new(listener, Default::default());
        let handler = Rc::new(LargeReplies { memory: memory.clone() });
        runtime().spawn(serve(runtime(), listener, SECRET.to_string(), handler));
        let mut peer = TcpStream::connect(address).await.expect("the server accepts");
        let hello = bitcode::encode(&Hello::new(FeatureLevel::NEWEST, SECRET));
        for frame in [hello, bitcode::encode(&Envelope { id: 1, body: Vec::new() })] {
            let length = (frame.len() as u32).to_le_bytes().to_vec();
            peer.write_all([length, frame].concat()).await.0.expect("the server reads");
        }
        eventually("the reply is being written", || memory.used() > 0).await;
        let started_at = Instant::now();
        eventually("its memory is released", || memory.used() == 0).await;
        assert!(started_at.elapsed() < Duration::from_secs(1), "released by the kernel's timeout of 1.5 s");
        drop(peer);
    });
}
