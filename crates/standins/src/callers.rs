//! Callers: applications that send requests as a schedule says and resend as they are told.

use crate::access::{Access, CallerAnswer};
use crate::recorder::Recorder;
use crate::tokens;
use saddlerelay_checker::record::{CallerResult, Record};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_scenarios::trace::Arrival;
use saddlerelay_types::identity::{CallerId, IdempotencyKey, ModelName, TenantId};
use saddlerelay_types::request::{
    CallerRequest, ExecutionOutcome, Generation, Priority, Repeatability, RequestFailure, RequestKey,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Most sends of one request.
const MOST_SENDS: u32 = 12;

/// Shortest pause before a resend.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// How much longer than its deadline a caller waits before it takes an answer for lost.
const PATIENCE: Duration = Duration::from_secs(2);

/// Share of the repeatable requests that carry a key all the same, in percent.
const KEYED_PERCENT: u64 = 25;

/// Share of the requests with a key that are sent to two relays at nearly the same time, in percent.
const DOUBLED_PERCENT: u64 = 10;

/// Longest time between the two copies.
const DOUBLED_WITHIN: Duration = Duration::from_millis(60);

/// How long a key is accepted.
const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// One kind of caller.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// The tenant.
    pub tenant: TenantId,
    /// The application's name.
    pub name: String,
    /// The model it asks for.
    pub model: ModelName,
    /// The caller's class.
    pub class: Priority,
    /// Mean time between requests.
    pub interval: Duration,
    /// Most tokens in an answer.
    pub max_tokens: u32,
    /// Time allowed for an answer.
    pub deadline: Duration,
    /// Share of requests that must run at most once, in percent; these carry a key.
    pub not_repeatable_percent: u64,
    /// Prompt prefixes that the requests share.
    pub prefixes: u64,
}

/// Counts requests under way, so that a run can wait for their ends.
pub type UnderWay = Rc<Cell<u64>>;

/// One request with what the caller knows of it.
struct Asked {
    request: CallerRequest,
    from: Duration,
    sends: u32,
    broken: u32,
    first_token_after: Option<u64>,
}

/// What a request is drawn or recorded to be.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    once: bool,
    prefix: u64,
}

/// Sends one recorded request.
pub async fn run_arrival<P: Runtime, A: Access>(
    platform: P,
    access: A,
    recorder: Recorder,
    options: CallerOptions,
    number: u64,
    arrival: &Arrival,
) {
    let drawn = Drawn { once: arrival.once, prefix: arrival.prefix };
    let request = make_request(&platform, &options, number, drawn);
    ask(platform, access, recorder, Asking { request, prefix: drawn.prefix, doubled: false }).await;
}

/// Sends requests until `stop` is set.
pub async fn run_callers<P: Runtime, A: Access>(
    platform: P,
    access: A,
    recorder: Recorder,
    options: CallerOptions,
    stop: Rc<Cell<bool>>,
    under_way: UnderWay,
) {
    let mut number = 0;
    while !stop.get() {
        // Between half and one and a half of the mean.
        let pause = options.interval / 2 + platform.jitter(options.interval);
        platform.sleep(pause).await;
        number += 1;
        let drawn = Drawn {
            once: platform.random() % 100 < options.not_repeatable_percent,
            prefix: platform.random() % options.prefixes.max(1),
        };
        let request = make_request(&platform, &options, number, drawn);
        under_way.set(under_way.get() + 1);
        let doubled = request.key.is_some() && platform.random() % 100 < DOUBLED_PERCENT;
        let asking = Asking { request, prefix: drawn.prefix, doubled };
        let task = ask(platform.clone(), access.clone(), recorder.clone(), asking);
        let under_way = under_way.clone();
        platform.spawn(async move {
            task.await;
            under_way.set(under_way.get() - 1);
        });
    }
}

fn make_request<P: Runtime>(platform: &P, options: &CallerOptions, number: u64, drawn: Drawn) -> CallerRequest {
    let Drawn { once, prefix } = drawn;
    let keyed = once || platform.random() % 100 < KEYED_PERCENT;
    let unique = platform.random();
    let prompt = format!("{} prefix {prefix} {} request {number}-{unique:x}", "context ".repeat(40), options.name);
    let lifetime = KEY_LIFETIME.as_millis() as u64;
    let key = RequestKey {
        key: IdempotencyKey(format!("{}-{number}-{unique:x}", options.name)),
        expires_at: platform.unix_milliseconds() + lifetime,
    };
    CallerRequest {
        tenant: options.tenant.clone(),
        caller: CallerId(options.name.clone()),
        model: options.model.clone(),
        prompt,
        max_tokens: options.max_tokens,
        seed: number,
        key: keyed.then_some(key),
        repeatability: if once { Repeatability::NotRepeatable } else { Repeatability::Repeatable },
        priority: options.class,
        deadline_milliseconds: options.deadline.as_millis() as u64,
    }
}

/// What to do after an answer.
enum Next {
    End(CallerResult),
    ResendAfter(Duration),
}

/// A request with how it is sent.
struct Asking {
    request: CallerRequest,
    prefix: u64,
    doubled: bool,
}

