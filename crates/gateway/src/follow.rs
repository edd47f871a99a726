//! Sends follow requests to the control group, which fetch routing and instance updates and renew the lease.

use crate::gateway::Gateway;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::gateway::{FollowReply, FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use std::time::Duration;

/// A full instance list is logged engine by engine up to this size, larger ones as a count.
const MAX_INSTANCES_LOGGED: usize = 64;

/// How long a replica that did not respond is skipped; at least the duration of an election.
const UNRESPONSIVE_SKIP_TIME: Duration = Duration::from_millis(1_500);

/// Pause after a replica could not confirm that its state is current; up to doubled by jitter.
const UNCONFIRMED_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long a replica that could not confirm its state is skipped, once half of the lease has passed.
const UNCONFIRMED_SKIP_TIME: Duration = Duration::from_millis(500);

/// Interval of log lines about the search for the control group while there is no lease.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed follow request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Sends follow requests until the process ends.
pub(crate) async fn follow(gateway: Gateway) {
    let inner = &gateway.inner;
    let mut leased = false;
    let mut search_logged_at = inner.runtime.monotonic();
    loop {
        let requested_at = inner.runtime.monotonic();
        match send_follow_request(&gateway).await {
            Some(reply) => apply_reply(&gateway, reply, requested_at),
            None => inner.runtime.sleep(RETRY_PAUSE).await,
        }
        let now_leased = inner.view.borrow().is_leased(inner.runtime.monotonic());
        if now_leased != leased {
            log_lease_change(&gateway, now_leased);
            leased = now_leased;
        }
        let now = inner.runtime.monotonic();
        if !leased && now >= search_logged_at + SEARCH_LOG_INTERVAL {
            log_control_search(&gateway);
            search_logged_at = now;
        }
    }
}

/// Sends a follow request to the replica assigned to this relay, or to the leader.
async fn send_follow_request(gateway: &Gateway) -> Option<FollowReply> {
    let inner = &gateway.inner;
    let timeout = inner.options.config.follow_timeout;
    let Some(replica) = inner.assigned_replica.address(inner.runtime.monotonic()) else {
        let request = GatewayRequest::Follow(follow_request(gateway, false));
        return match inner.control.gateway(request, timeout, timeout).await {
            Ok(GatewayReply::Followed(reply)) => Some(reply),
            _ => None,
        };
    };
    let request = GatewayRequest::Follow(follow_request(gateway, true));
    match inner.control.call_replica(replica, request, timeout).await {
        Some(GatewayReply::Followed(reply)) => Some(reply),
        // The replica could not confirm its state: the leader is overloaded or absent. Waiting prevents all relays from
        // sending their requests to the leader at once.
        Some(_) if inner.view.borrow().may_retry_follower(inner.runtime.monotonic()) => {
            inner.runtime.sleep(UNCONFIRMED_RETRY_PAUSE + inner.runtime.jitter(UNCONFIRMED_RETRY_PAUSE)).await;
            None
        }
        other => {
            let pause = if other.is_some() { UNCONFIRMED_SKIP_TIME } else { UNRESPONSIVE_SKIP_TIME };
            spdlog::info!("control replica skipped", kv: {
                replica = replica.to_string().as_str(), answered = other.is_some(),
                pause_ms = pause.as_millis() as u64
            });
            inner.assigned_replica.skip_until(replica, inner.runtime.monotonic() + pause);
            None
        }
    }
}

fn follow_request(gateway: &Gateway, at_follower: bool) -> FollowRequest {
    let view = gateway.inner.view.borrow();
    FollowRequest {
        relay: gateway.inner.options.name.clone(),
        zone: gateway.inner.options.zone.clone(),
        routing_version: view.update_base(),
        instance_revision: view.instance_revision(),
        at_follower,
        incarnation: gateway.inner.incarnation,
        unix_ms: gateway.inner.runtime.unix_milliseconds(),
        usage: gateway.inner.usage.borrow_mut().next_delta(),
        suspicion_revision: gateway.inner.suspicions.revision(),
    }
}

fn apply_reply(gateway: &Gateway, mut reply: FollowReply, requested_at: Duration) {
    let inner = &gateway.inner;
    if let Some(list) = reply.suspicions.take() {
        inner.suspicions.apply_list(list);
    }
    log_instance_changes(&reply);
    if !reply.replicas.is_empty() {
        let seeds = inner.options.seeds.borrow();
        inner.control.set_replicas(reply.replicas.iter().chain(seeds.iter()).copied());
    }
    inner.nearest_replica.set(reply.nearest_replica);
    inner.assigned_replica.assign(reply.follower);
    inner.control.set_retry_pause(Duration::from_millis(reply.retry_pause_ms.into()));
    if let Some(unix_ms) = reply.group_unix_ms {
        inner.clock.borrow_mut().add_sample(unix_ms, inner.runtime.monotonic());
    }
    inner.usage.borrow_mut().acknowledge(reply.committed_usage_sequence);
    let changed = reply.instances.whole || !reply.instances.records.is_empty();
    let update_bytes = reply.routing.as_ref().map_or(0, EncodedRoutingUpdate::len);
    let before = inner.view.borrow().routing_version();
    inner.view.borrow_mut().apply_reply(reply, requested_at, inner.offset);
    log_routing_update(gateway, before, update_bytes);
    if changed {
        let view = inner.view.borrow();
        inner.pool.retain(|instance| view.is_known(instance));
        inner.balance.retain(|instance| view.is_known(instance));
    }
}

fn log_instance_changes(reply: &FollowReply) {
    let update = &reply.instances;
    if update.whole && update.records.len() > MAX_INSTANCES_LOGGED {
        spdlog::info!("engine list received", kv: { revision = update.revision, engines = update.records.len() });
        return;
    }
    for record in &update.records {
        spdlog::info!("engine instance changed", kv: {
            instance = record.report.id.name.as_str(),
            started_at_ms = record.report.id.started_at_ms.unwrap_or_default(),
            service = record.report.service.as_str(),
            state = format!("{:?}", record.state).as_str(),
            silent = record.silent,
            revision = record.revision
        });
    }
}

fn log_routing_update(gateway: &Gateway, before: Option<u64>, update_bytes: usize) {
    let view = gateway.inner.view.borrow();
    let (current_version, routes) =
        view.table().map_or((0, 0), |table| (table.document().version, table.document().routes.len()));
    if view.routing_version() != before {
        spdlog::info!("routing version in force", kv: {
            version = current_version, before = before.unwrap_or_default(), routes = routes, update_bytes = update_bytes
        });
    } else if update_bytes > 0 {
        spdlog::warn!("routing update rejected", kv: { held = current_version, update_bytes = update_bytes });
    }
}

/// Logs the control replicas that this relay tries, and the newest result of each.
fn log_control_search(gateway: &Gateway) {
    let search = gateway.inner.control.search();
    gateway.inner.metrics.searches_logged.inc();
    spdlog::warn!("control group unreachable", kv: {
        dependency = "control",
        view_age_ms = gateway.inner.view.borrow().age(gateway.now()).as_millis() as u64,
        replicas = search.replicas.len(),
        answers = search.to_string().as_str()
    });
}

fn log_lease_change(gateway: &Gateway, leased: bool) {
    let age = gateway.inner.view.borrow().age(gateway.now()).as_millis() as u64;
    if leased {
        spdlog::info!("control group lease acquired", kv: { dependency = "control" });
    } else {
        gateway.inner.metrics.leases_lost.inc();
        spdlog::warn!("control group lease expired", kv: { dependency = "control", view_age_ms = age });
    }
}
