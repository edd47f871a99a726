//! Callers: applications that send requests on a schedule and retry them.

use crate::access::{Access, CallerResponse};
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

/// Maximum number of sends of one request.
const MAX_SENDS: u32 = 12;

/// Minimum delay before a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after a request's deadline for which a caller still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Percentage of the repeatable requests that carry an idempotency key.
const KEYED_PERCENT: u64 = 25;

/// Percentage of the keyed requests that are sent twice almost concurrently.
const DUPLICATED_PERCENT: u64 = 10;

/// Maximum time between the two sends of a duplicated request.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(60);

/// Lifetime of an idempotency key.
const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Options of one calling application.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// The tenant.
    pub tenant: TenantId,
    /// The application's name.
    pub name: String,
    /// The requested model.
    pub model: ModelName,
    /// The priority class of its requests.
    pub class: Priority,
    /// Mean time between requests.
    pub interval: Duration,
    /// Maximum number of tokens in a response.
    pub max_tokens: u32,
    /// Deadline of a request, relative to its send.
    pub deadline: Duration,
    /// Percentage of the requests that must be executed at most once; these carry an idempotency key.
    pub not_repeatable_percent: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
}

/// Number of requests in flight.
pub type InFlight = Rc<Cell<u64>>;

/// The state of one request.
struct RequestState {
    request: CallerRequest,
    first_sent_at: Duration,
    /// Number of sends, retries included.
    sends: u32,
    /// Number of sends that were lost before a final response.
    broken: u32,
    /// Milliseconds from the first send to the first token; to the complete response if the request was retried.
    first_token_after: Option<u64>,
}

/// The random or recorded properties of a request.
#[derive(Clone, Copy, Debug)]
struct RequestProperties {
    /// Whether it must be executed at most once.
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
    let properties = RequestProperties { once: arrival.once, prefix: arrival.prefix };
    let request = make_request(&platform, &options, number, properties);
    submit(platform, access, recorder, Submission { request, prefix: properties.prefix, duplicated: false }).await;
}

/// Sends requests until `stop` is set.
pub async fn run_callers<P: Runtime, A: Access>(
    platform: P,
    access: A,
    recorder: Recorder,
    options: CallerOptions,
    stop: Rc<Cell<bool>>,
    in_flight: InFlight,
) {
    let mut number = 0;
    while !stop.get() {
        // Uniform in 0.5 to 1.5 times the mean.
        let pause = options.interval / 2 + platform.jitter(options.interval);
        platform.sleep(pause).await;
        number += 1;
        let properties = RequestProperties {
            once: platform.random() % 100 < options.not_repeatable_percent,
            prefix: platform.random() % options.prefixes.max(1),
        };
        let request = make_request(&platform, &options, number, properties);
        in_flight.set(in_flight.get() + 1);
        let duplicated = request.key.is_some() && platform.random() % 100 < DUPLICATED_PERCENT;
        let submission = Submission { request, prefix: properties.prefix, duplicated };
        let task = submit(platform.clone(), access.clone(), recorder.clone(), submission);
        let in_flight = in_flight.clone();
        platform.spawn(async move {
            task.await;
            in_flight.set(in_flight.get() - 1);
        });
    }
}

fn make_request<P: Runtime>(
    platform: &P,
    options: &CallerOptions,
    number: u64,
    properties: RequestProperties,
) -> CallerRequest {
    let RequestProperties { once, prefix } = properties;
    let has_key = once || platform.random() % 100 < KEYED_PERCENT;
    let nonce = platform.random();
    let prompt = format!("{} prefix {prefix} {} request {number}-{nonce:x}", "context ".repeat(40), options.name);
    let lifetime = KEY_LIFETIME.as_millis() as u64;
    let key = RequestKey {
        key: IdempotencyKey(format!("{}-{number}-{nonce:x}", options.name)),
        expires_at: platform.unix_milliseconds() + lifetime,
    };
    CallerRequest {
        tenant: options.tenant.clone(),
        caller: CallerId(options.name.clone()),
        model: options.model.clone(),
        prompt,
        max_tokens: options.max_tokens,
        seed: number,
        key: has_key.then_some(key),
        repeatability: if once { Repeatability::NotRepeatable } else { Repeatability::Repeatable },
        priority: options.class,
        deadline_milliseconds: options.deadline.as_millis() as u64,
    }
}

/// What the caller does after a response.
enum NextAction {
    End(CallerResult),
    RetryAfter(Duration),
}

/// A request and how it is sent.
struct Submission {
    request: CallerRequest,
    prefix: u64,
    /// Whether a second copy is sent.
    duplicated: bool,
}