/// Sends one request, resends as told, and records its end. With `doubled` a second copy goes to any relay soon after the
/// first, as a proxy that repeats what it believes lost would send it; a whole answer to either must be right.
async fn ask<P: Runtime, A: Access>(platform: P, access: A, recorder: Recorder, asking: Asking) {
    let Asking { request, prefix, doubled } = asking;
    let from = platform.monotonic();
    let from_unix = platform.unix_milliseconds();
    let copy = request.clone();
    let mut asked = Asked { request, from, sends: 0, broken: 0, first_token_after: None };
    let first = async {
        loop {
            let answer = send(&platform, &access, &asked.request).await;
            asked.sends += 1;
            asked.broken += u32::from(answer == CallerAnswer::Lost);
            let told_not_executed = matches!(
                &answer,
                CallerAnswer::Failed(failure) if failure.outcome == ExecutionOutcome::NotExecuted
            );
            match next(&platform, &mut asked, answer) {
                Next::End(result) => break result,
                Next::ResendAfter(pause) => platform.sleep(pause).await,
            }
            if asked.request.key.is_none() {
                if told_not_executed {
                    let (at, prompt) = (platform.unix_milliseconds(), asked.request.prompt.clone());
                    recorder.record(Record::ToldNotExecuted { at, prompt });
                }
                // Without a key nobody can tell a resend from another request: each send has a prompt of its own.
                asked.request.prompt = format!("{} send {}", copy.prompt, asked.sends + 1);
            }
        }
    };
    let second = async {
        if !doubled {
            return None;
        }
        platform.sleep(platform.jitter(DOUBLED_WITHIN)).await;
        match send(&platform, &access, &copy).await {
            CallerAnswer::Whole { generation, .. } => answer_fault(&copy, &generation),
            _ => None,
        }
    };
    let (mut result, second_fault) = futures::future::join(first, second).await;
    if second_fault.is_some() {
        result = CallerResult::Answered { fault: second_fault };
    }
    recorder.record(Record::Caller {
        from: from_unix,
        to: platform.unix_milliseconds(),
        tenant: asked.request.tenant.clone(),
        class: asked.request.priority,
        caller: asked.request.caller.clone(),
        prefix,
        prompt: asked.request.prompt.clone(),
        repeatable: asked.request.repeatability == Repeatability::Repeatable,
        sends: asked.sends,
        broken: asked.broken,
        first_token_after: asked.first_token_after,
        result,
    });
}

async fn send<P: Runtime, A: Access>(platform: &P, access: &A, request: &CallerRequest) -> CallerAnswer {
    let relay = platform.random() as usize % access.relays().max(1);
    let limit = Duration::from_millis(request.deadline_milliseconds) + PATIENCE;
    timeout(platform, limit, access.ask(relay, request)).await.unwrap_or(CallerAnswer::Lost)
}

fn next<P: Runtime>(platform: &P, asked: &mut Asked, answer: CallerAnswer) -> Next {
    let can_resend = asked.sends < MOST_SENDS;
    match answer {
        CallerAnswer::Whole { generation, first_token_after } => {
            let before = platform.monotonic().saturating_sub(asked.from);
            asked.first_token_after =
                first_token_after.map(|after| after.as_millis() as u64).filter(|_| asked.sends == 1);
            asked.first_token_after = asked.first_token_after.or(Some(before.as_millis() as u64));
            Next::End(CallerResult::Answered { fault: answer_fault(&asked.request, &generation) })
        }
        CallerAnswer::Failed(failure) => after_failure(asked, &failure, can_resend),
        CallerAnswer::NotSent if can_resend => Next::ResendAfter(SHORTEST_PAUSE),
        // A lost answer: a request that may run again, or has a key, is simply sent again.
        CallerAnswer::Lost if can_resend && may_resend(&asked.request) => Next::ResendAfter(SHORTEST_PAUSE),
        CallerAnswer::NotSent | CallerAnswer::Lost => Next::End(CallerResult::Lost),
    }
}

fn may_resend(request: &CallerRequest) -> bool {
    request.key.is_some() || request.repeatability == Repeatability::Repeatable
}

fn after_failure(asked: &Asked, failure: &RequestFailure, can_resend: bool) -> Next {
    let told_when = failure.retry_after_milliseconds > 0;
    let pause = Duration::from_millis(failure.retry_after_milliseconds).max(SHORTEST_PAUSE);
    // A proof that the request did not run is a final answer under its key; a new request would carry a new key.
    let final_by_key = asked.request.key.is_some() && failure.outcome == ExecutionOutcome::NotExecuted;
    if can_resend && told_when && !final_by_key && may_resend(&asked.request) {
        return Next::ResendAfter(pause);
    }
    Next::End(CallerResult::Failed { outcome: failure.outcome, code: failure.code, told_when })
}

fn answer_fault(request: &CallerRequest, generation: &Generation) -> Option<String> {
    let Some(shown) = tokens::tokens_of(&generation.text) else {
        return Some("its text is not made of tokens".to_string());
    };
    let fault = tokens::answer_fault(&request.prompt, request.seed, request.max_tokens, &shown);
    fault.or_else(|| {
        let named = &generation.versions;
        let made = tokens::spans_of(&shown);
        (!named.is_empty() && *named != made).then(|| format!("names versions {named:?}, tokens show {made:?}"))
    })
}
