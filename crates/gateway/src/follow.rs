//! Keeps the view new: asks the control group for what the relay lacks, again and again.

use crate::gateway::Gateway;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::gateway::{FollowReply, FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use std::time::Duration;

/// Engines that are told one by one in the log when all are told anew; more are only counted.
const MOST_ENGINES_TOLD: usize = 64;

/// How long a replica that did not answer is not asked: an election takes no longer.
const SILENT_PASSED_OVER: Duration = Duration::from_millis(1_500);

/// Pause before a replica is asked again that is not sure of its state, doubled at random.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(100);

/// How long a replica that is not sure of its state is not asked, once the lease runs short.
const UNCONFIRMED_PASSED_OVER: Duration = Duration::from_millis(500);

/// A relay without a lease tells why this often: some lines in the time in which a group elects a leader anew.
const SEARCH_TOLD_EVERY: Duration = Duration::from_secs(1);

/// Pause after a question that brought no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Follows until the process ends.
pub(crate) async fn follow(gateway: Gateway) {
    let inner = &gateway.inner;
    let mut leased = false;
    let mut search_told_at = inner.runtime.monotonic();
    loop {
        let asked_at = inner.runtime.monotonic();
        match ask(&gateway).await {
            Some(reply) => take(&gateway, reply, asked_at),
            None => inner.runtime.sleep(RETRY_PAUSE).await,
        }
        let now_leased = inner.view.borrow().is_leased(inner.runtime.monotonic());
        if now_leased != leased {
            tell_lease(&gateway, now_leased);
            leased = now_leased;
        }
        let now = inner.runtime.monotonic();
        if !leased && now >= search_told_at + SEARCH_TOLD_EVERY {
            tell_search(&gateway);
            search_told_at = now;
        }
    }
}

/// Asks the replica that the group has named for this relay, or else the leader.
async fn ask(gateway: &Gateway) -> Option<FollowReply> {
    let inner = &gateway.inner;
    let limit = inner.options.config.follow_limit;
    let Some(follower) = inner.follower.address(inner.runtime.monotonic()) else {
        let request = GatewayRequest::Follow(question(gateway, false));
        return match inner.control.gateway(request, limit, limit).await {
            Ok(GatewayReply::Followed(reply)) => Some(reply),
            _ => None,
        };
    };
    let request = GatewayRequest::Follow(question(gateway, true));
    match inner.control.gateway_at(follower, request, limit).await {
        Some(GatewayReply::Followed(reply)) => Some(reply),
        // It is there, and not sure of its state: the leader is busy, or there is none. Hundreds of relays that turned to the
        // leader then would keep it busy.
        Some(_) if inner.view.borrow().may_wait(inner.runtime.monotonic()) => {
            inner.runtime.sleep(UNCONFIRMED_PAUSE + inner.runtime.jitter(UNCONFIRMED_PAUSE)).await;
            None
        }
        other => {
            let pause = if other.is_some() { UNCONFIRMED_PASSED_OVER } else { SILENT_PASSED_OVER };
            spdlog::info!("replica passed over", kv: {
                replica = follower.to_string().as_str(), answered = other.is_some(),
                pause_ms = pause.as_millis() as u64
            });
            inner.follower.pass_over(follower, inner.runtime.monotonic() + pause);
            None
        }
    }
}

fn question(gateway: &Gateway, at_follower: bool) -> FollowRequest {
    let view = gateway.inner.view.borrow();
    FollowRequest {
        relay: gateway.inner.options.name.clone(),
        zone: gateway.inner.options.zone.clone(),
        routing_version: view.update_base(),
        instance_revision: view.instance_revision(),
        at_follower,
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
    inner.follower.name(reply.follower);
    inner.control.set_retry_pause(Duration::from_millis(reply.retry_pause_ms.into()));
    if let Some(unix_ms) = reply.group_unix_ms {
        inner.clock.borrow_mut().hear(unix_ms, inner.runtime.monotonic());
    }
    inner.usage.borrow_mut().taken(reply.usage_taken);
    let changed = reply.instances.whole || !reply.instances.records.is_empty();
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
    let news = &reply.instances;
    if news.whole && news.records.len() > MOST_ENGINES_TOLD {
        spdlog::info!("engines told whole", kv: { revision = news.revision, engines = news.records.len() });
        return;
    }
    for record in &news.records {
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

/// Says why there is no lease: whom this relay asks, and what each answered.
fn tell_search(gateway: &Gateway) {
    let search = gateway.inner.control.search();
    gateway.inner.metrics.searches_told.inc();
    spdlog::warn!("control group not found", kv: {
        dependency = "control",
        view_age_ms = gateway.inner.view.borrow().age(gateway.now()).as_millis() as u64,
        replicas = search.replicas.len(),
        answers = search.to_string().as_str()
    });
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
