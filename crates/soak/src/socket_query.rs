//! Looks up the inode of one TCP connection through `SOCK_DIAG`.
//!
//! `/proc/net/tcp` is slower: it lists all connections, including closed ones.

use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, send, socket_with};
use std::net::{IpAddr, SocketAddr};

/// `SOCK_DIAG_BY_FAMILY` of `linux/sock_diag.h`: type of the request and of a successful response.
const SOCK_DIAG_BY_FAMILY: u16 = 20;

/// `NLM_F_REQUEST` of `linux/netlink.h`.
const NLM_F_REQUEST: u16 = 1;

const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;

/// Bit mask of all connection states.
const ALL_STATES: u32 = u32::MAX;

/// `INET_DIAG_NOCOOKIE`: the connection is identified by its two ends.
const NO_COOKIE: [u8; 8] = [0xff; 8];

/// Size of a `nlmsghdr`, and of an address field, which fits IPv6, in bytes.
const HEADER_BYTES: usize = 16;
const ADDRESS_BYTES: usize = 16;

/// Offsets of the type in a message header and of the inode in a response.
const TYPE_OFFSET: usize = 4;
const INODE_OFFSET: usize = HEADER_BYTES + 68;

/// Receive buffer size, above the size of a response.
const MAX_RESPONSE_BYTES: usize = 512;

/// The socket inode of the connection from `local` to `remote`.
pub fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let socket =
        socket_with(AddressFamily::NETLINK, SocketType::DGRAM, SocketFlags::CLOEXEC, Some(netlink::SOCK_DIAG)).ok()?;
    send(&socket, &request_message(local, remote)?, SendFlags::empty()).ok()?;
    let mut response = [0; MAX_RESPONSE_BYTES];
    let (count, _) = recv(&socket, &mut response[..], RecvFlags::empty()).ok()?;
    parse_inode(response.get(..count)?)
}

/// A `nlmsghdr` and an `inet_diag_req_v2`.
fn request_message(local: SocketAddr, remote: SocketAddr) -> Option<Vec<u8>> {
    let mut body = vec![AF_INET, IPPROTO_TCP, 0, 0];
    body.extend(ALL_STATES.to_ne_bytes());
    body.extend(local.port().to_be_bytes());
    body.extend(remote.port().to_be_bytes());
    body.extend(address_bytes(local)?);
    body.extend(address_bytes(remote)?);
    let any_interface = 0_u32;
    body.extend(any_interface.to_ne_bytes());
    body.extend(NO_COOKIE);
    let (length, sequence, sender) = ((HEADER_BYTES + body.len()) as u32, 1_u32, 0_u32);
    let mut message = Vec::with_capacity(length as usize);
    message.extend(length.to_ne_bytes());
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(NLM_F_REQUEST.to_ne_bytes());
    message.extend(sequence.to_ne_bytes());
    message.extend(sender.to_ne_bytes());
    message.extend(body);
    Some(message)
}

fn address_bytes(socket_address: SocketAddr) -> Option<[u8; ADDRESS_BYTES]> {
    let IpAddr::V4(socket_address) = socket_address.ip() else {
        return None;
    };
    let mut bytes = [0; ADDRESS_BYTES];
    bytes[..socket_address.octets().len()].copy_from_slice(&socket_address.octets());
    Some(bytes)
}

/// The inode in an `inet_diag_msg` response; `None` for an error response.
fn parse_inode(response: &[u8]) -> Option<u32> {
    let message_type = response.get(TYPE_OFFSET..)?.first_chunk()?;
    if u16::from_ne_bytes(*message_type) != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    response.get(INODE_OFFSET..)?.first_chunk().map(|inode| u32::from_ne_bytes(*inode))
}
