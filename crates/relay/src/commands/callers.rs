//! Callers' requests: admission, claim, generation, and a final status that says whether the request was executed.

use crate::admission::{AdmissionError, AdmissionLimits};
use crate::dispatch::{DispatchFailure, GenerationWork, RETRY_DELAY};
use crate::relay::Relay;
use futures::channel::mpsc;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimResult};
use saddlerelay_types::configuration::TenantParameters;
use saddlerelay_types::identity::{BodyDigest, Incarnation, WeightVersion};
use saddlerelay_types::protocol::{ClaimCommand, Command, CommandOutcome};
use saddlerelay_types::request::{
    CallerRequest, ExecutionOutcome, FailureCode, Generation, Repeatability, RequestFailure, RequestKey, ResponsePart,
};
use std::time::Duration;

/// Polling interval while another copy of the request holds the claim.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the relay retries in the background to commit a claim's end after losing the incarnation that holds the
/// claim, counted from the first attempt. While the incarnation is current, retries are unlimited.
const CLAIM_END_RETRY_LIMIT: Duration = Duration::from_secs(60);

/// Retry delay sent to callers after a transient failure, in milliseconds.
const RETRY_DELAY_MS: u64 = RETRY_DELAY.as_millis() as u64;

/// Sends the parts of an answer to the caller.
pub type PartSender = mpsc::UnboundedSender<ResponsePart>;

/// The claim for one received copy of a keyed request; the copies of a request compete for its claim.
#[derive(Clone)]
struct Claim {
    request: ClaimRequest,
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Serves a request. The last part is [`ResponsePart::End`] or [`ResponsePart::Failed`]; a stream without either was
    /// interrupted.
    pub fn serve(&self, request: CallerRequest) -> mpsc::UnboundedReceiver<ResponsePart> {
        let (parts, answer) = mpsc::unbounded();
        let relay = self.clone();
        self.count(|counters| counters.requests += 1);
        self.inner.runtime.spawn(async move { relay.serve_to(request, parts).await });
        answer
    }

    async fn serve_to(self, request: CallerRequest, parts: PartSender) {
        let last = match self.run_request(&request, &parts).await {
            Ok(generation) => {
                self.count(|counters| counters.answered += 1);
                ResponsePart::End(generation.finish)
            }
            Err(failure) => {
                self.count(|counters| counters.failed += 1);
                ResponsePart::Failed(failure)
            }
        };
        // If the caller has disconnected, it can get the answer by resending a keyed request.
        let _ = parts.unbounded_send(last);
    }

    async fn run_request(&self, request: &CallerRequest, parts: &PartSender) -> Result<Generation, RequestFailure> {
        let arrived_at = self.inner.runtime.monotonic();
        let deadline = arrived_at + Duration::from_millis(request.deadline_milliseconds);
        let parameters = self.validate(request)?;
        let limits = AdmissionLimits { max_in_flight: parameters.max_in_flight, max_queued: parameters.max_queued };
        let remaining = deadline.saturating_sub(arrived_at);
        let admitted =
            self.inner.admission.admit(&self.inner.runtime, &request.tenant, limits, request.priority, remaining).await;
        let _permit = admitted.map_err(|refusal| admission_failure(request, refusal))?;
        match &request.key {
            Some(key) => self.run_keyed(request, key, deadline, parts).await,
            None => self.run_unkeyed(request, deadline, parts).await,
        }
    }

    fn validate(&self, request: &CallerRequest) -> Result<TenantParameters, RequestFailure> {
        if self.inner.draining.get() {
            let message = "this relay is stopping; ask another";
            return Err(rejection(request, FailureCode::Stopping, message, RETRY_DELAY_MS));
        }
        if !self.is_ready() {
            let message = "this relay holds no configuration lease";
            return Err(rejection(request, FailureCode::NotReady, message, RETRY_DELAY_MS));
        }
        let Some(parameters) = self.tenant(&request.tenant) else {
            let message = format!("tenant {} is not configured", request.tenant);
            return Err(rejection(request, FailureCode::UnknownTenant, message, 0));
        };
        if parameters.model != request.model {
            let message = format!("tenant {} is not served by model {}", request.tenant, request.model);
            return Err(rejection(request, FailureCode::UnknownModel, message, 0));
        }
        Ok(parameters)
    }

    fn generation_work(&self, request: &CallerRequest, deadline: Duration, incarnation: Incarnation) -> GenerationWork {
        GenerationWork {
            tenant: request.tenant.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            seed: request.seed,
            priority: request.priority,
            repeatability: request.repeatability,
            incarnation,
            started_at: self.inner.runtime.monotonic(),
            deadline,
            attempts: self.inner.options.config.max_attempts,
            oldest_useful_version: WeightVersion(0),
        }
    }

