//! Drains store machines that are being retired: removes their replicas from the group, and completes the retirement
//! once the group is fully replicated without them. Also passes the zones and addresses of all machines that are not
//! retired to the replica, which spreads the voters over the zones and announces the group's members to the addresses.

use crate::node::ControlNode;
use crate::state::stores::Retirement;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Drives retirements while this process leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        // Every replica knows the zones before it leads, as a new leader may change the membership at once.
        let replica = &node.inner.replica;
        replica.set_zones(node.read_applied(|state| state.stores.zones()));
        let stores = node.read(|state| {
            let unwanted = state.stores.unwanted_replicas().collect();
            let running: Vec<_> = state.stores.in_stage(Retirement::Running).cloned().collect();
            (unwanted, running, state.stores.present().collect())
        });
        let Some((unwanted, running, present)) = stores else {
            continue;
        };
        replica.set_excluded_replicas(unwanted);
        replica.set_announcement_targets(present);
        for record in running {
            if record.replica == replica.id() {
                if replica.can_leave() {
                    replica.transfer_leadership().await;
                }
            } else if replica.is_replicated_without(record.replica) {
                // A failed commit is retried at the next check.
                let _ = node.commit_gateway(GatewayCommand::StoreRetired(record.name)).await;
            }
        }
    }
}
