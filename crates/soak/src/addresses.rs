//! Listen addresses: each process has its own loopback address in a network that no other soak uses.

use crate::links::Party;
use anyhow::Result;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

/// Number of coordinators that every settings file lists as seeds and that bootstrap the group. The loss of one of them
/// is tolerated.
pub const SEED_COORDINATORS: u8 = 3;

/// Numbers of processes in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of coordinators. Those beyond [`SEED_COORDINATORS`] discover the group through the seeds.
    pub coordinators: u8,
    /// Number of gateways.
    pub gateways: u8,
}

impl Size {
    /// The smallest deployment: as many coordinators as voters, and three gateways.
    pub const SMALL: Self = Self { coordinators: SEED_COORDINATORS, gateways: 3 };

    /// The largest deployment that fits into a soak's network.
    pub const LARGEST: Self = Self { coordinators: FIRST_ENGINE - FIRST_COORDINATOR, gateways: 190 };

    /// All processes of the product.
    pub fn processes(self) -> Vec<Party> {
        let coordinators = (0..self.coordinators).map(Party::Coordinator);
        coordinators.chain((0..self.gateways).map(Party::Gateway)).collect()
    }
}

/// Ports, below the ephemeral port range.
const CONTROL_PORT: u16 = 21_001;
pub(crate) const PEER_PORT: u16 = 21_002;
const GATEWAY_PORT: u16 = 21_003;
const READINESS_PORT: u16 = 21_004;
const ENGINE_PORT: u16 = 21_005;
const PLATFORM_PORT: u16 = 21_006;

/// Offset from the port of a proxy to the port of the listener behind it.
const PROXY_PORT_OFFSET: u16 = 100;

/// Last byte of the address of the first process of each kind.
const FIRST_COORDINATOR: u8 = 10;
const FIRST_ENGINE: u8 = 40;
const FIRST_GATEWAY: u8 = 60;
const PLATFORM: u8 = 5;

/// Maximum number of attempts to reserve a network.
const NETWORK_ATTEMPTS: u32 = 100;

/// The loopback network of a soak, reserved against other soaks by a bound port.
#[derive(Clone)]
pub struct Addresses {
    /// Deployment size.
    pub size: Size,
    network: [u8; 2],
    _lock: Rc<TcpListener>,
}

impl Addresses {
    /// Reserves a free network.
    pub fn allocate(size: Size) -> Result<Self> {
        for _ in 0..NETWORK_ATTEMPTS {
            let network = [fastrand::u8(16..240), fastrand::u8(..)];
            let lock = SocketAddr::new(ip(network, 1), CONTROL_PORT);
            if let Ok(lock) = TcpListener::bind(lock) {
                return Ok(Self { size, network, _lock: Rc::new(lock) });
            }
        }
        anyhow::bail!("no free network of loopback addresses was found")
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.network, last), port)
    }

    /// A coordinator's address for engines, trainers and operators.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(FIRST_COORDINATOR + number, CONTROL_PORT)
    }

    /// A gateway's address for clients.
    pub fn gateway(&self, number: u8) -> SocketAddr {
        self.address(FIRST_GATEWAY + number, GATEWAY_PORT)
    }

    /// A gateway's readiness address; not proxied.
    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.address(FIRST_GATEWAY + number, READINESS_PORT)
    }

    /// An engine's address.
    pub fn engine(&self, number: u8) -> SocketAddr {
        self.address(FIRST_ENGINE + number, ENGINE_PORT)
    }

    /// An engine's listener behind its proxy.
    pub fn engine_backend(&self, number: u8) -> SocketAddr {
        backend_address(self.engine(number))
    }

    /// The platform's address; not proxied.
    pub fn platform(&self) -> SocketAddr {
        self.address(PLATFORM, PLATFORM_PORT)
    }

    /// A coordinator's address for other processes.
    pub fn peer(&self, number: u8) -> SocketAddr {
        self.address(FIRST_COORDINATOR + number, PEER_PORT)
    }
}

fn ip(network: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
}

pub(crate) fn backend_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + PROXY_PORT_OFFSET)
}
