//! Allocates ports for a deployment's processes.
//!
//! Ports come from below the ephemeral range, so that no outgoing connection takes one before its process starts or
//! while it restarts. They are allocated in blocks; a fleet keeps the first port of its block bound as a lock against
//! other fleets.

use anyhow::{Result, bail};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First port of the allocation range.
const FIRST_PORT: u16 = 10_000;

/// Size of the allocation range, which ends below the usual start of the ephemeral range, 32768.
const PORT_COUNT: u16 = 22_000;

/// Minimum block size; blocks of equal size never overlap.
const MIN_BLOCK_SIZE: usize = 64;

/// Blocks tried before the allocation fails.
const MAX_ATTEMPTS: u32 = 200;

/// A block of ports that is reserved until it is dropped.
pub struct PortBlock {
    /// The addresses, which were free at the allocation.
    pub addresses: Vec<SocketAddr>,
    _lock: TcpListener,
}

impl PortBlock {
    /// Allocates a block with `count` free ports.
    pub fn allocate(count: usize) -> Result<Self> {
        let size = block_size(count);
        let blocks = PORT_COUNT / size;
        for _ in 0..MAX_ATTEMPTS {
            let first_port = FIRST_PORT + fastrand::u16(..blocks) * size;
            if let Some(block) = try_block(first_port, size, count) {
                return Ok(block);
            }
        }
        bail!("found no block with {count} free ports");
    }
}

/// The size of a block with `count` ports and the lock port: a power of two.
fn block_size(count: usize) -> u16 {
    (count + 1).next_power_of_two().max(MIN_BLOCK_SIZE) as u16
}

fn try_block(first_port: u16, size: u16, count: usize) -> Option<PortBlock> {
    let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let lock = TcpListener::bind(address(first_port)).ok()?;
    let free_ports = (first_port + 1..first_port + size).filter(|port| TcpListener::bind(address(*port)).is_ok());
    let addresses: Vec<SocketAddr> = free_ports.take(count).map(address).collect();
    (addresses.len() == count).then_some(PortBlock { addresses, _lock: lock })
}
