//! Periodic calls from the control group's leader to the platform.
//!
//! `usage_reports` reports the number of requests that engines started for each tenant; `engine_counts` orders the
//! number of engines that a policy from `policies` wants per service and zone. Each call carries a fencing token from
//! the control group (`saddlerelay_control::orders`). [`format::PlatformFormat`] defines the platform's formats,
//! [`client::PlatformClient`] its transport.

pub mod backoff;
pub mod client;
pub mod config;
pub mod engine_counts;
pub mod format;
pub mod metrics;
pub mod policies;
pub mod usage_reports;

pub use client::{HttpPlatform, PlatformClient};
pub use config::{EngineCountConfig, UsageReportConfig};
pub use format::PlatformFormat;
pub use metrics::PlatformMetrics;

use saddlerelay_control::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use std::rc::Rc;

/// State shared by the platform tasks of one process.
pub struct Duties<P: Runtime, B: Backends, C> {
    /// Provides the clock, timers and task spawning.
    pub runtime: P,
    /// The process's control node; the tasks act only while it is leader.
    pub node: ControlNode<P, B>,
    /// The transport to the platform.
    pub client: C,
    /// The platform's request and response formats.
    pub platform_format: Box<dyn PlatformFormat>,
    /// This process's name, stated in calls as their sender ([`format::CallGrant::holder`]).
    pub name: String,
    /// Counters of calls to the platform.
    pub metrics: Rc<PlatformMetrics>,
}
