//! Finds out whether a process still listens at its address.

use compio::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time to find out: some round trips between regions.
const LIMIT: Duration = Duration::from_millis(100);

/// Whether the process that listened at `address` has ended, as its machine says by refusing a connection. One that cannot
/// be reached is not believed to have.
pub async fn has_ended(address: SocketAddr) -> bool {
    match compio::time::timeout(LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
