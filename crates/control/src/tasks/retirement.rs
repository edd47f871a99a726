//! Empties store machines that are to be taken away: their replicas leave the group, and once it is whole without them
//! the retirement is completed. Also names the machines that are there to the replica, which tells them where the group is.

use crate::node::ControlNode;
use crate::state::stores::Retirement;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(100);

/// Watches retirements while this process leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let found = node.read(|state| {
            let unwanted = state.stores.unwanted_replicas().collect();
            let running: Vec<_> = state.stores.in_stage(Retirement::Running).cloned().collect();
            (unwanted, running, state.stores.present().collect())
        });
        let Some((unwanted, running, present)) = found else {
            continue;
        };
        let replica = &node.inner.replica;
        replica.set_unwanted(unwanted);
        replica.set_audience(present);
        for record in running {
            if record.replica == replica.id() {
                if replica.may_leave() {
                    replica.hand_over().await;
                }
            } else if replica.is_whole_without(record.replica) {
                // A failed commit is tried again at the next look.
                let _ = node.commit_gateway(GatewayCommand::StoreRetired(record.name)).await;
            }
        }
    }
}