/// Sends one request with retries and records its outcome. With `duplicated`, a second copy goes to a random relay soon
/// after the first, as a retrying proxy would send it, and a complete response to the copy is verified too.
async fn submit<P: Runtime, A: Access>(platform: P, access: A, recorder: Recorder, submission: Submission) {
    let Submission { request, prefix, duplicated } = submission;
    let first_sent_at = platform.monotonic();
    let first_sent_unix = platform.unix_milliseconds();
    let copy = request.clone();
    let mut state = RequestState { request, first_sent_at, sends: 0, broken: 0, first_token_after: None };
    let original = async {
        loop {
            let response = send(&platform, &access, &state.request).await;
            state.sends += 1;
            state.broken += u32::from(response == CallerResponse::Lost);
            let not_executed = matches!(
                &response,
                CallerResponse::Failed(failure) if failure.outcome == ExecutionOutcome::NotExecuted
            );
            match next_action(&platform, &mut state, response) {
                NextAction::End(result) => break result,
                NextAction::RetryAfter(delay) => platform.sleep(delay).await,
            }
            if state.request.key.is_none() {
                if not_executed {
                    let (at, prompt) = (platform.unix_milliseconds(), state.request.prompt.clone());
                    recorder.record(Record::ReportedNotExecuted { at, prompt });
                }
                // Without an idempotency key each send is a separate request, so it gets a prompt of its own.
                state.request.prompt = format!("{} send {}", copy.prompt, state.sends + 1);
            }
        }
    };
    let duplicate = async {
        if !duplicated {
            return None;
        }
        platform.sleep(platform.jitter(MAX_DUPLICATE_DELAY)).await;
        match send(&platform, &access, &copy).await {
            CallerResponse::Complete { generation, .. } => response_defect(&copy, &generation),
            _ => None,
        }
    };
    let (mut result, copy_defect) = futures::future::join(original, duplicate).await;
    if copy_defect.is_some() {
        result = CallerResult::Answered { fault: copy_defect };
    }
    recorder.record(Record::Caller {
        from: first_sent_unix,
        to: platform.unix_milliseconds(),
        tenant: state.request.tenant.clone(),
        class: state.request.priority,
        caller: state.request.caller.clone(),
        prefix,
        prompt: state.request.prompt.clone(),
        repeatable: state.request.repeatability == Repeatability::Repeatable,
        sends: state.sends,
        broken: state.broken,
        first_token_after: state.first_token_after,
        result,
    });
}

async fn send<P: Runtime, A: Access>(platform: &P, access: &A, request: &CallerRequest) -> CallerResponse {
    let relay = platform.random() as usize % access.relays().max(1);
    let limit = Duration::from_millis(request.deadline_milliseconds) + RESPONSE_GRACE;
    timeout(platform, limit, access.send_request(relay, request)).await.unwrap_or(CallerResponse::Lost)
}

fn next_action<P: Runtime>(platform: &P, state: &mut RequestState, response: CallerResponse) -> NextAction {
    let retries_left = state.sends < MAX_SENDS;
    match response {
        CallerResponse::Complete { generation, first_token_after } => {
            let elapsed = platform.monotonic().saturating_sub(state.first_sent_at);
            state.first_token_after =
                first_token_after.map(|after| after.as_millis() as u64).filter(|_| state.sends == 1);
            state.first_token_after = state.first_token_after.or(Some(elapsed.as_millis() as u64));
            NextAction::End(CallerResult::Answered { fault: response_defect(&state.request, &generation) })
        }
        CallerResponse::Failed(failure) => after_failure(state, &failure, retries_left),
        CallerResponse::NotSent if retries_left => NextAction::RetryAfter(MIN_RETRY_DELAY),
        // A repeatable or keyed request is safe to retry after a lost response.
        CallerResponse::Lost if retries_left && is_safe_to_retry(&state.request) => {
            NextAction::RetryAfter(MIN_RETRY_DELAY)
        }
        CallerResponse::NotSent | CallerResponse::Lost => NextAction::End(CallerResult::Lost),
    }
}

fn is_safe_to_retry(request: &CallerRequest) -> bool {
    request.key.is_some() || request.repeatability == Repeatability::Repeatable
}

fn after_failure(state: &RequestState, failure: &RequestFailure, retries_left: bool) -> NextAction {
    let retry_after_given = failure.retry_after_milliseconds > 0;
    let delay = Duration::from_millis(failure.retry_after_milliseconds).max(MIN_RETRY_DELAY);
    // "Not executed" is the final outcome of an idempotency key; a retry would need a new key.
    let is_final_for_key = state.request.key.is_some() && failure.outcome == ExecutionOutcome::NotExecuted;
    if retries_left && retry_after_given && !is_final_for_key && is_safe_to_retry(&state.request) {
        return NextAction::RetryAfter(delay);
    }
    NextAction::End(CallerResult::Failed { outcome: failure.outcome, code: failure.code, retry_after_given })
}

fn response_defect(request: &CallerRequest, generation: &Generation) -> Option<String> {
    let Some(response_tokens) = tokens::parse_tokens(&generation.text) else {
        return Some("the text contains words that are not tokens".to_string());
    };
    let defect = tokens::response_defect(&request.prompt, request.seed, request.max_tokens, &response_tokens);
    defect.or_else(|| {
        let listed_versions = &generation.versions;
        let token_versions = tokens::version_spans(&response_tokens);
        (!listed_versions.is_empty() && *listed_versions != token_versions)
            .then(|| format!("lists versions {listed_versions:?}, tokens contain {token_versions:?}"))
    })
}
