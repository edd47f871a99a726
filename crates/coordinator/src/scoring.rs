//! Has an item's whole text scored by the request that the item names.

use crate::coordinator::Coordinator;
use crate::item::set_tenant;
use crate::job_run::Phase;
use crate::lost_connections::{ItemTrial, SuspectedRun, TrialTaken, while_held};
use crate::plan::may_reach;
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
use saddlerelay_upstream::{Failure, HeaderNames, Outgoing, ReadyEngine, Reuse};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Largest answer to a call for a score.
const ANSWER_BYTES: usize = 1 << 20;

/// Most doublings of the pause between calls for one score.
const PAUSE_DOUBLINGS: u32 = 5;

/// A call for the score of one item.
pub(crate) struct ScoreCall {
    pub job: JobId,
    pub index: u32,
    pub item: ItemId,
    pub request: ScoringRequest,
    /// The tenant whose job it is.
    pub owner: Option<TenantId>,
    pub engine: ReadyEngine,
    /// Failures after which the item is given up.
    pub max_attempts: u32,
    /// Which of the item's calls it is, from 1.
    pub call: u32,
    pub give_up_at: Duration,
    /// Longest wait for the whole answer.
    pub call_limit: Duration,
    pub text: Rc<RefCell<ItemText>>,
    pub term: u64,
}

impl SuspectedRun for ScoreCall {
    fn item(&self) -> &ItemId {
        &self.item
    }

    fn work_digest(&self) -> WorkDigest {
        self.request.work_digest(self.owner.as_ref())
    }

