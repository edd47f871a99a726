//! Looks up which child process opened a connection.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Column of the local address in `/proc/net/tcp`.
const LOCAL_ADDRESS_COLUMN: usize = 1;

/// Column of the remote address.
const REMOTE_ADDRESS_COLUMN: usize = 2;

/// Column of the socket inode.
const INODE_COLUMN: usize = 9;

/// The process of `process_ids` that holds the connection from `local` to `remote`. Both ends are compared: a
/// recently closed connection, or one to another address, may have the same local end.
pub fn owner_of(local: SocketAddr, remote: SocketAddr, process_ids: &[u32]) -> Option<u32> {
    let inode = crate::socket_query::inode_of(local, remote).or_else(|| inode_in_table(local, remote))?;
    let socket_link = PathBuf::from(format!("socket:[{inode}]"));
    process_ids.iter().copied().find(|process_id| has_socket_open(*process_id, &socket_link))
}

/// The socket inode from `/proc/net/tcp`, for systems without `SOCK_DIAG`.
pub fn inode_in_table(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|row| inode_in_row(row, local, remote))
}

fn inode_in_row(row: &str, local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let columns: Vec<&str> = row.split_whitespace().collect();
    let address = |column: usize| columns.get(column).and_then(|text| parse_address(text));
    let ends = (address(LOCAL_ADDRESS_COLUMN), address(REMOTE_ADDRESS_COLUMN));
    (ends == (Some(local), Some(remote))).then(|| columns.get(INODE_COLUMN)?.parse().ok()).flatten()
}

/// Parses an address such as `0100007F:1F90`: address in native byte order and port, both hexadecimal.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address.to_ne_bytes())), port))
}

fn has_socket_open(process_id: u32, socket_link: &PathBuf) -> bool {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return false;
    };
    descriptors.flatten().any(|entry| std::fs::read_link(entry.path()).is_ok_and(|target| target == *socket_link))
}
