//! What the control group's leader does towards the platform.
//!
//! `usage_reports` tells it how many requests engines have begun for each tenant, `engine_counts` how many engines are
//! wanted where, by one of the `policies`. Both act under the right to give orders that the control group keeps
//! (`saddlerelay_control::orders`). How the platform is spoken to is behind [`dialect::PlatformDialect`], and how its answers
//! are had behind [`client::PlatformClient`].

pub mod backoff;
pub mod client;
pub mod config;
pub mod dialect;
pub mod engine_counts;
pub mod metrics;
pub mod policies;
pub mod usage_reports;

pub use client::{HttpPlatform, PlatformClient};
pub use config::{EngineCountTerms, UsageTerms};
pub use dialect::PlatformDialect;
pub use metrics::DutyMetrics;

use saddlerelay_control::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use std::rc::Rc;

/// What the duties of one process share.
pub struct Duties<P: Runtime, B: Backends, C> {
    /// The clock and the tasks.
    pub runtime: P,
    /// The process's control node: duties are done while it leads.
    pub node: ControlNode<P, B>,
    /// How the platform is reached.
    pub client: C,
    /// How it is spoken to.
    pub dialect: Box<dyn PlatformDialect>,
    /// The name that calls carry as their holder's.
    pub name: String,
    /// Counters.
    pub metrics: Rc<DutyMetrics>,
}
