//! Keeps the view new: asks the control group for what the relay lacks, again and again.

use crate::gateway::Gateway;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::gateway::{FollowReply, FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use std::time::Duration;

/// Pause after a question that brought no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Follows until the process ends.
pub(crate) async fn follow(gateway: Gateway) {
    let inner = &gateway.inner;
    let mut leased = false;
    loop {
        let request = GatewayRequest::Follow(question(&gateway));
        let asked_at = inner.runtime.monotonic();
        let limit = inner.options.config.follow_limit;
        let answer = inner.control.gateway(request, limit, limit).await;
        match answer {
            Ok(GatewayReply::Followed(reply)) => take(&gateway, reply, asked_at),
            _ => inner.runtime.sleep(RETRY_PAUSE).await,
        }
        let now_leased = inner.view.borrow().is_leased(inner.runtime.monotonic());
        if now_leased != leased {
            tell_lease(&gateway, now_leased);
            leased = now_leased;
        }
    }
}

fn question(gateway: &Gateway) -> FollowRequest {
    let view = gateway.inner.view.borrow();
    FollowRequest {
        relay: gateway.inner.options.name.clone(),
        zone: gateway.inner.options.zone.clone(),
        routing_version: view.update_base(),
        instance_revision: view.instance_revision(),
        silent: view.silent(),
        incarnation: gateway.inner.incarnation,
        unix_ms: gateway.inner.runtime.unix_milliseconds(),
        usage: gateway.inner.usage.borrow_mut().difference(),
        suspicion_revision: gateway.inner.suspicions.revision(),
    }
}

fn take(gateway: &Gateway, mut reply: FollowReply, asked_at: Duration) {
    let inner = &gateway.inner;
    if let Some(list) = reply.suspicions.take() {
        inner.suspicions.take(list);
    }
    tell_instances(&reply);
    if !reply.replicas.is_empty() {
        let seeds = inner.options.seeds.borrow();
        inner.control.set_replicas(reply.replicas.iter().chain(seeds.iter()).copied());
    }
    inner.nearest_replica.set(reply.nearest_replica);
    if let Some(unix_ms) = reply.group_unix_ms {
        inner.clock.borrow_mut().hear(unix_ms, inner.runtime.monotonic());
    }
    inner.usage.borrow_mut().taken(reply.usage_taken);
    let changed = !reply.instances.is_empty();
    let update_bytes = reply.routing.as_ref().map_or(0, EncodedRoutingUpdate::len);
    let before = inner.view.borrow().routing_version();
    inner.view.borrow_mut().take(reply, asked_at, inner.offset);
    tell_routing(gateway, before, update_bytes);
    if changed {
        let view = inner.view.borrow();
        inner.pool.retain(|instance| view.is_known(instance));
        inner.balance.retain(|instance| view.is_known(instance));
    }
}

fn tell_instances(reply: &FollowReply) {
    for record in &reply.instances {
        spdlog::info!("engine instance changed", kv: {
            instance = record.report.id.0.as_str(),
            service = record.report.service.as_str(),
            state = format!("{:?}", record.state).as_str(),
            revision = record.revision
        });
    }
}

fn tell_routing(gateway: &Gateway, before: Option<u64>, update_bytes: usize) {
    let view = gateway.inner.view.borrow();
    let (held, routes) = view.table().map_or((0, 0), |table| (table.document().version, table.document().routes.len()));
    if view.routing_version() != before {
        spdlog::info!("routing version in force", kv: {
            version = held, before = before.unwrap_or_default(), routes = routes, update_bytes = update_bytes
        });
    } else if update_bytes > 0 {
        spdlog::warn!("routing update not taken", kv: { held = held, update_bytes = update_bytes });
    }
}

fn tell_lease(gateway: &Gateway, leased: bool) {
    let age = gateway.inner.view.borrow().age(gateway.now()).as_millis() as u64;
    if leased {
        spdlog::info!("control group regained", kv: { dependency = "control" });
    } else {
        gateway.inner.metrics.leases_lost.inc();
        spdlog::warn!("control group lost", kv: { dependency = "control", view_age_ms = age });
    }
}