    fn ends_by(&self, now: Duration) -> Duration {
        (now + self.call_limit).min(self.give_up_at)
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ScoreEnd {
    /// With the engine's stamp.
    Scored(String),
    /// The engine ran it and failed; counts as an attempt.
    Failed,
    /// There is no score, for a reason that says nothing of the text.
    NoAnswer(String),
    /// The connection ended before the answer was whole.
    ConnectionLost(String),
    /// Another try of the same suspected work is under way.
    TrialTaken,
}

/// Makes the call and records how it ended.
pub(crate) async fn run<B: Backends>(coordinator: Coordinator<B>, call: ScoreCall, _in_flight: InFlight) {
    let inner = &coordinator.inner;
    let trial = coordinator.begin_trial(&call).await;
    let began_at = coordinator.now();
    let end = match &trial {
        Ok(trial) => {
            inner.metrics.score_calls.inc();
            let trial = trial.as_ref();
            while_held(trial, ask_in_time(&coordinator, &call, trial)).await.unwrap_or(ScoreEnd::TrialTaken)
        }
        Err(TrialTaken) => ScoreEnd::TrialTaken,
    };
    if matches!(end, ScoreEnd::ConnectionLost(_)) {
        coordinator.look_into_lost_connection(&call.item, call.work_digest(), &call.engine.target).await;
    }
    let now = coordinator.now();
    let lasted = now.saturating_sub(began_at);
    inner.metrics.score_seconds.observe(lasted.as_secs_f64());
    let instance = &call.engine.target.instance;
    match &end {
        ScoreEnd::Scored(_) => inner.scorers.balance().answered(instance, lasted, now),
        ScoreEnd::Failed | ScoreEnd::NoAnswer(_) | ScoreEnd::ConnectionLost(_) => {
            inner.scorers.balance().failed(instance, now)
        }
        // It says nothing of the engine.
        ScoreEnd::TrialTaken => {}
    }
    tell(&call, &end, lasted);
    coordinator.record_score(&call, end);
}

fn tell(call: &ScoreCall, end: &ScoreEnd, lasted: Duration) {
    spdlog::info!("score call ended", kv: {
        item = call.item.0.as_str(),
        job = call.job.0.as_str(),
        request = call.request.id.as_str(),
        instance = call.engine.target.instance.name.as_str(),
        call = call.call,
        lasted_ms = lasted.as_millis() as u64,
        outcome = format!("{end:?}").as_str()
    });
}

async fn ask_in_time<B: Backends>(
    coordinator: &Coordinator<B>,
    call: &ScoreCall,
    trial: Option<&ItemTrial<B>>,
) -> ScoreEnd {
    let ended = compio::time::timeout(call.call_limit, ask(coordinator, call, trial)).await;
    ended.unwrap_or_else(|_| ScoreEnd::NoAnswer("no answer in time".to_string()))
}

async fn ask<B: Backends>(coordinator: &Coordinator<B>, call: &ScoreCall, trial: Option<&ItemTrial<B>>) -> ScoreEnd {
    let outgoing = match outgoing(coordinator.names(), &call.request, call.owner.as_ref()) {
        Ok(outgoing) => outgoing,
        Err(reason) => return ScoreEnd::NoAnswer(reason),
    };
    let inner = &coordinator.inner;
    let deadline = call.ends_by(coordinator.now());
    let time_left = || deadline.saturating_sub(coordinator.now());
    let may_send = || {
        let wanted = inner.node.read(|state| still_wanted(state, call));
        let alone = trial.is_some_and(ItemTrial::holds) || !coordinator.is_suspected(call);
        coordinator.leads(call.term) && wanted == Some(true) && alone
    };
    let answer = inner.pool.send(&call.engine.target, &outgoing, Reuse::Any, time_left, may_send).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => return no_answer(&failure),
    };
    let not_executed = answer.is_not_executed(coordinator.names());
    match answer.read_whole(ANSWER_BYTES).await {
        Ok((head, _, connection)) => {
            if let Some(connection) = connection {
                inner.pool.put_back(&call.engine.target, connection);
            }
            coordinator.hear_load(&call.engine, &head);
            judge(&head, not_executed, coordinator.names())
        }
        Err(failure) => no_answer(&failure),
    }
}

fn no_answer(failure: &Failure) -> ScoreEnd {
    match failure {
        Failure::ConnectionLost(reason) => ScoreEnd::ConnectionLost(reason.clone()),
        Failure::NotSent(_) | Failure::MayHaveRun(_) => ScoreEnd::NoAnswer(failure.to_string()),
    }
}

fn judge(head: &Parts, not_executed: bool, names: &HeaderNames) -> ScoreEnd {
    if !not_executed && head.status == StatusCode::INTERNAL_SERVER_ERROR {
        return ScoreEnd::Failed;
    }
    if not_executed || !head.status.is_success() {
        return ScoreEnd::NoAnswer(format!("the engine answered {}", head.status.as_u16()));
    }
    let stamp = head.headers.get(&names.stamp).and_then(|value| value.to_str().ok());
    match stamp {
        Some(stamp) => ScoreEnd::Scored(stamp.to_string()),
        None => ScoreEnd::NoAnswer("the answer has no stamp".to_string()),
    }
}

fn outgoing(names: &HeaderNames, request: &ScoringRequest, owner: Option<&TenantId>) -> Result<Outgoing, String> {
    let text = |value: &str| HeaderValue::from_str(value).map_err(|error| error.to_string());
    let mut headers = HeaderMap::new();
    headers.insert(HOST, text(&request.host)?);
    headers.insert(names.request_id.clone(), text(&request.id)?);
    set_tenant(&mut headers, names, owner)?;
    Ok(Outgoing {
        method: Method::POST,
        uri: request.path.parse().map_err(|error| format!("{error}"))?,
        headers,
        body: request.body.clone().into(),
        request_id: request.id.clone(),
    })
}

/// Whether the call may still be made, by the committed state at this moment.
fn still_wanted(state: &ControlState, call: &ScoreCall) -> bool {
    let job = state.jobs.get(&call.job);
    let wanted = job.is_some_and(|job| !job.is_ended() && !job.is_listed(call.index));
    wanted && may_reach(state, &call.engine.target.instance, &call.request.host, &call.request.path)
}

impl<B: Backends> Coordinator<B> {
    /// Takes the load that an engine tells with an answer: requests running, waiting, and slots.
    fn hear_load(&self, engine: &ReadyEngine, head: &Parts) {
        let told = head.headers.get(&self.names().load).and_then(|value| value.to_str().ok());
        let waiting = told.and_then(|told| told.split(',').nth(1)?.trim().parse().ok());
        if let Some(waiting) = waiting {
            self.inner.scorers.hear_waiting(&engine.target.instance, waiting, self.now());
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
            self.note_served(|| call.work_digest());
            run.phase = Phase::Ended;
            inner.metrics.items_completed.inc();
            let outcome = call.text.borrow().outcome(call.index, Some(stamp));
            self.list(&call.job, outcome);
            return;
        }
        run.phase = Phase::Waiting;
        if end == ScoreEnd::TrialTaken {
            // Neither the engine nor the text has anything to do with it.
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
            self.list(&call.job, text::aborted(call.index));
            return;
        }
        let doublings = (call.call - 1).min(PAUSE_DOUBLINGS);
        run.scoring.not_before = self.now() + inner.config.retry_pause * 2_u32.pow(doublings);
        run.scoring.pause_reason = WaitReason::RetryPause;
    }
}
