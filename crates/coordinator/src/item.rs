//! Runs one item at one engine.

use crate::coordinator::Coordinator;
use crate::job_run::Phase;
use crate::lost_connections::{ItemTrial, TrialTaken};
use crate::plan::{Start, still_wanted};
use crate::text;
use crate::waits::WaitReason;
use futures::future::{self, Either};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::instance::LoadedModel;
use saddlerelay_types::suspicion::TRIAL_RETRY_AFTER;
use saddlerelay_upstream::events::{Event, EventCutter};
use saddlerelay_upstream::{Answer, Failure, HeaderNames, Outgoing, Reuse};
use std::pin::pin;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// The text is whole.
    Whole,
    /// The engine failed it; counts as an attempt.
    Failed,
    /// The engine says that it can never be done.
    Impossible,
    /// The engine did not run it.
    NotRun(String),
    /// The engine has other weights than expected.
    OtherVersion(Option<u64>),
    /// The answer is not fit to be used.
    BrokeOff(String),
    /// The connection ended before the answer was whole.
    ConnectionLost(String),
    /// No event came for long.
    Silent,
    /// Another try of the same suspected work is under way.
    TrialTaken,
    /// A version made an event that must not be in the text.
    UnfitVersion(u64),
}

/// Runs an item and records how it ended.
pub(crate) async fn run<B: Backends>(coordinator: Coordinator<B>, start: Start) {
    let _place = coordinator.inner.fleet.take_place(&start.target.instance);
    let began_at = coordinator.now();
    coordinator.inner.metrics.items_sent.inc();
    let trial = coordinator.begin_trial(&start).await;
    let end = match &trial {
        Ok(trial) => attempt_while_held(&coordinator, &start, trial.as_ref()).await,
        Err(TrialTaken) => AttemptEnd::TrialTaken,
    };
    let lasted = coordinator.now().saturating_sub(began_at);
    if matches!(end, AttemptEnd::ConnectionLost(_)) {
        coordinator.look_into_lost_connection(&start.item.id, start.work_digest(), &start.target).await;
    }
    coordinator.inner.metrics.attempt_seconds.observe(lasted.as_secs_f64());
    tell(&start, &end, lasted);
    coordinator.record_end(&start, end);
}

fn tell(start: &Start, end: &AttemptEnd, lasted: Duration) {
    let text = start.text.borrow();
    spdlog::info!("item attempt ended", kv: {
        item = start.item.id.0.as_str(),
        job = start.job.0.as_str(),
        instance = start.target.instance.name.as_str(),
        expected_version = start.expected_version.unwrap_or_default(),
        versions = format!("{:?}", text.versions()).as_str(),
        events = text.events(),
        lasted_ms = lasted.as_millis() as u64,
        outcome = format!("{end:?}").as_str()
    });
}

/// Makes an attempt, and ends it when the right to run its suspected work is another's.
async fn attempt_while_held<B: Backends>(
    coordinator: &Coordinator<B>,
    start: &Start,
    trial: Option<&ItemTrial<B>>,
) -> AttemptEnd {
    let Some(held) = trial else {
        return attempt(coordinator, start, None).await;
    };
    let attempt = pin!(attempt(coordinator, start, trial));
    let lost = pin!(held.lost());
    match future::select(attempt, lost).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => AttemptEnd::TrialTaken,
    }
}

async fn attempt<B: Backends>(coordinator: &Coordinator<B>, start: &Start, trial: Option<&ItemTrial<B>>) -> AttemptEnd {
    let outgoing = match outgoing(coordinator, start) {
        Ok(outgoing) => outgoing,
        Err(reason) => {
            spdlog::error!("item cannot be sent", kv: { item = start.item.id.0.as_str(), reason = reason.as_str() });
            return AttemptEnd::Impossible;
        }
    };
    let inner = &coordinator.inner;
    let time_left = || start.give_up_at.saturating_sub(coordinator.now());
    let may_send = || {
        let wanted = inner.node.read(|state| still_wanted(state, start));
        let alone = trial.is_some_and(ItemTrial::holds) || !coordinator.is_suspected(start);
        coordinator.leads(start.term) && wanted == Some(true) && alone
    };
    let sending = inner.pool.send(&start.target, &outgoing, Reuse::Any, time_left, may_send);
    let answer = match compio::time::timeout(inner.config.answer_limit, sending).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Failure::NotSent(reason))) => return AttemptEnd::NotRun(reason),
        Ok(Err(Failure::MayHaveRun(reason))) => return AttemptEnd::BrokeOff(reason),
        Ok(Err(Failure::ConnectionLost(reason))) => return AttemptEnd::ConnectionLost(reason),
        Err(_) => return AttemptEnd::BrokeOff("no answer in time".to_string()),
    };
    take_answer(coordinator, start, answer).await
}

