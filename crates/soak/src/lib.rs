//! A randomized soak of the product's real processes.
//!
//! Gateways and coordinators run as child processes, each on a loopback address of its own; engines, clients, a trainer,
//! operators and the platform are tasks of the soak's process. Every connection passes a proxy that can delay, silence or reset it by
//! direction and by pair of parties. Faults come from outside only: from the proxy, by signals, by what happens to data
//! folders and file size limits, and from engines. What callers and engines see is written to a journal, and
//! [`checks`] judges it against the product's promises.

pub mod addresses;
pub mod builds;
pub mod callers;
pub mod calls;
pub mod case;
pub mod checks;
pub mod command_line;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod journal;
pub mod kept;
pub mod links;
pub mod lossy_zone;
pub mod operator;
pub mod owner;
pub mod pairs;
pub mod plan;
pub mod platform;
pub mod proof;
pub mod proxy;
pub mod report;
pub mod run;
mod series;
pub mod socket_query;
pub mod trainer;
pub mod upgrades;
pub mod waits;
pub mod workload;
