//! Where engines are asked to send their later reports: to machines that serve control and are no replicas.
//!
//! Engines that were started together report together. What 10,000 of them cost the machines that hear them is a burst of
//! half a second each time; a replica that has its share of it misses the group's own messages, and the group its leader.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::engine_subset::position;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::InstanceReport;
use std::net::SocketAddr;

/// Engines that report at any machine; with more, replicas send them on. At 500, a replica of twenty machines hears 25 at a
/// time: some 5 ms of a whole core.
const HEARD_ANYWHERE: u32 = 500;

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Where, among saddlerelay's own processes, the process listens that an engine is to report to from now on; `None` for
    /// any. Another one each time that it asks: one that is down is not named for ever.
    pub fn reports_go_to(&self, report: &InstanceReport) -> Option<SocketAddr> {
        let members = self.inner.replica.member_addresses();
        if !members.contains(&self.inner.replica.address()) {
            return None;
        }
        self.read_applied(|state| other_machine(state, &members, report))
    }
}

fn other_machine(state: &ControlState, members: &[SocketAddr], report: &InstanceReport) -> Option<SocketAddr> {
    let engines: u32 = state.instances.places().map(|place| state.instances.present(place)).sum();
    if engines <= HEARD_ANYWHERE {
        return None;
    }
    let others = |zone: Option<&str>| -> Vec<SocketAddr> {
        state.stores.addresses(zone).filter(|address| !members.contains(address)).collect()
    };
    let near = others(Some(&report.zone));
    let machines = if near.is_empty() { others(None) } else { near };
    let turn = position(&report.id.name).wrapping_add(report.sequence);
    machines.get(turn as usize % machines.len().max(1)).copied()
}
