//! Whether a request is admitted, when a rejected caller is to return, and whether a second engine is asked.
//!
//! Designed for many relays that each see a small part of the load, before engines that queue some requests per slot and
//! reject beyond that. A relay rejects by itself only while the newest reports show waiting requests at every engine, and
//! the older these are, the more of the requests it sends to engines nonetheless, which answer with new reports.

use crate::balance::{Draws, EngineLoad, ServiceLoad};
use std::time::Duration;

/// Part of the requests that may be hedged while no engine reports waiting requests. A hedge repeats work, so this is
/// also the greatest share of the capacity that hedges use.
const HEDGE_SHARE: f64 = 0.05;

/// Hedges that may be made in a row.
const HEDGE_BURST: f64 = 5.0;

/// Age up to which a report of waiting requests forbids hedges.
const WAITING_EVIDENCE_AGE: Duration = Duration::from_secs(1);

/// Age at which a report of waiting requests rejects half of the requests. A relay receives one about every 200 ms; 100 ms
/// sent a fifth more requests to full engines than 300 ms.
const REJECTION_HALF_LIFE: Duration = Duration::from_millis(300);

/// Part of the objective that the expected time may take. The rest is for variation of the work, the way to the caller,
/// and the return of callers that were rejected once.
const ADMITTED_PART: f64 = 0.6;

/// Part of the objective within which a caller that returns should have its answer.
const RETURN_PART: f64 = 0.8;

/// Least time over which returning callers are spread, as a multiple of the time between two answers of an engine.
const LEAST_SPREAD: f64 = 3.0;

/// Time between two requests that try a failed engine again while all others are full.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Engines from this penalty on have failed or been tried; they neither admit a request nor cause a rejection.
const FAILED_PENALTY: u32 = 2;

/// Engines from this penalty on have been tried for the request.
const TRIED_PENALTY: u32 = 4;

/// Callers honor `Retry-After` up to this part of the time that they have left.
const HONORED_PART: f64 = 1.0 / 3.0;

/// What is known of a request at the time of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTimes {
    /// Time in which the answer is wanted, from now on.
    pub to_objective: Duration,
    /// Time after which the answer is of no use, from now on.
    pub to_deadline: Duration,
    /// Priority of the tenant or route; 0 is the most urgent.
    pub priority: u32,
}

/// A request that is not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes to the engine that the balance chooses.
    Choose,
    /// It tries the engine at this index, which failed a while ago; all others are full.
    Probe(usize),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Every engine that is left rejected the last request.
    Full,
    /// No engine is expected to answer within the objective or the deadline.
    Late,
}

/// A rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// Least time in which an engine would be expected to answer.
    pub expected: Duration,
    /// When the caller is to return.
    pub retry_after: Duration,
}

/// Decides whether a request is sent to an engine. `random` selects the requests that are sent although the
/// reports forbid it, and spreads the times of return.
pub fn decide(load: &ServiceLoad, request: &RequestTimes, random: u64) -> Result<Admission, Rejection> {
    let fraction = Draws(random).next_fraction();
    let limit = request.to_objective.mul_f64(ADMITTED_PART).min(request.to_deadline).as_secs_f64();
    let mut reason = None;
    for engine in load.engines().iter().filter(|engine| engine.penalty < FAILED_PENALTY) {
        let is_late = load.expected_seconds(engine) > limit;
        if !is_reported_busy(engine, fraction) || !(engine.rejected || is_late) {
            return Ok(Admission::Choose);
        }
        if !engine.rejected {
            reason = Some(RejectReason::Late);
        }
        reason = reason.or(Some(RejectReason::Full));
    }
    // Without an engine that is neither tried nor failed, the reports forbid nothing.
    let Some(reason) = reason else {
        return Ok(Admission::Choose);
    };
    let may_probe = |engine: &EngineLoad| {
        engine.penalty < TRIED_PENALTY && engine.failed_age.is_some_and(|age| age >= PROBE_INTERVAL)
    };
    match load.engines().iter().position(may_probe) {
        Some(index) => Ok(Admission::Probe(index)),
        None => Err(rejection(load, request, random, reason)),
    }
}

