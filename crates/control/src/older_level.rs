//! Compatibility of a leader of this build with a group at an older feature level.
//!
//! Older members receive only messages that they can decode. State that the older level encodes differently is written
//! in its encoding. For state that it cannot encode, no log entry is written, or the feature is disabled until the
//! level is raised:
//!
//! | Feature | At level one |
//! |---|---|
//! | orders to engines | the intent and the fencing token take two log entries |
//! | start times of engines | not recorded: an engine is identified by its name |
//! | silence of engines | in the leader's memory; only the leader sends it to relays |
//! | trial leases for suspected work | always granted; evidence is discarded |
//! | usage, engine counts | relays keep their counts; nothing is committed, reported or ordered |
//! | tenants, public routes, scaling limits | a document that has them is rejected |
//!
//! Below level three ended jobs expire by the log's time, with the next submission. Below level four every engine loss
//! counts against the work that ran there, and quarantined work is tried again every hour.

use crate::instance_watch::InstanceWatch;
use crate::node::ControlNode;
use crate::state::ControlState;
use saddlerelay_layouts::level_one::convert::update_to_one;
use saddlerelay_layouts::level_one::gateway as one;
use saddlerelay_layouts::level_one::protocol::ControlReply as ControlReplyOne;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};
use saddlerelay_types::instance::{InstanceId, ReportBatch};
use saddlerelay_types::suspicion::TrialResult;

/// The outcome of a command about suspected work, which level one cannot encode: the work runs as if not suspected.
/// `None` for other commands.
pub(crate) fn unlogged_outcome(command: &GatewayCommand) -> Option<GatewayOutcome> {
    match command {
        GatewayCommand::BeginTrial(_) => Some(GatewayOutcome::Trial(TrialResult::Granted)),
        GatewayCommand::RenewTrials(_) => Some(GatewayOutcome::TrialsLost(Vec::new())),
        GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireTrials(_)
        | GatewayCommand::ExpireSuspicions
        | GatewayCommand::ReleaseWork(_)
        | GatewayCommand::RecordEvidence(_) => Some(GatewayOutcome::Done),
        _ => None,
    }
}

/// Removes start times from reports, as level one identifies engines by name, and drops reports of earlier starts.
pub(crate) fn strip_start_times(mut reports: ReportBatch, watch: &mut InstanceWatch) -> ReportBatch {
    reports.changed.retain(|report| watch.record_start(&report.id));
    reports.heartbeats.retain(|heartbeat| watch.record_start(&heartbeat.id));
    let ids = reports.changed.iter_mut().map(|report| &mut report.id);
    let ids = ids.chain(reports.heartbeats.iter_mut().map(|heartbeat| &mut heartbeat.id));
    ids.for_each(|id| id.started_at_ms = None);
    reports
}

/// The `ids` whose names occur in `missing`.
pub(crate) fn filter_by_name(missing: &[InstanceId], ids: impl Iterator<Item = InstanceId>) -> Vec<InstanceId> {
    ids.filter(|id| missing.iter().any(|missing| missing.name == id.name)).collect()
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Whether this replica leads a group at feature level one.
    pub(crate) fn leads_at_level_one(&self) -> bool {
        self.inner.replica.level_of_proposals() == Some(FeatureLevel::One)
    }

    /// Records that a request from an older build was received.
    pub(crate) fn record_older_build_request(&self) {
        self.inner.older_build_request_at.set(Some(self.inner.platform.monotonic()));
    }

    /// Serves a poll of a relay at level one: all changes, and every silent engine.
    pub(crate) async fn follow_level_one(&self, follow: one::FollowRequest) -> ControlReplyOne {
        let platform = &self.inner.platform;
        let deadline = platform.monotonic() + self.inner.config.long_poll_timeout;
        loop {
            let notified_count = self.inner.relay_updates.count();
            let Some(reply) = self.read(|state| self.reply_level_one(state, &follow)) else {
                return ControlReplyOne::NotLeader { leader: self.inner.replica.leader_address() };
            };
            let Some(reply) = reply else {
                spdlog::warn!("relay of an older build rejected", kv: {
                    relay = follow.relay.as_str(), reason = "the routing document cannot be encoded at its level"
                });
                return ControlReplyOne::Gateway(one::GatewayReply::Unavailable);
            };
            let remaining = deadline.saturating_sub(platform.monotonic());
            if remaining.is_zero() || has_updates(&reply, &follow) {
                return ControlReplyOne::Gateway(one::GatewayReply::Followed(reply));
            }
            timeout(platform, remaining, self.inner.relay_updates.changed(notified_count)).await;
        }
    }

    /// The reply to a relay at level one; `None` if level one cannot encode the routing document.
    fn reply_level_one(&self, state: &ControlState, follow: &one::FollowRequest) -> Option<one::FollowReply> {
        let mut updates = self.inner.routing_updates.borrow_mut();
        let update = state.routing.current().and_then(|current| updates.update(current, follow.routing_version));
        let routing = match &update {
            Some(update) => Some(update_to_one(update)?),
            None => None,
        };
        let replicas = self.inner.replica.member_addresses();
        let nearest_replica = crate::follow::nearest_replica(state, &replicas, &follow.relay, &follow.zone);
        Some(one::FollowReply {
            lease_ms: self.inner.config.follow_lease.as_millis() as u64,
            routing,
            instance_revision: state.instances.revision(),
            instances: state.instances.changed_after(follow.instance_revision).cloned().map(Into::into).collect(),
            silent: state.instances.silent().iter().map(Into::into).collect(),
            replicas,
            nearest_replica,
        })
    }
}

fn has_updates(reply: &one::FollowReply, follow: &one::FollowRequest) -> bool {
    reply.routing.is_some() || reply.instance_revision != follow.instance_revision || reply.silent != follow.silent
}
