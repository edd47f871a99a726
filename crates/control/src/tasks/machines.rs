//! Polls the platform's list of machines: registers new engines and drains leaving ones.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::membership::{EngineAvailability, EngineObservation, PlatformMachine};
use saddlerelay_types::protocol::{Command, MembershipCommand};

/// Polls the list while this process leads.
pub async fn poll<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let interval = node.inner.config.platform_interval;
    loop {
        node.inner.platform.sleep(interval).await;
        if node.inner.replica.leading_term().is_none() {
            continue;
        }
        let list = timeout(&node.inner.platform, interval * 2, node.inner.backends.machines()).await;
        if let Some(Ok(machines)) = list {
            for command in changes(&node, &machines) {
                // A failed commit is retried at the next poll.
                let _ = node.commit(Command::Membership(command)).await;
            }
        }
    }
}

fn changes<P: Runtime, B: Backends>(node: &ControlNode<P, B>, machines: &[PlatformMachine]) -> Vec<MembershipCommand> {
    let commands = node.read(|state| {
        let mut commands = Vec::new();
        let mut leaving = Vec::new();
        for machine in machines {
            match state.members.engine(&machine.engine.id) {
                Some(record) if record.description == machine.engine => {
                    if machine.leaving && record.availability != EngineAvailability::Leaving {
                        leaving.push(EngineObservation {
                            id: machine.engine.id.clone(),
                            incarnation: record.incarnation,
                            availability: EngineAvailability::Leaving,
                            weights: record.weights,
                        });
                    }
                }
                _ => commands.push(MembershipCommand::RegisterEngine(machine.engine.clone())),
            }
        }
        if !leaving.is_empty() {
            commands.push(MembershipCommand::Observe(leaving));
        }
        commands
    });
    commands.unwrap_or_default()
}
