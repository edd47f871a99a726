//! Ports for a deployment's processes.
//!
//! A port that was found free by binding it to zero may be taken by any outgoing connection before its process starts,
//! or while it is down between a crash and its restart. So ports come from below the range that systems use for outgoing
//! connections, in blocks; a fleet holds its block's first port for as long as it lives, which keeps other fleets away.

use anyhow::{Result, bail};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The first port used.
const FIRST_PORT: u16 = 10_000;

/// Ports used: they end below the usual first port of outgoing connections, 32768.
const PORTS: u16 = 22_000;

/// Smallest block: fleets of usual sizes all have blocks of the same size, which never overlap.
const SMALLEST_BLOCK: usize = 64;

/// Blocks tried before giving up.
const ATTEMPTS: u32 = 200;

/// Ports that no other fleet uses while this lives.
pub struct PortBlock {
    /// The addresses, free when the block was taken.
    pub addresses: Vec<SocketAddr>,
    _lock: TcpListener,
}

impl PortBlock {
    /// Takes a block of `count` free ports.
    pub fn take(count: usize) -> Result<Self> {
        let size = block_size(count);
        let blocks = PORTS / size;
        for _ in 0..ATTEMPTS {
            let first = FIRST_PORT + fastrand::u16(..blocks) * size;
            if let Some(block) = try_block(first, size, count) {
                return Ok(block);
            }
        }
        bail!("no block of {count} free ports was found");
    }
}

/// A power of two, so that blocks of different sizes that overlap share the larger one's first port or are tested port
/// by port.
fn block_size(count: usize) -> u16 {
    (count + 1).next_power_of_two().max(SMALLEST_BLOCK) as u16
}

fn try_block(first: u16, size: u16, count: usize) -> Option<PortBlock> {
    let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let lock = TcpListener::bind(address(first)).ok()?;
    let free = (first + 1..first + size).filter(|port| TcpListener::bind(address(*port)).is_ok());
    let addresses: Vec<SocketAddr> = free.take(count).map(address).collect();
    (addresses.len() == count).then_some(PortBlock { addresses, _lock: lock })
}
