//! Calls a scoring engine for an item's complete text, with the request that the item names.

use crate::coordinator::Coordinator;
use crate::item::set_tenant;
use crate::job_run::Phase;
use crate::lost_connections::{EngineWork, ItemTrial, TrialDenied, run_under_lease};
use crate::plan::may_route_to;
use crate::text::{self, ItemText};
use crate::waits::WaitReason;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::job::{ItemId, JobId, ScoringRequest};
use saddlerelay_types::suspicion::TRIAL_RETRY_AFTER;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::balance::InFlight;
use saddlerelay_upstream::{Failure, HeaderNames, OutgoingRequest, ReadyEngine, Reuse};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum response body size.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Maximum number of doublings of the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A planned score call for one item.
pub(crate) struct ScoreCall {
    pub job: JobId,
    pub index: u32,
    pub item: ItemId,
    pub request: ScoringRequest,
    /// The tenant that owns the job.
    pub owner: Option<TenantId>,
    pub engine: ReadyEngine,
    /// Number of failures after which the item is aborted.
    pub max_attempts: u32,
    /// Number of this call among the item's score calls, from 1.
    pub call: u32,
    pub item_deadline: Duration,
    /// Timeout of the call, including the response body.
    pub call_timeout: Duration,
    pub text: Rc<RefCell<ItemText>>,
    pub term: u64,
}

impl EngineWork for ScoreCall {
    fn item(&self) -> &ItemId {
        &self.item
    }

    fn work_digest(&self) -> WorkDigest {
        self.request.work_digest(self.owner.as_ref())
    }

    fn latest_end(&self, now: Duration) -> Duration {
        (now + self.call_timeout).min(self.item_deadline)
    }
}

/// Result of a score call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ScoreEnd {
    /// The engine's score stamp.
    Scored(String),
    /// The engine responded with an internal error; counts towards the maximum number of attempts.
    Failed,
    /// The call ended without a score for another reason; does not count towards the maximum number of attempts.
    NoAnswer(String),
    /// The connection was lost before the response was complete.
    ConnectionLost(String),
    /// The trial lease for this suspected work was not granted, or was lost.
    TrialTaken,
}

/// Makes a score call and records its result.
pub(crate) async fn run<B: Backends>(coordinator: Coordinator<B>, call: ScoreCall, _in_flight: InFlight) {
    let inner = &coordinator.inner;
    let trial = coordinator.begin_trial(&call).await;
    let began_at = coordinator.now();
    let end = match &trial {
        Ok(trial) => {
            inner.metrics.score_calls.inc();
            let trial = trial.as_ref();
            run_under_lease(trial, call_with_timeout(&coordinator, &call, trial)).await.unwrap_or(ScoreEnd::TrialTaken)
        }
        Err(TrialDenied) => ScoreEnd::TrialTaken,
    };
    if matches!(end, ScoreEnd::ConnectionLost(_)) {
        coordinator.check_lost_connection(&call.item, call.work_digest(), &call.engine.target).await;
    }
    let now = coordinator.now();
    let elapsed = now.saturating_sub(began_at);
    inner.metrics.score_seconds.observe(elapsed.as_secs_f64());
    let instance = &call.engine.target.instance;
    match &end {
        ScoreEnd::Scored(_) => inner.scorers.balancer().record_response(instance, elapsed, now),
        ScoreEnd::Failed | ScoreEnd::NoAnswer(_) | ScoreEnd::ConnectionLost(_) => {
            inner.scorers.balancer().record_failure(instance, now)
        }
        // No call was completed, so nothing was observed about the engine.
        ScoreEnd::TrialTaken => {}
    }
    log_call(&call, &end, elapsed);
    coordinator.record_score(&call, end);
}

fn log_call(call: &ScoreCall, end: &ScoreEnd, elapsed: Duration) {
    spdlog::info!("score call ended", kv: {
        item = call.item.0.as_str(),
        job = call.job.0.as_str(),
        request = call.request.id.as_str(),
        instance = call.engine.target.instance.name.as_str(),
        call = call.call,
        lasted_ms = elapsed.as_millis() as u64,
        outcome = format!("{end:?}").as_str()
    });
}

async fn call_with_timeout<B: Backends>(
    coordinator: &Coordinator<B>,
    call: &ScoreCall,
    trial: Option<&ItemTrial<B>>,
) -> ScoreEnd {
    let result = compio::time::timeout(call.call_timeout, send_call(coordinator, call, trial)).await;
    result.unwrap_or_else(|_| ScoreEnd::NoAnswer("no response within the timeout".to_string()))
}

