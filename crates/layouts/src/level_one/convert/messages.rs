//! Conversion of gateway requests and replies. Follow requests and replies are converted in `follow`.

use crate::level_one::gateway as one;
use crate::level_one::routing as one_routing;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::tenancy::Caller;

/// Whether level one can express the caller.
fn is_anyone(caller: &Caller) -> bool {
    *caller == Caller::Anyone
}

/// Converts a request from level one; `None` for a follow request, which is handled separately.
pub fn request_from_one(request: one::GatewayRequest) -> Option<GatewayRequest> {
    use one::GatewayRequest as One;
    let caller = Caller::Anyone;
    Some(match request {
        One::Follow(_) => return None,
        One::ReportInstance(report) => GatewayRequest::ReportInstance(report.into()),
        One::RemoveInstance(id) => GatewayRequest::RemoveInstance(id.into()),
        One::PutRouting(document) => GatewayRequest::PutRouting(document.into()),
        One::ReadRouting => GatewayRequest::ReadRouting,
        One::PublishVersion(loaded_model) => GatewayRequest::PublishVersion(loaded_model),
        One::SubmitJob(job) => GatewayRequest::SubmitJob(job.into()),
        One::ReadResults { job, after, wait_ms } => GatewayRequest::ReadResults { job, after, wait_ms, caller },
        One::ReadIndex => GatewayRequest::ReadIndex,
        One::ReadResultsAt { position, job, after, wait_ms } => {
            GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller }
        }
        One::ReadBody { job, item } => GatewayRequest::ReadBody { job, item, caller },
        One::EndJob(job) => GatewayRequest::EndJob { job, caller },
        One::RegisterStore(record) => GatewayRequest::RegisterStore(record),
        One::RetireStore(name) => GatewayRequest::RetireStore(name),
        One::ReadRetirement(name) => GatewayRequest::ReadRetirement(name),
    })
}

/// Converts a request to level one; `None` for a follow request, which is handled separately, or if level one cannot
/// express it.
pub fn request_to_one(request: GatewayRequest) -> Option<one::GatewayRequest> {
    use one::GatewayRequest as One;
    Some(match request {
        GatewayRequest::ReportInstance(report) => One::ReportInstance(report.into()),
        GatewayRequest::RemoveInstance(id) => One::RemoveInstance((&id).into()),
        GatewayRequest::PutRouting(document) => One::PutRouting(one_routing::RoutingDocument::of(document)?),
        GatewayRequest::ReadRouting => One::ReadRouting,
        GatewayRequest::PublishVersion(loaded_model) => One::PublishVersion(loaded_model),
        GatewayRequest::SubmitJob(job) => One::SubmitJob(one::JobSubmission::of(job)?),
        GatewayRequest::ReadResults { job, after, wait_ms, caller } if is_anyone(&caller) => {
            One::ReadResults { job, after, wait_ms }
        }
        GatewayRequest::ReadIndex => One::ReadIndex,
        GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller } if is_anyone(&caller) => {
            One::ReadResultsAt { position, job, after, wait_ms }
        }
        GatewayRequest::ReadBody { job, item, caller } if is_anyone(&caller) => One::ReadBody { job, item },
        GatewayRequest::EndJob { job, caller } if is_anyone(&caller) => One::EndJob(job),
        GatewayRequest::RegisterStore(record) => One::RegisterStore(record),
        GatewayRequest::RetireStore(name) => One::RetireStore(name),
        GatewayRequest::ReadRetirement(name) => One::ReadRetirement(name),
        GatewayRequest::Follow(_)
        | GatewayRequest::ReportInstances(_)
        | GatewayRequest::Confirm(_)
        | GatewayRequest::ReadResults { .. }
        | GatewayRequest::ReadResultsAt { .. }
        | GatewayRequest::ReadBody { .. }
        | GatewayRequest::EndJob { .. }
        | GatewayRequest::ReadDuties
        | GatewayRequest::ReportEvidence(_)
        | GatewayRequest::BeginTrial(_)
        | GatewayRequest::RenewTrials(_)
        | GatewayRequest::EndTrial { .. }
        | GatewayRequest::ReadSuspicions
        | GatewayRequest::ReleaseWork(_) => return None,
    })
}

/// Converts a reply from level one; `None` for a follow reply.
pub fn reply_from_one(reply: one::GatewayReply) -> Option<GatewayReply> {
    use one::GatewayReply as One;
    Some(match reply {
        One::Followed(_) => return None,
        One::Done => GatewayReply::Done,
        One::InvalidRouting(error) => GatewayReply::InvalidRouting(error.into()),
        One::Routing(source) => GatewayReply::Routing(source),
        One::Position(position) => GatewayReply::Position(position),
        One::Results(page) => GatewayReply::Results(page),
        One::Body(body) => GatewayReply::Body(body),
        One::NotFound => GatewayReply::NotFound,
        One::TooFew => GatewayReply::TooFew,
        One::Retirement { completed } => GatewayReply::Retirement { completed },
        One::Unavailable => GatewayReply::Unavailable,
    })
}

/// Converts a reply to level one; `None` if level one cannot express it.
pub fn reply_to_one(reply: GatewayReply) -> Option<one::GatewayReply> {
    use one::GatewayReply as One;
    Some(match reply {
        // Level one senders always send full reports, so no report is missing.
        GatewayReply::Done | GatewayReply::ReportsMissing(_) => One::Done,
        GatewayReply::InvalidRouting(error) => One::InvalidRouting(one_routing::RoutingError::of(error)?),
        GatewayReply::Routing(source) => One::Routing(source),
        GatewayReply::Position(position) => One::Position(position),
        GatewayReply::Results(page) => One::Results(page),
        GatewayReply::Body(body) => One::Body(body),
        GatewayReply::NotFound => One::NotFound,
        GatewayReply::TooFew => One::TooFew,
        GatewayReply::Retirement { completed } => One::Retirement { completed },
        GatewayReply::Unavailable => One::Unavailable,
        GatewayReply::Followed(_)
        | GatewayReply::Confirmed { .. }
        | GatewayReply::Duties(_)
        | GatewayReply::Suspicions(_)
        | GatewayReply::Trial(_)
        | GatewayReply::TrialsLost(_) => return None,
    })
}
