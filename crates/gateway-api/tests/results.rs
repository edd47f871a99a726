//! Results read at a follower.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, block_on, document, eventually, job, rollouts};
use saddlerelay_control_client::GatewayError;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::job::JobId;
use saddlerelay_types::tenancy::Caller;
use std::time::Duration;

async fn with_results(name: &str, count: u32) -> Deployment {
    let deployment = Deployment::start(name).await;
    deployment.configure(&document(1, vec![rollouts()])).await;
    let engine = StandInEngine::start("engine").await;
    deployment.register(&engine, "llm").await;
    deployment.submit(&job("j-1", 1, 0, count, 3)).await;
    deployment.await_results("j-1", count as usize).await;
    deployment
}

#[test]
fn a_gateway_reads_results_at_the_replica_in_its_zone() {
    block_on(async {
        let deployment = with_results("near", 6).await;
        let (_replica, gateway, client_address) = deployment.start_south_zone().await;
        eventually("the gateway reads at the replica in its zone", async || {
            deployment.results_at(client_address, "j-1").await;
            gateway.metrics().results_read_in_zone.get() > 0
        })
        .await;
        // Reads are linearizable: a listed result is visible at the follower at once.
        for number in 2..8 {
            let id = format!("j-{number}");
            deployment.submit(&job(&id, 1, number * 10, 4, 2)).await;
            let listed = deployment.await_results(&id, 4).await;
            assert_eq!(deployment.results_at(client_address, &id).await, Some(listed));
        }
        assert!(gateway.metrics().results_read_in_zone.get() >= 6);
        assert_eq!(
            deployment.gateway.metrics().results_read_in_zone.get(),
            0,
            "the gateway in the leader's zone reads at the leader"
        );
    });
}

#[test]
fn a_follower_without_the_job_or_the_position_responds_unavailable() {
    block_on(async {
        let deployment = with_results("behind", 2).await;
        let (replica, gateway, client_address) = deployment.start_south_zone().await;
        let address = deployment.node.replica().member_addresses();
        let address = address.into_iter().find(|address| Some(*address) != gateway.control().current_address());
        let address = address.expect("the group has no second member");
        let position = deployment.node.replica().read_index().expect("the leader returned no read index");
        let read = async |position, id: &str| {
            let job = JobId(id.to_string());
            let request = GatewayRequest::ReadResultsAt { position, job, after: 0, wait_ms: 0, caller: Caller::Anyone };
            gateway.control().call_replica(address, request, Duration::from_secs(2)).await
        };
        eventually("the follower is up to date", async || replica.replica().applied_index() >= position).await;
        assert!(matches!(read(position, "j-1").await, Some(GatewayReply::Results(page)) if page.results.len() == 2));
        assert_eq!(
            read(position, "unknown").await,
            Some(GatewayReply::Unavailable),
            "a follower must not respond that the job does not exist"
        );
        assert_eq!(read(position + 1_000_000, "j-1").await, Some(GatewayReply::Unavailable));
        assert!(
            deployment.results_at(client_address, "unknown").await.is_none(),
            "the gateway falls back to the leader"
        );
        let leader_position =
            gateway.control().gateway(GatewayRequest::ReadIndex, Duration::from_secs(2), Duration::from_secs(1));
        assert!(
            matches!(leader_position.await, Ok::<_, GatewayError>(GatewayReply::Position(returned)) if returned >= position)
        );
        assert_eq!(replica.replica().read_index(), None, "only the leader returns a read index");
    });
}