fn outgoing<B: Backends>(coordinator: &Coordinator<B>, start: &Start) -> Result<Outgoing, String> {
    let names = coordinator.names();
    let mut headers = HeaderMap::new();
    for (name, value) in &start.item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|error| error.to_string())?;
        headers.append(name, HeaderValue::from_str(value).map_err(|error| error.to_string())?);
    }
    let text = |value: &str| HeaderValue::from_str(value).map_err(|error| error.to_string());
    headers.insert(HOST, text(&start.host)?);
    headers.insert(names.request_id.clone(), text(&start.item.id.0)?);
    set_tenant(&mut headers, names, start.owner.as_ref())?;
    if let Some(version) = start.expected_version {
        headers.insert(names.expect_version.clone(), HeaderValue::from(version));
    }
    if let Some(last_event) = start.text.borrow().last_event {
        headers.insert(names.last_event.clone(), HeaderValue::from(last_event));
    }
    Ok(Outgoing {
        method: Method::POST,
        uri: start.item.path.parse().map_err(|error| format!("{error}"))?,
        headers,
        body: start.item.body.clone().into(),
        request_id: start.item.id.0.clone(),
    })
}

/// Names the tenant to an engine, whatever the tenant has written itself.
pub(crate) fn set_tenant(headers: &mut HeaderMap, names: &HeaderNames, owner: Option<&TenantId>) -> Result<(), String> {
    headers.remove(&names.key);
    headers.remove(&names.tenant);
    if let Some(owner) = owner {
        let owner = HeaderValue::from_str(owner.as_str()).map_err(|error| error.to_string())?;
        headers.insert(names.tenant.clone(), owner);
    }
    Ok(())
}

async fn take_answer<B: Backends>(coordinator: &Coordinator<B>, start: &Start, answer: Answer) -> AttemptEnd {
    let names = coordinator.names();
    let status = answer.head.status;
    let version = answer.head.headers.get(&names.weight_version).and_then(|value| value.to_str().ok()?.parse().ok());
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptEnd::OtherVersion(version);
    }
    if answer.is_not_executed(names) {
        return AttemptEnd::NotRun(format!("the engine answered {}", status.as_u16()));
    }
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => AttemptEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => AttemptEnd::Failed,
        status if status.is_success() => {
            coordinator.note_taken(start);
            take_events(coordinator, start, answer, version).await
        }
        status => AttemptEnd::BrokeOff(format!("the engine answered {}", status.as_u16())),
    }
}

async fn take_events<B: Backends>(
    coordinator: &Coordinator<B>,
    start: &Start,
    answer: Answer,
    version: Option<u64>,
) -> AttemptEnd {
    let inner = &coordinator.inner;
    let mut version = version.or(start.expected_version).unwrap_or_default();
    let mut cutter = EventCutter::new(coordinator.names().weight_version.as_str());
    let (_, mut stream) = answer.into_stream();
    let mut last_at = None;
    loop {
        let bytes = match compio::time::timeout(inner.config.event_limit, stream.next()).await {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(Failure::ConnectionLost(reason)))) => return AttemptEnd::ConnectionLost(reason),
            Ok(Some(Err(failure))) => return AttemptEnd::BrokeOff(failure.to_string()),
            Ok(None) if cutter.is_mid_event() => return AttemptEnd::BrokeOff("ended within an event".to_string()),
            Ok(None) => break,
            Err(_) => return AttemptEnd::Silent,
        };
        cutter.push(&bytes);
        while let Some(event) = cutter.next_event() {
            version = event.noted.as_ref().and_then(|noted| noted.parse().ok()).unwrap_or(version);
            if let Some(end) = take_event(start, &event, version) {
                return end;
            }
            let now = coordinator.now();
            if let Some(last_at) = last_at.replace(now) {
                inner.fleet.observe_pause(&start.target.instance, now.saturating_sub(last_at), now);
            }
        }
    }
    if start.text.borrow().events() == 0 {
        return AttemptEnd::BrokeOff("ended without an event".to_string());
    }
    start.text.borrow_mut().complete();
    if let Some(connection) = stream.finish().await {
        inner.pool.put_back(&start.target, connection);
    }
    AttemptEnd::Whole
}