async fn send_call<B: Backends>(
    coordinator: &Coordinator<B>,
    call: &ScoreCall,
    trial: Option<&ItemTrial<B>>,
) -> ScoreEnd {
    let outgoing = match build_request(coordinator.header_names(), &call.request, call.owner.as_ref()) {
        Ok(outgoing) => outgoing,
        Err(reason) => return ScoreEnd::NoAnswer(reason),
    };
    let inner = &coordinator.inner;
    let deadline = call.latest_end(coordinator.now());
    let time_left = || deadline.saturating_sub(coordinator.now());
    let may_send = || {
        let is_pending = inner.node.read(|state| is_still_pending(state, call));
        let exclusive = trial.is_some_and(ItemTrial::is_held) || !coordinator.is_suspected(call);
        coordinator.leads(call.term) && is_pending == Some(true) && exclusive
    };
    let response = inner.pool.send(&call.engine.target, &outgoing, Reuse::Any, time_left, may_send).await;
    let response = match response {
        Ok(response) => response,
        Err(failure) => return failure_end(&failure),
    };
    let not_executed = response.is_not_executed(coordinator.header_names());
    match response.read_body(MAX_RESPONSE_BYTES).await {
        Ok((head, _, connection)) => {
            if let Some(connection) = connection {
                inner.pool.release(&call.engine.target, connection);
            }
            coordinator.record_load(&call.engine, &head);
            classify_response(&head, not_executed, coordinator.header_names())
        }
        Err(failure) => failure_end(&failure),
    }
}

fn failure_end(failure: &Failure) -> ScoreEnd {
    match failure {
        Failure::ConnectionLost(reason) => ScoreEnd::ConnectionLost(reason.clone()),
        Failure::NotSent(_) | Failure::PossiblyExecuted(_) => ScoreEnd::NoAnswer(failure.to_string()),
    }
}

fn classify_response(head: &Parts, not_executed: bool, names: &HeaderNames) -> ScoreEnd {
    if !not_executed && head.status == StatusCode::INTERNAL_SERVER_ERROR {
        return ScoreEnd::Failed;
    }
    if not_executed || !head.status.is_success() {
        return ScoreEnd::NoAnswer(format!("engine responded with status {}", head.status.as_u16()));
    }
    let stamp = head.headers.get(&names.stamp).and_then(|value| value.to_str().ok());
    match stamp {
        Some(stamp) => ScoreEnd::Scored(stamp.to_string()),
        None => ScoreEnd::NoAnswer("response has no stamp header".to_string()),
    }
}

fn build_request(
    names: &HeaderNames,
    request: &ScoringRequest,
    owner: Option<&TenantId>,
) -> Result<OutgoingRequest, String> {
    let text = |value: &str| HeaderValue::from_str(value).map_err(|error| error.to_string());
    let mut headers = HeaderMap::new();
    headers.insert(HOST, text(&request.host)?);
    headers.insert(names.request_id.clone(), text(&request.id)?);
    set_tenant(&mut headers, names, owner)?;
    Ok(OutgoingRequest {
        method: Method::POST,
        uri: request.path.parse().map_err(|error| format!("{error}"))?,
        headers,
        body: request.body.clone().into(),
        request_id: request.id.clone(),
    })
}

/// Whether the committed state still allows the call: the job is open, the item has no result, and the route and engine
/// accept it.
fn is_still_pending(state: &ControlState, call: &ScoreCall) -> bool {
    let job = state.jobs.get(&call.job);
    let is_pending = job.is_some_and(|job| !job.is_ended() && !job.is_listed(call.index));
    is_pending && may_route_to(state, &call.engine.target.instance, &call.request.host, &call.request.path)
}

impl<B: Backends> Coordinator<B> {
    /// Records the queue length from the load header: requests running, waiting, and slots, separated by commas.
    fn record_load(&self, engine: &ReadyEngine, head: &Parts) {
        let load_header = head.headers.get(&self.header_names().load).and_then(|value| value.to_str().ok());
        let waiting = load_header.and_then(|load_header| load_header.split(',').nth(1)?.trim().parse().ok());
        if let Some(waiting) = waiting {
            self.inner.scorers.record_queue_length(&engine.target.instance, waiting, self.now());
        }
    }

    fn record_score(&self, call: &ScoreCall, end: ScoreEnd) {
        let inner = &self.inner;
        let mut jobs = inner.jobs.borrow_mut();
        let run = jobs.get_mut(&call.job).and_then(|job| job.items.get_mut(call.index as usize));
        let Some(run) = run else {
            return;
        };
        inner.replan.notify();
        if let ScoreEnd::Scored(stamp) = end {
            self.clear_suspicion(|| call.work_digest());
            run.phase = Phase::Ended;
            inner.metrics.items_completed.inc();
            let outcome = call.text.borrow().outcome(call.index, Some(stamp));
            self.queue_outcome(&call.job, outcome);
            return;
        }
        run.phase = Phase::Waiting;
        if end == ScoreEnd::TrialTaken {
            // Without a trial lease the engine did not fail, so this does not count as a call.
            run.scoring.calls -= 1;
            run.scoring.avoid = None;
            run.scoring.not_before = self.now() + TRIAL_RETRY_AFTER;
            run.scoring.pause_reason = WaitReason::TrialTaken;
            return;
        }
        inner.metrics.score_failures.inc();
        if end == ScoreEnd::Failed {
            run.scoring.failures += 1;
        }
        if run.scoring.failures >= call.max_attempts {
            run.phase = Phase::Ended;
            inner.metrics.items_aborted.inc();
            self.queue_outcome(&call.job, text::aborted_outcome(call.index));
            return;
        }
        let doublings = (call.call - 1).min(MAX_BACKOFF_DOUBLINGS);
        run.scoring.not_before = self.now() + inner.config.retry_delay * 2_u32.pow(doublings);
        run.scoring.pause_reason = WaitReason::RetryDelay;
    }
}