/// Whether the engine's report shows waiting requests and is new enough for this request.
fn is_reported_busy(engine: &EngineLoad, fraction: f64) -> bool {
    engine.report.is_some_and(|aged| {
        let part = 0.5_f64.powf(aged.age.as_secs_f64() / REJECTION_HALF_LIFE.as_secs_f64());
        aged.report.waiting > 0 && fraction < part
    })
}

/// A rejection for a request that no engine took.
pub fn rejection(load: &ServiceLoad, request: &RequestTimes, random: u64, reason: RejectReason) -> Rejection {
    let working = |engine: &&EngineLoad| engine.failed_age.is_none();
    let expected = load.engines().iter().filter(working).map(|engine| load.expected_seconds(engine));
    let expected = expected.fold(f64::INFINITY, f64::min);
    let expected = Duration::try_from_secs_f64(expected).unwrap_or(request.to_deadline);
    Rejection { reason, expected, retry_after: retry_after(load, request, expected, random) }
}

/// When a rejected caller is to return. A place in a full queue becomes free with each answer, so the time until there
/// is one is short; and a return within the objective, with the queue as long as now, still gives an answer in time.
/// Without such a time, callers return over the time in which the backlog drains. Less urgent ones return later on average.
fn retry_after(load: &ServiceLoad, request: &RequestTimes, expected: Duration, random: u64) -> Duration {
    // Not the fraction that `decide` selects by: requests that it rejects have the lower fractions.
    let fraction = Draws(!random).next_fraction();
    let position = fraction.powf(1.0 / (1.0 + f64::from(request.priority)));
    let longest = request.to_deadline.mul_f64(HONORED_PART);
    let (mut backlog, mut rate, mut work) = (0.0, 0.0, f64::INFINITY);
    for engine in load.engines().iter().filter(|engine| engine.failed_age.is_none()) {
        let seconds = load.present_work_seconds(engine);
        backlog += (load.occupancy(engine) + 1.0 - engine.slots()).max(0.0);
        rate += engine.slots() / seconds;
        work = work.min(seconds / engine.slots());
    }
    if rate <= 0.0 {
        return longest.mul_f64((1.0 + position) / 2.0);
    }
    let expected = expected.as_secs_f64();
    let objective = request.to_objective.as_secs_f64();
    let (earliest, latest) = if expected < objective {
        (work, (objective * RETURN_PART - expected).max(LEAST_SPREAD * work))
    } else {
        let drain = backlog / rate;
        (drain, 2.0 * drain)
    };
    // Times beyond the longest would let callers return all at once, at that time.
    let (earliest, latest) = (earliest.min(longest.as_secs_f64() / 2.0), latest.min(longest.as_secs_f64()));
    let seconds = earliest + (latest - earliest) * position;
    Duration::try_from_secs_f64(seconds.max(work)).unwrap_or(longest).min(longest)
}

/// Whether an engine that has not failed reports waiting requests; then a rejection says when to return.
pub fn is_backlogged(load: &ServiceLoad) -> bool {
    let working = load.engines().iter().filter(|engine| engine.failed_age.is_none());
    working.filter_map(|engine| engine.report).any(|aged| aged.report.waiting > 0)
}

/// Whether a second engine may be asked while the first one works: not while an engine reports waiting requests, because
/// the work would be done twice at the cost of those.
pub fn hedge_helps(load: &ServiceLoad) -> bool {
    let recent = load.engines().iter().filter_map(|engine| engine.report);
    recent.into_iter().all(|aged| aged.report.waiting == 0 || aged.age > WAITING_EVIDENCE_AGE)
}

/// Limits hedges to a share of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBudget {
    hedges: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { hedges: HEDGE_BURST }
    }
}

impl HedgeBudget {
    /// Counts a request.
    pub fn add_request(&mut self) {
        self.hedges = (self.hedges + HEDGE_SHARE).min(HEDGE_BURST);
    }

    /// Takes a hedge out of the budget, if one is left.
    pub fn take_hedge(&mut self) -> bool {
        let is_left = self.hedges >= 1.0;
        if is_left {
            self.hedges -= 1.0;
        }
        is_left
    }
}
