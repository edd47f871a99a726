//! Requests and answers between saddlerelay's own processes.
//!
//! Each connection opens with a [`frame::Hello`] and then carries [`frame::Envelope`]s. Several requests may be under way
//! on one connection; answers come in any order. A frame that cannot be read closes its connection and nothing else.

mod call;
pub mod client;
pub mod frame;
pub mod server;
