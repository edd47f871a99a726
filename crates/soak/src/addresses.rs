//! Where everything listens: each process has a loopback address of its own, in a network that no other soak uses.

use crate::links::Party;
use anyhow::Result;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

/// Coordinators that every settings file names, and that found the group. One may be lost.
pub const NAMED_COORDINATORS: u8 = 3;

/// How many processes of each kind a deployment has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Coordinators. Those beyond [`NAMED_COORDINATORS`] find the group by the ones that the settings name.
    pub coordinators: u8,
    /// Gateways.
    pub gateways: u8,
}

impl Size {
    /// The smallest deployment: as many coordinators as vote, and three gateways.
    pub const SMALL: Self = Self { coordinators: NAMED_COORDINATORS, gateways: 3 };

    /// The most that the addresses of a soak's network have room for.
    pub const LARGEST: Self = Self { coordinators: FIRST_ENGINE - FIRST_COORDINATOR, gateways: 190 };

    /// Every process of the product.
    pub fn processes(self) -> Vec<Party> {
        let coordinators = (0..self.coordinators).map(Party::Coordinator);
        coordinators.chain((0..self.gateways).map(Party::Gateway)).collect()
    }
}

/// Where processes listen. Ports lie below the range that systems use for outgoing connections.
const CONTROL_PORT: u16 = 21_001;
pub(crate) const PEER_PORT: u16 = 21_002;
const FRONT_PORT: u16 = 21_003;
const READINESS_PORT: u16 = 21_004;
const ENGINE_PORT: u16 = 21_005;
const PLATFORM_PORT: u16 = 21_006;

/// What is added to a port for the listener behind the proxy.
const BEHIND_PROXY: u16 = 100;

/// Last bytes of the first address of each kind of process.
const FIRST_COORDINATOR: u8 = 10;
const FIRST_ENGINE: u8 = 40;
const FIRST_GATEWAY: u8 = 60;
const PLATFORM: u8 = 5;

/// Networks tried before giving up.
const NETWORK_ATTEMPTS: u32 = 100;

/// A network of loopback addresses that no other soak uses: each process has an address of its own in it.
#[derive(Clone)]
pub struct Addresses {
    /// How many processes there are.
    pub size: Size,
    network: [u8; 2],
    _lock: Rc<TcpListener>,
}

impl Addresses {
    /// Takes a network that is free.
    pub fn take(size: Size) -> Result<Self> {
        for _ in 0..NETWORK_ATTEMPTS {
            let network = [fastrand::u8(16..240), fastrand::u8(..)];
            let lock = SocketAddr::new(ip(network, 1), CONTROL_PORT);
            if let Ok(lock) = TcpListener::bind(lock) {
                return Ok(Self { size, network, _lock: Rc::new(lock) });
            }
        }
        anyhow::bail!("no free network of loopback addresses was found")
    }

    fn at(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.network, last), port)
    }

    /// Where engines, trainers and operators reach a coordinator.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(FIRST_COORDINATOR + number, CONTROL_PORT)
    }

    /// Where clients reach a gateway.
    pub fn front(&self, number: u8) -> SocketAddr {
        self.at(FIRST_GATEWAY + number, FRONT_PORT)
    }

    /// Where a gateway is asked whether it takes connections; no proxy stands before it.
    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.at(FIRST_GATEWAY + number, READINESS_PORT)
    }

    /// Where an engine is reached.
    pub fn engine(&self, number: u8) -> SocketAddr {
        self.at(FIRST_ENGINE + number, ENGINE_PORT)
    }

    /// Where an engine listens behind its proxy.
    pub fn engine_behind(&self, number: u8) -> SocketAddr {
        behind(self.engine(number))
    }

    /// Where the platform listens; no proxy stands before it.
    pub fn platform(&self) -> SocketAddr {
        self.at(PLATFORM, PLATFORM_PORT)
    }

    /// Where other processes reach a coordinator.
    pub fn peer(&self, number: u8) -> SocketAddr {
        self.at(FIRST_COORDINATOR + number, PEER_PORT)
    }
}

fn ip(network: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
}

pub(crate) fn behind(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + BEHIND_PROXY)
}
