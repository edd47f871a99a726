//! The proxy passes bytes on, delays, holds back and resets them by direction, and knows its own children.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use saddlerelay_soak_runner::links::{Condition, Links, Party};
use saddlerelay_soak_runner::proxy::{self, Identify, ProxyPlace};
use saddlerelay_soak_runner::{owner, socket_query};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALLER: Party = Party::Gateway(0);
const SERVER: Party = Party::Engine(0);

/// For hangs only.
const PATIENCE: Duration = Duration::from_secs(20);

/// Long enough for what is not held back to arrive on any machine; a wrong proxy fails, a slow machine does not.
const HELD: Duration = Duration::from_millis(150);

/// A server that sends every byte back, behind a proxy.
async fn echo_behind_proxy(links: &Links) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("an address");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(echo(stream)).detach();
        }
    })
    .detach();
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let place = ProxyPlace { party: SERVER, target, identify: Identify::Always(CALLER) };
    proxy::start(address, place, links.clone()).await.expect("the port is still free");
    address
}

async fn echo(mut stream: TcpStream) {
    loop {
        let BufResult(count, buffer) = stream.read(Vec::with_capacity(64)).await;
        if !matches!(count, Ok(count) if count > 0) || stream.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}

async fn read(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let BufResult(read, buffer) = stream.read_exact(Vec::with_capacity(4)).await;
    read.map(|()| buffer)
}

async fn exchange(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    stream.write_all(b"ping".to_vec()).await.0?;
    read(stream).await
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async { compio::time::timeout(PATIENCE, future).await.expect("it does not hang") })
}

#[test]
fn bytes_pass_while_the_link_is_open() {
    block_on(async {
        let links = Links::default();
        let mut stream = TcpStream::connect(echo_behind_proxy(&links).await).await.expect("the proxy listens");
        assert_eq!(exchange(&mut stream).await.expect("an echo"), b"ping");
    });
}

#[test]
fn delayed_bytes_arrive_late() {
    block_on(async {
        let links = Links::default();
        links.set(SERVER, CALLER, Condition::Delayed(HELD));
        let mut stream = TcpStream::connect(echo_behind_proxy(&links).await).await.expect("the proxy listens");
        let began = Instant::now();
        assert_eq!(exchange(&mut stream).await.expect("an echo"), b"ping");
        assert!(began.elapsed() >= HELD);
    });
}

#[test]
fn silent_bytes_arrive_after_the_link_has_healed() {
    for (from, to) in [(CALLER, SERVER), (SERVER, CALLER)] {
        block_on(async {
            let links = Links::default();
            let mut stream = TcpStream::connect(echo_behind_proxy(&links).await).await.expect("the proxy listens");
            exchange(&mut stream).await.expect("an echo");
            links.set(from, to, Condition::Silent);
            stream.write_all(b"ping".to_vec()).await.0.expect("the near side takes it");
            let early = compio::time::timeout(HELD, read(&mut stream)).await;
            assert!(early.is_err(), "nothing arrives while the link is silent");
            let mut stream = TcpStream::connect(echo_behind_proxy(&links).await).await.expect("it takes connections");
            let (exchanged, ()) = futures::future::join(exchange(&mut stream), async {
                compio::time::sleep(HELD).await;
                links.heal_all();
            })
            .await;
            assert_eq!(exchanged.expect("an echo"), b"ping");
        });
    }
}

#[test]
fn a_reset_link_ends_its_connections_and_takes_no_new_one() {
    block_on(async {
        let links = Links::default();
        let address = echo_behind_proxy(&links).await;
        let mut stream = TcpStream::connect(address).await.expect("the proxy listens");
        exchange(&mut stream).await.expect("an echo");
        links.set(CALLER, SERVER, Condition::Reset);
        assert!(read(&mut stream).await.is_err(), "the connection is reset");
        let new = TcpStream::connect(address).await;
        let exchanged = match new {
            Ok(mut stream) => exchange(&mut stream).await.map(|_| ()),
            Err(error) => Err(error),
        };
        assert!(exchanged.is_err(), "a new one is reset too");
    });
}

#[test]
fn the_owner_of_a_connection_is_found() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let connected = TcpStream::connect(address).await.expect("a connection");
        let own_end = connected.local_addr().expect("an address");
        let own = std::process::id();
        assert_eq!(owner::owner_of(own_end, address, &[own]), Some(own));
        assert_eq!(owner::owner_of(own_end, address, &[]), None);
        let inode = socket_query::inode_of(own_end, address);
        assert!(inode.is_some(), "one connection can be asked for");
        assert_eq!(inode, owner::inode_in_table(own_end, address), "as in the table of all");
        assert_eq!(socket_query::inode_of(own_end, own_end), None);
        assert_eq!(owner::owner_of(own_end, own_end, &[own]), None, "another connection with the same end");
    });
}

#[test]
fn addresses_of_the_operating_systems_table_are_read() {
    assert_eq!(owner::parse_address("0100007F:1F90"), Some("127.0.0.1:8080".parse().expect("an address")));
    assert_eq!(owner::parse_address("0100007F"), None);
}