    async fn run_unkeyed(
        &self,
        request: &CallerRequest,
        deadline: Duration,
        parts: &PartSender,
    ) -> Result<Generation, RequestFailure> {
        let work = self.generation_work(request, deadline, self.inner.incarnation.get());
        self.dispatch(&work, Some(parts)).await.map_err(|failure| dispatch_failure(failure.outcome, &failure))
    }

    async fn run_keyed(
        &self,
        request: &CallerRequest,
        key: &RequestKey,
        deadline: Duration,
        parts: &PartSender,
    ) -> Result<Generation, RequestFailure> {
        let incarnation = self.inner.incarnation.get();
        let claim = self.new_claim(request, key, incarnation);
        match self.acquire_claim(&claim, deadline).await {
            Some(ClaimOutcome::Granted) => self.run_claimed(request, &claim, deadline, parts).await,
            Some(ClaimOutcome::Finished(ClaimResult::Answered(generation))) => {
                send_generation(&generation, parts);
                Ok(generation)
            }
            Some(ClaimOutcome::Finished(ClaimResult::Failed(failure))) => Err(failure),
            Some(outcome) => Err(claim_failure(&outcome)),
            None => {
                // The claim may still be committed; sealing it prevents a later execution of the request.
                self.inner.runtime.spawn(self.clone().seal_in_background(claim));
                let message = "the control group did not decide in time; resend with the same key";
                Err(rejection(request, FailureCode::Undecided, message, RETRY_DELAY_MS))
            }
        }
    }

    fn new_claim(&self, request: &CallerRequest, key: &RequestKey, holder: Incarnation) -> Claim {
        let claim_key =
            ClaimKey { tenant: request.tenant.clone(), caller: request.caller.clone(), key: key.key.clone() };
        let request = ClaimRequest {
            key: claim_key,
            digest: request_digest(request),
            expires_at: key.expires_at,
            holder,
            arrival: self.inner.runtime.random(),
            repeatability: request.repeatability,
        };
        Claim { request }
    }

    /// Acquires the claim; while another copy of the request runs, polls until it has ended or the deadline is near.
    /// `None` if the control group did not decide in time.
    async fn acquire_claim(&self, claim: &Claim, deadline: Duration) -> Option<ClaimOutcome> {
        loop {
            let remaining = deadline.saturating_sub(self.inner.runtime.monotonic());
            let timeout = remaining.min(self.inner.options.config.claim_timeout);
            let command = ClaimCommand::Acquire(claim.request.clone());
            let outcome = self.commit_claim(command, timeout).await?;
            if outcome != ClaimOutcome::Running || remaining <= CLAIM_POLL_INTERVAL {
                return Some(outcome);
            }
            self.inner.runtime.sleep(CLAIM_POLL_INTERVAL).await;
        }
    }

    async fn run_claimed(
        &self,
        request: &CallerRequest,
        claim: &Claim,
        deadline: Duration,
        parts: &PartSender,
    ) -> Result<Generation, RequestFailure> {
        let work = self.generation_work(request, deadline, claim.request.holder);
        match self.dispatch(&work, Some(parts)).await {
            Ok(generation) => {
                let result = ClaimResult::Answered(generation.clone());
                self.commit_result(claim, result).await;
                Ok(generation)
            }
            Err(failure) if failure.outcome == ExecutionOutcome::NotExecuted => {
                Err(self.seal_claim(claim, &failure).await)
            }
            Err(failure) => {
                let answer = dispatch_failure(failure.outcome, &failure);
                self.end_failed_claim(request, claim, &answer).await;
                Err(answer)
            }
        }
    }

    /// Seals the claim. Returns `NotExecuted` only if the seal is committed, which rules out a later execution under
    /// the key.
    async fn seal_claim(&self, claim: &Claim, failure: &DispatchFailure) -> RequestFailure {
        let command = ClaimCommand::Seal(claim.request.clone());
        let sealed = self.commit_claim(command, self.inner.options.config.claim_timeout).await;
        if sealed == Some(ClaimOutcome::Sealed) {
            let message = format!("{}; use a new key to ask again", failure.message);
            let retry = RETRY_DELAY_MS;
            return RequestFailure::new(ExecutionOutcome::NotExecuted, failure.code, message, retry);
        }
        self.inner.runtime.spawn(self.clone().seal_in_background(claim.clone()));
        let message = format!("{}; undecided, resend with the same key", failure.message);
        let retry = RETRY_DELAY_MS;
        RequestFailure::new(ExecutionOutcome::Unknown, FailureCode::Undecided, message, retry)
    }

    /// Commits the result before the caller receives the end of the answer, so that a resend gets the same result.
    async fn commit_result(&self, claim: &Claim, result: ClaimResult) {
        let (key, arrival) = (claim.request.key.clone(), claim.request.arrival);
        let command = ClaimCommand::Finish { key, arrival, result };
        if self.commit_claim(command.clone(), self.inner.options.config.claim_timeout).await.is_none() {
            self.inner.runtime.spawn(self.clone().end_claim_in_background(command, claim.request.holder));
        }
    }

