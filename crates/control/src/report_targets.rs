//! Selects the store machine that an engine should send its next reports to: in a large fleet, one that is not a member
//! of the group.
//!
//! Engines that were started together also report at the same time. In a large fleet such a burst would delay
//! replication messages at a member, which can trigger an election.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::engine_subset::hash_position;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::InstanceReport;
use std::net::SocketAddr;

/// Up to this many engines may report to any machine; with more, members redirect them. Engines that were started
/// together report together: with 500 and twenty machines, each receives 25 reports at a time, about 5 ms of a core.
const MAX_ENGINES_AT_MEMBERS: u32 = 500;

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// The control address of the machine that an engine should report to from now on; `None` for any. It rotates with
    /// the report's sequence number, as a machine may be down.
    pub fn report_target(&self, report: &InstanceReport) -> Option<SocketAddr> {
        let members = self.inner.replica.member_addresses();
        if !members.contains(&self.inner.replica.address()) {
            return None;
        }
        self.read_applied(|state| select_report_target(state, &members, report))
    }
}

fn select_report_target(state: &ControlState, members: &[SocketAddr], report: &InstanceReport) -> Option<SocketAddr> {
    let engines: u32 = state.instances.engine_pools().map(|pool| state.instances.available(pool)).sum();
    if engines <= MAX_ENGINES_AT_MEMBERS {
        return None;
    }
    let others = |zone: Option<&str>| -> Vec<SocketAddr> {
        state.stores.addresses(zone).filter(|address| !members.contains(address)).collect()
    };
    let in_zone = others(Some(&report.zone));
    let machines = if in_zone.is_empty() { others(None) } else { in_zone };
    let index = hash_position(&report.id.name).wrapping_add(report.sequence);
    machines.get(index as usize % machines.len().max(1)).copied()
}
