//! What a leader of this build does while its group is at an older feature level.
//!
//! Older members are sent nothing that they do not understand. What the older level keeps on the log in other words is written
//! in those; what it has no words for is done without the log, or not at all until the level is raised:
//!
//! | Matter | At level one |
//! |---|---|
//! | orders to engines | noted, and a fence drawn, by two entries |
//! | starts of engines | left out: an engine is its name |
//! | silence of engines | the leader's own view, told to relays by the leader alone |
//! | rights to run suspected work | given to whoever asks; evidence is not kept |
//! | usage, numbers of engines | relays keep their counts; nothing is fixed, reported or ordered |
//! | tenants, public routes, limits of scaling | a document that has them is refused at once |

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
use saddlerelay_types::instance::{GatheredReports, InstanceId};
use saddlerelay_types::suspicion::TrialAnswer;

/// What a command about suspected work brings where the log has no words for it: work runs as if nobody suspected it.
pub(crate) fn outcome_without_log(command: &GatewayCommand) -> Option<GatewayOutcome> {
    match command {
        GatewayCommand::BeginTrial(_) => Some(GatewayOutcome::Trial(TrialAnswer::Granted)),
        GatewayCommand::RenewTrials(_) => Some(GatewayOutcome::TrialsLost(Vec::new())),
        GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireTrials(_)
        | GatewayCommand::ExpireSuspicions
        | GatewayCommand::ReleaseWork(_)
        | GatewayCommand::TakeEvidence(_) => Some(GatewayOutcome::Done),
        _ => None,
    }
}

/// Reports as level one has them: an engine is its name. Those of a start that another has followed are left out.
pub(crate) fn without_starts(mut reports: GatheredReports, watch: &mut InstanceWatch) -> GatheredReports {
    reports.news.retain(|report| watch.note_start(&report.id));
    reports.heartbeats.retain(|heartbeat| watch.note_start(&heartbeat.id));
    let ids = reports.news.iter_mut().map(|report| &mut report.id);
    let ids = ids.chain(reports.heartbeats.iter_mut().map(|heartbeat| &mut heartbeat.id));
    ids.for_each(|id| id.started_at_ms = None);
    reports
}

/// Those of `ids` whose names are among `missing`.
pub(crate) fn named_in(missing: &[InstanceId], ids: impl Iterator<Item = InstanceId>) -> Vec<InstanceId> {
    ids.filter(|id| missing.iter().any(|missing| missing.name == id.name)).collect()
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Whether this replica leads a group whose log has no words for what came after level one.
    pub(crate) fn leads_at_level_one(&self) -> bool {
        self.inner.replica.level_of_proposals() == Some(FeatureLevel::One)
    }

    /// An older build has asked something here.
    pub(crate) fn note_older_asker(&self) {
        self.inner.older_asked_at.set(Some(self.inner.platform.monotonic()));
    }

    /// Answers a relay of level one: all that has changed, and every engine that is silent.
    pub(crate) async fn follow_level_one(&self, follow: one::FollowRequest) -> ControlReplyOne {
        let platform = &self.inner.platform;
        let until = platform.monotonic() + self.inner.config.renewal_wait;
        loop {
            let seen = self.inner.news.count();
            let Some(reply) = self.read(|state| self.reply_level_one(state, &follow)) else {
                return ControlReplyOne::NotLeader { leader: self.inner.replica.leader_address() };
            };
            let Some(reply) = reply else {
                spdlog::warn!("older relay not answered", kv: {
                    relay = follow.relay.as_str(), reason = "the routing document says what it cannot read"
                });
                return ControlReplyOne::Gateway(one::GatewayReply::Unavailable);
            };
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() || brings_news(&reply, &follow) {
                return ControlReplyOne::Gateway(one::GatewayReply::Followed(reply));
            }
            timeout(platform, left, self.inner.news.changed(seen)).await;
        }
    }

    /// What a relay of level one lacks; `None` if level one has no words for the routing document.
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

fn brings_news(reply: &one::FollowReply, follow: &one::FollowRequest) -> bool {
    reply.routing.is_some() || reply.instance_revision != follow.instance_revision || reply.silent != follow.silent
}
