//! Shows how far an upgrade has come: the feature level of a replica's state beside the newest that its build knows.

use saddlerelay_control::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::registry::{Gauge, MetricRegistry};
use saddlerelay_types::feature_level::FeatureLevel;

/// The gauges of one replica.
pub struct LevelMetrics<P: Runtime, B: Backends> {
    node: ControlNode<P, B>,
    registry: MetricRegistry,
    level: Gauge,
}

impl<P: Runtime, B: Backends> LevelMetrics<P, B> {
    /// Gauges of `node`.
    pub fn new(node: ControlNode<P, B>) -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_control");
        let level = registry.gauge("feature_level", "Feature level of this replica's state; 0 outside a group");
        let newest = registry.gauge("newest_feature_level", "Newest feature level that this build knows");
        newest.set(FeatureLevel::NEWEST.number().into());
        Self { node, registry, level }
    }

    /// The gauges in the text format of metrics.
    pub fn encode(&self) -> String {
        let level = self.node.replica().level().map_or(0, FeatureLevel::number);
        self.level.set(level.into());
        self.registry.encode()
    }
}
