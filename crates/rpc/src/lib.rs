//! Request/response protocol between saddlerelay processes.
//!
//! The client opens each connection with a [`frame::Hello`], after which both sides send [`frame::Envelope`]s.
//! Requests are multiplexed on a connection, and responses may arrive in any order. A malformed frame closes its
//! connection only.

mod call;
pub mod client;
pub mod frame;
pub mod reply_memory;
pub mod server;
