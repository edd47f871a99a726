//! Starts a coordinator's calls to the platform: usage reports and engine counts.

use saddlerelay_control::node::ControlNode;
use saddlerelay_duties::policies::KeepInitial;
use saddlerelay_duties::{Duties, DutyMetrics, EngineCountTerms, HttpPlatform, PlatformDialect, UsageTerms};
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
    dialect: Box<dyn PlatformDialect>,
) -> Rc<DutyMetrics> {
    let metrics = Rc::new(DutyMetrics::default());
    let Some(platform) = &settings.platform else {
        return metrics;
    };
    let duties = Rc::new(Duties {
        runtime: runtime.clone(),
        node: node.clone(),
        client: HttpPlatform { address: platform.address },
        dialect,
        name: settings.name.clone(),
        metrics: metrics.clone(),
    });
    if let Some(usage) = settings.usage.filter(|_| platform.reports_usage) {
        let terms = UsageTerms { window: usage.window, due_after: usage.due_after };
        runtime.spawn(saddlerelay_duties::usage_reports::report(duties.clone(), terms));
    }
    if platform.orders_engines {
        let silence = settings.bounds.control().instance_silence;
        let terms = EngineCountTerms { settling_time: silence, missing_time: silence };
        runtime.spawn(saddlerelay_duties::engine_counts::order(duties, terms, KeepInitial));
    }
    metrics
}
