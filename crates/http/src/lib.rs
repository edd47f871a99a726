//! HTTP/1.1 by hyper on compio: a server, a client whose connect and send are two steps, JSON and event streams.

pub mod body;
pub mod client;
pub mod server;
pub mod sse;
