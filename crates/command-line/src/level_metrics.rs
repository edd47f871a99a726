//! Gauges of the progress of an upgrade: the active feature level and the newest one that the build supports.

use saddlerelay_control::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::registry::{Gauge, MetricRegistry};
use saddlerelay_types::feature_level::FeatureLevel;

/// Feature level gauges of a replica.
pub struct LevelMetrics<P: Runtime, B: Backends> {
    node: ControlNode<P, B>,
    registry: MetricRegistry,
    level: Gauge,
}

impl<P: Runtime, B: Backends> LevelMetrics<P, B> {
    /// Registers the gauges of `node`.
    pub fn new(node: ControlNode<P, B>) -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_control");
        let level = registry.gauge("feature_level", "Feature level of this replica's state; 0 outside a group");
        let newest = registry.gauge("newest_feature_level", "Newest feature level that this build knows");
        newest.set(FeatureLevel::NEWEST.number().into());
        Self { node, registry, level }
    }

    /// Encodes the gauges in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let level = self.node.replica().level().map_or(0, FeatureLevel::number);
        self.level.set(level.into());
        self.registry.encode()
    }
}
