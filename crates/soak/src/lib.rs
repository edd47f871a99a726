//! Randomized fault soak of the product's processes.
//!
//! Gateways and coordinators run as child processes, each on its own loopback address; engines, clients, a trainer,
//! operators and the platform run as tasks of the soak process. Every connection passes through a proxy that can
//! delay, block or reset it per direction and per pair of parties. Faults are injected from outside only: by the
//! proxy, signals, damage to data folders, file size limits and engine misbehavior. Observations of callers and
//! engines go to a journal, and [`checks`] verifies the product's invariants against it.

pub mod addresses;
pub mod builds;
pub mod callers;
pub mod calls;
pub mod case;
pub mod checks;
pub mod command_line;
pub mod convergence;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod journal;
pub mod keep_alive;
pub mod links;
pub mod lossy_zone;
pub mod operator;
pub mod owner;
pub mod pairs;
pub mod plan;
pub mod platform;
pub mod proxy;
mod received_bytes;
pub mod report;
pub mod run;
mod series;
pub mod socket_query;
pub mod trainer;
pub mod upgrades;
pub mod waits;
pub mod workload;
