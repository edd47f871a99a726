//! Limits on what one client may send, and how long it may take.

use std::rc::Rc;
use std::time::Duration;

/// Limits on one connection and its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time for a body whose handler sets none.
    pub body_timeout: Duration,
    /// How long a connection may rest between requests, and how long a client may read nothing of a response.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Limits where no document or handler sets others.
    pub const DEFAULT: Self = Self {
        max_head_bytes: 16 * 1024,
        max_body_bytes: 8 * 1024 * 1024,
        head_timeout: Duration::from_secs(5),
        body_timeout: Duration::from_secs(30),
        idle_timeout: Duration::from_secs(15),
    };
}

/// The limits that are in force now.
pub type CurrentLimits = Rc<dyn Fn() -> ConnectionLimits>;

/// Limits of a listener.
#[derive(Clone)]
pub struct ListenerLimits {
    /// Limits of each connection, read whenever one applies, so that a change takes effect on open connections.
    pub connection: CurrentLimits,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl ListenerLimits {
    /// Fixed limits of connections.
    pub fn fixed(connection: ConnectionLimits, max_connections: usize) -> Self {
        Self { connection: Rc::new(move || connection), max_connections }
    }
}

impl Default for ListenerLimits {
    fn default() -> Self {
        const MAX_CONNECTIONS: usize = 1024;
        Self::fixed(ConnectionLimits::DEFAULT, MAX_CONNECTIONS)
    }
}
