//! Free ports on the loopback address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// `count` different addresses that were free a moment ago. All are held until the last is found, so no two are alike.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
