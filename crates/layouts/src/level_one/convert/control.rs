//! Conversion of requests to control replicas and of their replies.

use super::commands::commands_to_one;
use super::messages::{reply_from_one, reply_to_one, request_from_one, request_to_one};
use crate::level_one::gateway as one;
use crate::level_one::protocol as one_protocol;
use saddlerelay_types::gateway::GatewayOutcome;
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply, ControlRequest, RenewReply, RenewRequest};

/// Converts a command of an `Execute` request; `None` for gateway commands, which are not requested by `Execute`.
fn executable_command_from_one(command: one_protocol::Command) -> Option<Command> {
    use one_protocol::Command as One;
    Some(match command {
        One::Configuration(change) => Command::Configuration(change),
        One::Claim(command) => Command::Claim(command),
        One::Rollout(command) => Command::Rollout(command),
        One::Membership(command) => Command::Membership(command),
        One::Gateway(_) => return None,
    })
}

/// Converts the command of an `Execute` request; `None` unless level one expresses it as a single command.
fn executable_command_to_one(command: Command) -> Option<one_protocol::Command> {
    match commands_to_one(command)?.as_slice() {
        [command] => Some(command.clone()),
        _ => None,
    }
}

fn outcome_from_one(outcome: one_protocol::CommandOutcome) -> CommandOutcome {
    use one_protocol::CommandOutcome as One;
    match outcome {
        One::Configuration(outcome) => CommandOutcome::Configuration(outcome),
        One::Claim(outcome) => CommandOutcome::Claim(outcome),
        One::Trainer(state) => CommandOutcome::Trainer(state),
        One::Delivery(batch) => CommandOutcome::Delivery(batch),
        One::Refused(refusal) => CommandOutcome::Refused(refusal),
        One::Assigned(samples) => CommandOutcome::Assigned(samples),
        One::Fence(fence) => CommandOutcome::Fence(fence),
        One::Applied(changed) => CommandOutcome::Applied(changed),
        One::Gateway(outcome) => CommandOutcome::Gateway(gateway_outcome_from_one(outcome)),
    }
}

fn gateway_outcome_from_one(outcome: one::GatewayOutcome) -> GatewayOutcome {
    match outcome {
        one::GatewayOutcome::Done => GatewayOutcome::Done,
        one::GatewayOutcome::NotFound => GatewayOutcome::NotFound,
        one::GatewayOutcome::TextMissing(missing) => GatewayOutcome::TextMissing(missing),
        one::GatewayOutcome::Orders { fence, holder_changed } => GatewayOutcome::Orders { fence, holder_changed },
    }
}

fn outcome_to_one(outcome: CommandOutcome) -> Option<one_protocol::CommandOutcome> {
    use one_protocol::CommandOutcome as One;
    Some(match outcome {
        CommandOutcome::Configuration(outcome) => One::Configuration(outcome),
        CommandOutcome::Claim(outcome) => One::Claim(outcome),
        CommandOutcome::Trainer(state) => One::Trainer(state),
        CommandOutcome::Delivery(batch) => One::Delivery(batch),
        CommandOutcome::Refused(refusal) => One::Refused(refusal),
        CommandOutcome::Assigned(samples) => One::Assigned(samples),
        CommandOutcome::Fence(fence) => One::Fence(fence),
        CommandOutcome::Applied(changed) => One::Applied(changed),
        CommandOutcome::Gateway(_) => return None,
    })
}

/// Converts a request from level one; `None` for a follow request, which is handled separately, and for an `Execute`
/// of a gateway command.
pub fn control_request_from_one(request: one_protocol::ControlRequest) -> Option<ControlRequest> {
    use one_protocol::ControlRequest as One;
    Some(match request {
        One::Replication(bytes) => ControlRequest::Replication(bytes),
        One::Renew(renewal) => ControlRequest::Renew(RenewRequest {
            relay: renewal.relay,
            configuration: renewal.configuration,
            engines: renewal.engines,
            targets: renewal.targets,
            suspicion_revision: 0,
        }),
        One::Execute(command) => ControlRequest::Execute(executable_command_from_one(command)?),
        One::Query(query) => ControlRequest::Query(query),
        One::Initialize => ControlRequest::Initialize,
        One::Gateway(request) => ControlRequest::Gateway(request_from_one(request)?),
    })
}

/// Converts a request to level one; `None` for a follow request, which is handled separately, or if level one cannot
/// express it.
pub fn control_request_to_one(request: ControlRequest) -> Option<one_protocol::ControlRequest> {
    use one_protocol::ControlRequest as One;
    Some(match request {
        ControlRequest::Replication(bytes) => One::Replication(bytes),
        ControlRequest::Renew(renewal) => One::Renew(one_protocol::RenewRequest {
            relay: renewal.relay,
            configuration: renewal.configuration,
            engines: renewal.engines,
            targets: renewal.targets,
        }),
        ControlRequest::Execute(command) => One::Execute(executable_command_to_one(command)?),
        ControlRequest::Query(query) => One::Query(query),
        ControlRequest::Initialize => One::Initialize,
        ControlRequest::Gateway(request) => One::Gateway(request_to_one(request)?),
    })
}

/// Converts a reply from level one; `None` for a follow reply.
pub fn control_reply_from_one(reply: one_protocol::ControlReply) -> Option<ControlReply> {
    use one_protocol::ControlReply as One;
    Some(match reply {
        One::Replication(bytes) => ControlReply::Replication(bytes),
        One::Renewed(reply) => ControlReply::Renewed(RenewReply {
            fenced: reply.fenced,
            lease_milliseconds: reply.lease_milliseconds,
            configuration: reply.configuration,
            engine_revision: reply.engine_revision,
            engines: reply.engines,
            targets: reply.targets,
            relay_count: reply.relay_count,
            suspicions: None,
        }),
        One::Executed(outcome) => ControlReply::Executed(outcome_from_one(outcome)),
        One::Answer(answer) => ControlReply::Answer(answer),
        One::NotLeader { leader } => ControlReply::NotLeader { leader, peers: Vec::new() },
        One::Undecided => ControlReply::Undecided,
        One::Refused(reason) => ControlReply::Refused(reason),
        One::Gateway(reply) => ControlReply::Gateway(reply_from_one(reply)?),
    })
}

/// Converts a reply to level one; `None` if level one cannot express it.
pub fn control_reply_to_one(reply: ControlReply) -> Option<one_protocol::ControlReply> {
    use one_protocol::ControlReply as One;
    Some(match reply {
        ControlReply::Replication(bytes) => One::Replication(bytes),
        ControlReply::Renewed(reply) => One::Renewed(one_protocol::RenewReply {
            fenced: reply.fenced,
            lease_milliseconds: reply.lease_milliseconds,
            configuration: reply.configuration,
            engine_revision: reply.engine_revision,
            engines: reply.engines,
            targets: reply.targets,
            relay_count: reply.relay_count,
        }),
        ControlReply::Executed(outcome) => One::Executed(outcome_to_one(outcome)?),
        ControlReply::Answer(answer) => One::Answer(answer),
        ControlReply::NotLeader { leader, .. } => One::NotLeader { leader },
        ControlReply::Undecided => One::Undecided,
        ControlReply::Refused(reason) => One::Refused(reason),
        ControlReply::Gateway(reply) => One::Gateway(reply_to_one(reply)?),
    })
}
