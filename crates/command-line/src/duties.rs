//! Starts a coordinator's calls to the platform: usage reports and engine counts.

use saddlerelay_control::node::ControlNode;
use saddlerelay_duties::policies::KeepInitial;
use saddlerelay_duties::{Duties, EngineCountConfig, HttpPlatform, PlatformFormat, PlatformMetrics, UsageReportConfig};
use saddlerelay_engine_client::HttpBackends;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_settings::MemberSettings;
use std::rc::Rc;

/// Starts the duties enabled in the settings and returns their metrics.
pub fn start(
    runtime: &CompioRuntime,
    node: &ControlNode<CompioRuntime, HttpBackends>,
    settings: &MemberSettings,
    platform_format: Box<dyn PlatformFormat>,
) -> Rc<PlatformMetrics> {
    let metrics = Rc::new(PlatformMetrics::default());
    let Some(platform) = &settings.platform else {
        return metrics;
    };
    let duties = Rc::new(Duties {
        runtime: runtime.clone(),
        node: node.clone(),
        client: HttpPlatform { address: platform.address },
        platform_format,
        name: settings.name.clone(),
        metrics: metrics.clone(),
    });
    if let Some(usage) = settings.usage.filter(|_| platform.reports_usage) {
        let config = UsageReportConfig { window: usage.window, due_after: usage.due_after };
        runtime.spawn(saddlerelay_duties::usage_reports::run(duties.clone(), config));
    }
    if platform.orders_engines {
        let silence = settings.bounds.control().instance_silence_timeout;
        let config = EngineCountConfig { discovery_time: silence, replacement_delay: silence };
        runtime.spawn(saddlerelay_duties::engine_counts::run(duties, config, KeepInitial));
    }
    metrics
}