fn take_event(start: &Start, event: &Event, version: u64) -> Option<AttemptEnd> {
    let mut text = start.text.borrow_mut();
    let follows = match (event.id, text.last_event) {
        (Some(id), Some(last)) => id == last + 1,
        _ => true,
    };
    if !follows {
        return Some(AttemptEnd::BrokeOff("an event is missing".to_string()));
    }
    let differs = start.single_version && text.versions().first().is_some_and(|first| *first != version);
    if version < start.minimum_version || differs {
        return Some(AttemptEnd::UnfitVersion(version));
    }
    text.push(event, version);
    None
}

impl<B: Backends> Coordinator<B> {
    /// An engine has begun to answer for the item.
    fn note_taken(&self, start: &Start) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(&start.job).and_then(|job| job.items.get_mut(start.index as usize));
        if let Some(run) = run {
            let waited = run.wait.end(self.now());
            self.inner.metrics.wait_seconds.observe(waited.as_secs_f64());
        }
    }

    fn record_end(&self, start: &Start, end: AttemptEnd) {
        let inner = &self.inner;
        let now = self.now();
        let mut jobs = inner.jobs.borrow_mut();
        let run = jobs.get_mut(&start.job).and_then(|job| job.items.get_mut(start.index as usize));
        let Some(run) = run else {
            return;
        };
        if end == AttemptEnd::Whole {
            self.note_served(|| start.work_digest());
            if start.item.scorer.is_some() {
                // The next plan has the text scored.
                run.phase = Phase::Waiting;
            } else {
                run.phase = Phase::Ended;
                inner.metrics.items_completed.inc();
                let outcome = start.text.borrow().outcome(start.index, None);
                self.list(&start.job, outcome);
            }
            inner.replan.notify();
            return;
        }
        inner.metrics.item_failures.inc();
        run.phase = Phase::Waiting;
        run.not_before = now + inner.config.retry_pause;
        run.pause_reason = WaitReason::RetryPause;
        run.avoid = Some(start.target.instance.clone());
        let rest = now + inner.config.engine_rest;
        match end {
            AttemptEnd::Failed => run.failures += 1,
            AttemptEnd::NotRun(_) | AttemptEnd::BrokeOff(_) | AttemptEnd::ConnectionLost(_) => {
                inner.fleet.rest_until(&start.target.instance, rest)
            }
            // It may only have put the item back for a while.
            AttemptEnd::Silent => {}
            AttemptEnd::TrialTaken => {
                run.not_before = now + TRIAL_RETRY_AFTER;
                run.pause_reason = WaitReason::TrialTaken;
                run.avoid = None;
            }
            AttemptEnd::OtherVersion(version) => self.learn_other_version(start, version, rest),
            AttemptEnd::UnfitVersion(_) => *start.text.borrow_mut() = text::ItemText::default(),
            AttemptEnd::Impossible | AttemptEnd::Whole => {}
        }
        let give_up = end == AttemptEnd::Impossible || run.failures >= start.max_attempts;
        if give_up {
            run.phase = Phase::Ended;
            inner.metrics.items_aborted.inc();
            self.list(&start.job, text::aborted(start.index));
        }
        inner.replan.notify();
    }

    fn learn_other_version(&self, start: &Start, version: Option<u64>, rest: Duration) {
        let instance = &start.target.instance;
        match (version, &start.model) {
            (Some(version), Some(model)) => {
                let models = [LoadedModel { model: model.clone(), version }];
                self.inner.fleet.learn(instance, &models, self.now());
            }
            _ => self.inner.fleet.rest_until(instance, rest),
        }
    }
}