    /// Ends the claim of a failed request: a repeatable request may be claimed again, any other keeps this failure.
    async fn end_failed_claim(&self, request: &CallerRequest, claim: &Claim, answer: &RequestFailure) {
        let (key, arrival) = (claim.request.key.clone(), claim.request.arrival);
        let command = match request.repeatability {
            Repeatability::Repeatable => ClaimCommand::Abandon { key, arrival },
            Repeatability::NotRepeatable => {
                ClaimCommand::Finish { key, arrival, result: ClaimResult::Failed(answer.clone()) }
            }
        };
        if self.commit_claim(command.clone(), self.inner.options.config.claim_timeout).await.is_none() {
            self.inner.runtime.spawn(self.clone().end_claim_in_background(command, claim.request.holder));
        }
    }

    async fn commit_claim(&self, command: ClaimCommand, timeout: Duration) -> Option<ClaimOutcome> {
        match self.inner.control.execute(Command::Claim(command), timeout).await {
            Ok(CommandOutcome::Claim(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Retries the end of a claim in the background.
    async fn end_claim_in_background(self, command: ClaimCommand, holder: Incarnation) {
        let runtime = &self.inner.runtime;
        let retry_until = runtime.monotonic() + CLAIM_END_RETRY_LIMIT;
        let is_needed = || self.inner.incarnation.get() == holder || runtime.monotonic() < retry_until;
        self.commit_until_decided(Command::Claim(command), is_needed).await;
    }

    async fn seal_in_background(self, claim: Claim) {
        let holder = claim.request.holder;
        self.end_claim_in_background(ClaimCommand::Seal(claim.request), holder).await;
    }
}

fn request_digest(request: &CallerRequest) -> BodyDigest {
    let body = (request.model.as_str(), request.prompt.as_str(), request.max_tokens, request.seed);
    BodyDigest::of(&bitcode::encode(&body))
}

fn send_generation(generation: &Generation, parts: &PartSender) {
    let mut first = 0;
    for (index, span) in generation.versions.iter().enumerate() {
        let end = first + span.tokens as usize;
        let tokens = generation.tokens[first..end].to_vec();
        // The text is not divided by version, so the first part carries all of it.
        let text = if index == 0 { generation.text.clone() } else { String::new() };
        let _ = parts.unbounded_send(ResponsePart::Tokens { tokens, text, version: span.version });
        first = end;
    }
}

/// A rejection before execution on this relay. For a keyed request the outcome is unknown, since an earlier copy may
/// run on another relay.
fn rejection(request: &CallerRequest, code: FailureCode, message: impl Into<String>, retry: u64) -> RequestFailure {
    let is_keyed = request.key.is_some();
    let outcome = if is_keyed { ExecutionOutcome::Unknown } else { ExecutionOutcome::NotExecuted };
    RequestFailure::new(outcome, code, message, retry)
}

fn admission_failure(request: &CallerRequest, admission: AdmissionError) -> RequestFailure {
    match admission {
        AdmissionError::Overloaded(wait) => {
            let retry = (wait.as_millis() as u64).max(RETRY_DELAY_MS);
            rejection(request, FailureCode::Overloaded, "the tenant's requests fill its queue", retry)
        }
        AdmissionError::DeadlineExceeded => {
            let message = "the deadline passed while the request waited";
            rejection(request, FailureCode::DeadlineExceeded, message, RETRY_DELAY_MS)
        }
    }
}

fn dispatch_failure(outcome: ExecutionOutcome, failure: &DispatchFailure) -> RequestFailure {
    let retry = failure.retry_after.as_millis() as u64;
    RequestFailure::new(outcome, failure.code, failure.message.clone(), retry)
}

fn claim_failure(outcome: &ClaimOutcome) -> RequestFailure {
    let (execution, code, message, retry) = match outcome {
        ClaimOutcome::Lost => {
            (ExecutionOutcome::Unknown, FailureCode::EarlierAttemptLost, "an earlier copy was lost while it ran", 0)
        }
        ClaimOutcome::Sealed => {
            (ExecutionOutcome::NotExecuted, FailureCode::KeySealed, "the key was sealed; use a new key", 0)
        }
        ClaimOutcome::DigestMismatch => {
            (ExecutionOutcome::NotExecuted, FailureCode::KeyReused, "the key belongs to another request", 0)
        }
        ClaimOutcome::KeyExpired => {
            (ExecutionOutcome::Unknown, FailureCode::KeyExpired, "the key's expiry has passed or is too far ahead", 0)
        }
        _ => (
            ExecutionOutcome::Unknown,
            FailureCode::Undecided,
            "an earlier copy is still running; resend with the same key",
            RETRY_DELAY_MS,
        ),
    };
    RequestFailure::new(execution, code, message, retry)
}
