//! The proxy forwards, delays, holds and resets bytes per direction, and identifies its own child processes.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use saddlerelay_soak_runner::links::{Condition, Links, Party};
use saddlerelay_soak_runner::proxy::{self, CallerLookup, ProxyEndpoint};
use saddlerelay_soak_runner::{owner, socket_query};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALLER: Party = Party::Gateway(0);
const SERVER: Party = Party::Engine(0);

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Link delay, and how long a test waits for held bytes. A slow machine cannot make a correct proxy fail.
const DELAY: Duration = Duration::from_millis(150);

/// Starts an echo server behind a proxy; returns the address of the proxy.
async fn echo_through_proxy(links: &Links) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let target = listener.local_addr().expect("the address is valid");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(echo(stream)).detach();
        }
    })
    .detach();
    proxy_to(target, links).await
}

/// Starts a proxy of `target`; returns its address.
async fn proxy_to(target: SocketAddr, links: &Links) -> SocketAddr {
    let free = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let address = free.local_addr().expect("the address is valid");
    drop(free);
    let endpoint = ProxyEndpoint { party: SERVER, target, caller_lookup: CallerLookup::Always(CALLER) };
    proxy::start(address, endpoint, links.clone()).await.expect("the port is still free");
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
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async { compio::time::timeout(TEST_TIMEOUT, future).await.expect("the test completes in time") })
}

#[test]
fn bytes_pass_while_the_link_is_open() {
    block_on(async {
        let links = Links::default();
        let mut stream = TcpStream::connect(echo_through_proxy(&links).await).await.expect("the proxy listens");
        assert_eq!(exchange(&mut stream).await.expect("the server echoes the bytes"), b"ping");
    });
}

#[test]
fn delayed_bytes_arrive_late() {
    block_on(async {
        let links = Links::default();
        links.set(SERVER, CALLER, Condition::Delayed(DELAY));
        let mut stream = TcpStream::connect(echo_through_proxy(&links).await).await.expect("the proxy listens");
        let began = Instant::now();
        assert_eq!(exchange(&mut stream).await.expect("the server echoes the bytes"), b"ping");
        assert!(began.elapsed() >= DELAY);
    });
}

#[test]
fn held_bytes_arrive_after_the_link_has_healed() {
    for (from, to) in [(CALLER, SERVER), (SERVER, CALLER)] {
        block_on(async {
            let links = Links::default();
            let mut stream = TcpStream::connect(echo_through_proxy(&links).await).await.expect("the proxy listens");
            exchange(&mut stream).await.expect("the server echoes the bytes");
            links.set(from, to, Condition::Silent);
            stream.write_all(b"ping".to_vec()).await.0.expect("the proxy accepts the bytes");
            let timed_out = compio::time::timeout(DELAY, read(&mut stream)).await;
            assert!(timed_out.is_err(), "bytes arrived while the link was silent");
            let mut stream =
                TcpStream::connect(echo_through_proxy(&links).await).await.expect("the proxy accepts connections");
            let (exchanged, ()) = futures::future::join(exchange(&mut stream), async {
                compio::time::sleep(DELAY).await;
                links.heal_all();
            })
            .await;
            assert_eq!(exchanged.expect("the server echoes the bytes"), b"ping");
        });
    }
}

/// Sends a request over a link in `condition`, resets the connection or closes it in order, and heals the link; returns
/// whether the request arrives.
fn arrives_after_the_sender_has_gone(condition: Condition, by_reset: bool) -> bool {
    block_on(async {
        let links = Links::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
        let address = proxy_to(listener.local_addr().expect("the address is valid"), &links).await;
        let mut stream = TcpStream::connect(address).await.expect("the proxy listens");
        let (mut accepted, _) = listener.accept().await.expect("the proxy connects");
        links.set(CALLER, SERVER, condition);
        stream.write_all(b"ping".to_vec()).await.0.expect("the proxy accepts the bytes");
        // The proxy has received the bytes before it observes the end of the connection.
        compio::time::sleep(DELAY / 3).await;
        if by_reset {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("the socket is open");
        }
        drop(stream);
        compio::time::sleep(DELAY).await;
        links.heal_all();
        read(&mut accepted).await.is_ok()
    })
}

#[test]
fn held_bytes_are_dropped_when_their_sender_resets_the_connection() {
    assert!(!arrives_after_the_sender_has_gone(Condition::Silent, true));
    assert!(!arrives_after_the_sender_has_gone(Condition::Lossy(1_000), true));
}

#[test]
fn held_bytes_arrive_after_their_sender_has_closed_the_connection_in_order() {
    assert!(arrives_after_the_sender_has_gone(Condition::Silent, false));
    assert!(arrives_after_the_sender_has_gone(Condition::Lossy(1_000), false));
}

#[test]
fn bytes_on_a_slow_link_arrive_after_their_sender_has_reset_the_connection() {
    assert!(arrives_after_the_sender_has_gone(Condition::Delayed(DELAY * 2), true));
}

#[test]
fn a_connection_that_is_given_up_before_it_is_established_carries_nothing() {
    block_on(async {
        let links = Links::default();
        links.set(CALLER, SERVER, Condition::Silent);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
        let address = proxy_to(listener.local_addr().expect("the address is valid"), &links).await;
        let mut stream = TcpStream::connect(address).await.expect("the proxy listens");
        stream.write_all(b"ping".to_vec()).await.0.expect("the proxy accepts the bytes");
        drop(stream);
        compio::time::sleep(DELAY).await;
        links.heal_all();
        assert!(compio::time::timeout(DELAY, listener.accept()).await.is_err(), "the connection was established");
    });
}

#[test]
fn a_reset_link_resets_its_connections_and_rejects_new_ones() {
    block_on(async {
        let links = Links::default();
        let address = echo_through_proxy(&links).await;
        let mut stream = TcpStream::connect(address).await.expect("the proxy listens");
        exchange(&mut stream).await.expect("the server echoes the bytes");
        links.set(CALLER, SERVER, Condition::Reset);
        assert!(read(&mut stream).await.is_err(), "the open connection was not reset");
        let new = TcpStream::connect(address).await;
        let exchanged = match new {
            Ok(mut stream) => exchange(&mut stream).await.map(|_| ()),
            Err(error) => Err(error),
        };
        assert!(exchanged.is_err(), "a new connection was not reset");
    });
}

#[test]
fn the_owner_of_a_connection_is_found() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
        let address = listener.local_addr().expect("the address is valid");
        let connected = TcpStream::connect(address).await.expect("the listener accepts connections");
        let client_address = connected.local_addr().expect("the address is valid");
        let process_id = std::process::id();
        assert_eq!(owner::owner_of(client_address, address, &[process_id]), Some(process_id));
        assert_eq!(owner::owner_of(client_address, address, &[]), None);
        let inode = socket_query::inode_of(client_address, address);
        assert!(inode.is_some(), "the kernel did not answer the query");
        assert_eq!(
            inode,
            owner::inode_in_table(client_address, address),
            "the inode differs from the one in /proc/net/tcp"
        );
        assert_eq!(socket_query::inode_of(client_address, client_address), None);
        assert_eq!(
            owner::owner_of(client_address, client_address, &[process_id]),
            None,
            "another connection with the same local end"
        );
    });
}

#[test]
fn proc_net_tcp_addresses_are_parsed() {
    assert_eq!(owner::parse_address("0100007F:1F90"), Some("127.0.0.1:8080".parse().expect("the address is valid")));
    assert_eq!(owner::parse_address("0100007F"), None);
}
