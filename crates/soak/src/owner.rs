//! Which of the soak's own child processes opened a connection, as the operating system tells.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Column of a connection's own address in the operating system's table.
const LOCAL_ADDRESS_COLUMN: usize = 1;

/// Column of the other end's address.
const REMOTE_ADDRESS_COLUMN: usize = 2;

/// Column of the identifier that ties a row to a process's descriptor.
const INODE_COLUMN: usize = 9;

/// The one of `processes` that holds the connection from `own` to `other`. Both ends count: a connection that was closed a
/// moment ago, or goes to another address, may share the first.
pub fn owner_of(own: SocketAddr, other: SocketAddr, processes: &[u32]) -> Option<u32> {
    let inode = crate::socket_query::inode_of(own, other).or_else(|| inode_in_table(own, other))?;
    let wanted = PathBuf::from(format!("socket:[{inode}]"));
    processes.iter().copied().find(|process| holds(*process, &wanted))
}

/// The identifier as the table of all connections has it, for systems that cannot be asked for one of them.
pub fn inode_in_table(own: SocketAddr, other: SocketAddr) -> Option<u32> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|row| inode_in_row(row, own, other))
}

fn inode_in_row(row: &str, own: SocketAddr, other: SocketAddr) -> Option<u32> {
    let columns: Vec<&str> = row.split_whitespace().collect();
    let address = |column: usize| columns.get(column).and_then(|text| parse_address(text));
    let ends = (address(LOCAL_ADDRESS_COLUMN), address(REMOTE_ADDRESS_COLUMN));
    (ends == (Some(own), Some(other))).then(|| columns.get(INODE_COLUMN)?.parse().ok()).flatten()
}

/// Reads `0100007F:1F90`: an address with its bytes in the machine's order, and a port, both as hexadecimal digits.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address.to_ne_bytes())), port))
}

fn holds(process: u32, wanted: &PathBuf) -> bool {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    descriptors.flatten().any(|entry| std::fs::read_link(entry.path()).is_ok_and(|target| target == *wanted))
}
