//! Whole requests to a control replica, and its answers.

use super::commands::commands_to_one;
use super::messages::{reply_from_one, reply_to_one, request_from_one, request_to_one};
use crate::level_one::gateway as one;
use crate::level_one::protocol as one_protocol;
use saddlerelay_types::gateway::GatewayOutcome;
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply, ControlRequest, RenewReply, RenewRequest};

/// A command that a caller asks for. None asks so for what is about routing, instances or jobs.
fn executed_from_one(command: one_protocol::Command) -> Option<Command> {
    use one_protocol::Command as One;
    Some(match command {
        One::Configuration(change) => Command::Configuration(change),
        One::Claim(command) => Command::Claim(command),
        One::Rollout(command) => Command::Rollout(command),
        One::Membership(command) => Command::Membership(command),
        One::Gateway(_) => return None,
    })
}

fn executed_to_one(command: Command) -> Option<one_protocol::Command> {
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
        one::GatewayOutcome::Orders { fence, taken_over } => GatewayOutcome::Orders { fence, taken_over },
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

/// Today's request; `None` for a relay's question, which is answered apart, and for what cannot be asked so.
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
        One::Execute(command) => ControlRequest::Execute(executed_from_one(command)?),
        One::Query(query) => ControlRequest::Query(query),
        One::Initialize => ControlRequest::Initialize,
        One::Gateway(request) => ControlRequest::Gateway(request_from_one(request)?),
    })
}

/// A request of level one; a relay's question is asked apart.
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
        ControlRequest::Execute(command) => One::Execute(executed_to_one(command)?),
        ControlRequest::Query(query) => One::Query(query),
        ControlRequest::Initialize => One::Initialize,
        ControlRequest::Gateway(request) => One::Gateway(request_to_one(request)?),
    })
}

/// Today's answer; `None` for that to a relay's question.
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

/// An answer of level one.
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
