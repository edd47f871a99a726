//! Concurrent checks of one address share one connection.

use futures::future::join_all;
use saddlerelay_runtime_compio::listening::TerminationChecks;
use std::net::TcpListener;

#[test]
fn concurrent_checks_of_one_address_open_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds to a free port");
    listener.set_nonblocking(true).expect("the listener becomes non-blocking");
    let address = listener.local_addr().expect("the listener has an address");
    compio::runtime::Runtime::new().expect("the runtime starts").block_on(async {
        let checks = TerminationChecks::default();
        let results = join_all((0..50).map(|_| checks.has_terminated(address))).await;
        assert!(results.iter().all(|ended| !ended));
    });
    let connections = std::iter::from_fn(|| listener.accept().ok()).count();
    assert_eq!(connections, 1);
}

#[test]
fn an_address_without_a_listener_has_ended() {
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("the listener has an address");
    compio::runtime::Runtime::new().expect("the runtime starts").block_on(async {
        let checks = TerminationChecks::default();
        let results = join_all((0..50).map(|_| checks.has_terminated(address))).await;
        assert!(results.iter().all(|ended| *ended));
    });
}
