//! A training step whose samples are assigned to the relays of a simulated deployment.

use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::cluster::{Cluster, Component};
use saddlerelay_standins::access::Access;
use saddlerelay_types::identity::{Incarnation, Position, StepNumber};
use saddlerelay_types::rollout::StepRequest;
use std::rc::Rc;
use std::time::Duration;

/// The relay that the trainer uses.
const TRAINER_RELAY: usize = 2;

/// A trainer's step whose samples are assigned to the relays.
pub struct OpenStep {
    cluster: Rc<Cluster>,
    incarnation: Incarnation,
    samples: usize,
}

impl OpenStep {
    /// Opens a step, and returns once relay `holder` runs some of its samples.
    pub async fn open(cluster: Rc<Cluster>, holder: usize) -> Self {
        let step = Self { cluster: cluster.clone(), incarnation: Incarnation(1), samples: 64 };
        let access = cluster.access(cluster.client_platform());
        let tenant = cluster.training_tenants()[0].id.clone();
        access.open_trainer(TRAINER_RELAY, &tenant, step.incarnation).await.expect("the trainer session opens");
        let prompts = (0..16).map(|number| format!("prompt {number}")).collect();
        let request = StepRequest { step: StepNumber(1), prompts, group_size: 4, max_tokens: 100 };
        access.open_step(TRAINER_RELAY, &tenant, step.incarnation, &request).await.expect("the step opens");
        while step.running_at_relay(holder) == 0 {
            cluster.client_platform().sleep(Duration::from_millis(1)).await;
        }
        step
    }

    pub fn running_at_relay(&self, index: usize) -> usize {
        match self.cluster.deployed_process(&format!("relay-{index}")).expect("the process was started").component {
            Component::Relay(relay, _) => relay.borrow().as_ref().map_or(0, |relay| relay.in_progress()),
            _ => 0,
        }
    }

    /// Fetches until all samples of the step have arrived; returns how long that took.
    pub async fn fetch_all(&self) -> Duration {
        let platform = self.cluster.client_platform();
        let access = self.cluster.access(platform.clone());
        let tenant = self.cluster.training_tenants()[0].id.clone();
        let from = platform.monotonic();
        let mut cursor = Position(0);
        while (cursor.0 as usize) < self.samples {
            match access.fetch(TRAINER_RELAY, &tenant, self.incarnation, cursor, 16).await {
                Ok(batch) => cursor = batch.samples.last().map_or(cursor, |sample| sample.position),
                Err(_) => platform.sleep(Duration::from_millis(20)).await,
            }
        }
        platform.monotonic() - from
    }
}
