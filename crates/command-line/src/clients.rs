//! Limits on the clients of a process, from its settings and from the operating system.

use rustix::process::{Resource, getrlimit};
use saddlerelay_http::limits::{ConnectionLimits, CurrentLimits, ListenerLimits};
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_settings::ClientSettings;
use std::rc::Rc;

/// Number of connections of a listener that only probes and monitoring use.
const MONITORING_CONNECTIONS: usize = 32;

/// The limits of a process's listeners.
pub(crate) struct Clients {
    /// Shared by all listeners.
    pub manager: OverloadManager,
    max_connections: usize,
    /// Maximum number of connections of other processes whose handshake is not complete.
    pub max_pending_peers: usize,
}

impl Clients {
    pub fn new(settings: &ClientSettings) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let max_connections = settings.max_connections(descriptors);
        let manager = OverloadManager::new(settings.memory_bytes());
        Self { manager, max_connections, max_pending_peers: settings.max_pending_peers(descriptors) }
    }

    /// Limits of a listener for clients.
    pub fn listener(&self, connection: CurrentLimits) -> ListenerLimits {
        ListenerLimits { connection, max_connections: self.max_connections }
    }

    /// Limits of a listener for clients that do not change.
    pub fn fixed_listener(&self, connection: ConnectionLimits) -> ListenerLimits {
        self.listener(Rc::new(move || connection))
    }

    /// Limits of a listener for probes and monitoring.
    pub fn monitoring_listener(&self) -> ListenerLimits {
        ListenerLimits::fixed(ConnectionLimits::DEFAULT, MONITORING_CONNECTIONS.min(self.max_connections))
    }
}
