//! Callers' requests: admission, claim, generation, and an answer that says what is known of the execution.

use crate::admission::{AdmissionLimits, AdmissionRefusal};
use crate::dispatch::{DispatchFailure, GenerationWork, SHORT_RETRY};
use crate::relay::Relay;
use futures::channel::mpsc;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimResult};
use saddlerelay_types::configuration::TenantParameters;
use saddlerelay_types::identity::{BodyDigest, Incarnation, WeightVersion};
use saddlerelay_types::protocol::{ClaimCommand, Command, CommandOutcome};
use saddlerelay_types::request::{
    AnswerPart, CallerRequest, ExecutionOutcome, FailureCode, Generation, Repeatability, RequestFailure, RequestKey,
};
use std::time::Duration;

/// Pause before a running claim is looked at again.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a claim's end is tried to be committed behind the caller's back once the group has taken the claim back, counted
/// from the first try: a resend may still get the answer. Until then it is tried without a limit.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// When to come back after a refusal that passes quickly.
const SHORT_RETRY_MILLISECONDS: u64 = SHORT_RETRY.as_millis() as u64;

/// Where answer parts go.
pub type PartSender = mpsc::UnboundedSender<AnswerPart>;

/// A claim that this arrival asked for.
#[derive(Clone)]
struct Claim {
    request: ClaimRequest,
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Serves a request. The last part is [`AnswerPart::End`] or [`AnswerPart::Failed`]; a stream without either is cut.
    pub fn serve(&self, request: CallerRequest) -> mpsc::UnboundedReceiver<AnswerPart> {
        let (parts, answer) = mpsc::unbounded();
        let relay = self.clone();
        self.count(|counters| counters.requests += 1);
        self.inner.platform.spawn(async move { relay.serve_to(request, parts).await });
        answer
    }

    async fn serve_to(self, request: CallerRequest, parts: PartSender) {
        let last = match self.run_request(&request, &parts).await {
            Ok(generation) => {
                self.count(|counters| counters.answered += 1);
                AnswerPart::End(generation.finish)
            }
            Err(failure) => {
                self.count(|counters| counters.failed += 1);
                AnswerPart::Failed(failure)
            }
        };
        // A caller that is gone misses its answer; a keyed resend gets it.
        let _ = parts.unbounded_send(last);
    }

    async fn run_request(&self, request: &CallerRequest, parts: &PartSender) -> Result<Generation, RequestFailure> {
        let arrived = self.inner.platform.monotonic();
        let deadline = arrived + Duration::from_millis(request.deadline_milliseconds);
        let parameters = self.check(request)?;
        let limits = AdmissionLimits { max_in_flight: parameters.max_in_flight, max_queued: parameters.max_queued };
        let left = deadline.saturating_sub(arrived);
        let admitted =
            self.inner.admission.admit(&self.inner.platform, &request.tenant, limits, request.priority, left).await;
        let _permit = admitted.map_err(|refusal| admission_failure(request, refusal))?;
        match &request.key {
            Some(key) => self.run_keyed(request, key, deadline, parts).await,
            None => self.run_unkeyed(request, deadline, parts).await,
        }
    }

    fn check(&self, request: &CallerRequest) -> Result<TenantParameters, RequestFailure> {
        if self.inner.stopping.get() {
            let message = "this relay is stopping; ask another";
            return Err(refusal(request, FailureCode::Stopping, message, SHORT_RETRY_MILLISECONDS));
        }
        if !self.is_ready() {
            let message = "this relay holds no configuration lease";
            return Err(refusal(request, FailureCode::NotReady, message, SHORT_RETRY_MILLISECONDS));
        }
        let Some(parameters) = self.tenant(&request.tenant) else {
            let message = format!("tenant {} is not configured", request.tenant);
            return Err(refusal(request, FailureCode::UnknownTenant, message, 0));
        };
        if parameters.model != request.model {
            let message = format!("tenant {} is not served by model {}", request.tenant, request.model);
            return Err(refusal(request, FailureCode::UnknownModel, message, 0));
        }
        Ok(parameters)
    }

    fn work(&self, request: &CallerRequest, deadline: Duration, incarnation: Incarnation) -> GenerationWork {
        GenerationWork {
            tenant: request.tenant.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            seed: request.seed,
            priority: request.priority,
            repeatability: request.repeatability,
            incarnation,
            begun: self.inner.platform.monotonic(),
            deadline,
            attempts: self.inner.options.config.attempts,
            oldest_useful_version: WeightVersion(0),
        }
    }

    async fn run_unkeyed(
        &self,
        request: &CallerRequest,
        deadline: Duration,
        parts: &PartSender,
    ) -> Result<Generation, RequestFailure> {
        let work = self.work(request, deadline, self.inner.incarnation.get());
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
        let claim = self.claim(request, key, incarnation);
        match self.acquire(&claim, deadline).await {
            Some(ClaimOutcome::Granted) => self.run_claimed(request, &claim, deadline, parts).await,
            Some(ClaimOutcome::Finished(ClaimResult::Answered(generation))) => {
                send_whole(&generation, parts);
                Ok(generation)
            }
            Some(ClaimOutcome::Finished(ClaimResult::Failed(failure))) => Err(failure),
            Some(outcome) => Err(claim_failure(&outcome)),
            None => {
                // The claim may be committed later: make sure that it then runs nowhere.
                self.inner.platform.spawn(self.clone().seal_later(claim));
                let message = "the control group did not decide in time; resend with the same key";
                Err(refusal(request, FailureCode::Undecided, message, SHORT_RETRY_MILLISECONDS))
            }
        }
    }

    fn claim(&self, request: &CallerRequest, key: &RequestKey, holder: Incarnation) -> Claim {
        let name = ClaimKey { tenant: request.tenant.clone(), caller: request.caller.clone(), key: key.key.clone() };
        let request = ClaimRequest {
            key: name,
            digest: request_digest(request),
            expires_at: key.expires_at,
            holder,
            arrival: self.inner.platform.random(),
            repeatability: request.repeatability,
        };
        Claim { request }
    }

    /// Asks for the claim; while another arrival runs it, waits for that one's answer. `None` when undecided.
    async fn acquire(&self, claim: &Claim, deadline: Duration) -> Option<ClaimOutcome> {
        loop {
            let left = deadline.saturating_sub(self.inner.platform.monotonic());
            let limit = left.min(self.inner.options.config.claim_limit);
            let command = ClaimCommand::Acquire(claim.request.clone());
            let outcome = self.commit_claim(command, limit).await?;
            if outcome != ClaimOutcome::Running || left <= CLAIM_POLL_INTERVAL {
                return Some(outcome);
            }
            self.inner.platform.sleep(CLAIM_POLL_INTERVAL).await;
        }
    }

    async fn run_claimed(
        &self,
        request: &CallerRequest,
        claim: &Claim,
        deadline: Duration,
        parts: &PartSender,
    ) -> Result<Generation, RequestFailure> {
        let work = self.work(request, deadline, claim.request.holder);
        match self.dispatch(&work, Some(parts)).await {
            Ok(generation) => {
                let result = ClaimResult::Answered(generation.clone());
                self.settle(claim, result).await;
                Ok(generation)
            }
            Err(failure) if failure.outcome == ExecutionOutcome::NotExecuted => {
                Err(self.prove_not_executed(claim, &failure).await)
            }
            Err(failure) => {
                let answer = dispatch_failure(failure.outcome, &failure);
                self.abandon(request, claim, &answer).await;
                Err(answer)
            }
        }
    }

    /// `not_executed` is said only once a seal is committed under the key.
    async fn prove_not_executed(&self, claim: &Claim, failure: &DispatchFailure) -> RequestFailure {
        let command = ClaimCommand::Seal(claim.request.clone());
        let sealed = self.commit_claim(command, self.inner.options.config.claim_limit).await;
        if sealed == Some(ClaimOutcome::Sealed) {
            let message = format!("{}; use a new key to ask again", failure.message);
            let retry = SHORT_RETRY_MILLISECONDS;
            return RequestFailure::new(ExecutionOutcome::NotExecuted, failure.code, message, retry);
        }
        self.inner.platform.spawn(self.clone().seal_later(claim.clone()));
        let message = format!("{}; undecided, resend with the same key", failure.message);
        let retry = SHORT_RETRY_MILLISECONDS;
        RequestFailure::new(ExecutionOutcome::Unknown, FailureCode::Undecided, message, retry)
    }

    /// Stores an answer before its end is given to the caller, so that a resend gets the same.
    async fn settle(&self, claim: &Claim, result: ClaimResult) {
        let (key, arrival) = (claim.request.key.clone(), claim.request.arrival);
        let command = ClaimCommand::Finish { key, arrival, result };
        if self.commit_claim(command.clone(), self.inner.options.config.claim_limit).await.is_none() {
            self.inner.platform.spawn(self.clone().end_later(command, claim.request.holder));
        }
    }

    /// Ends a claim whose request failed: a repeatable one may be granted again, another one keeps this answer.
    async fn abandon(&self, request: &CallerRequest, claim: &Claim, answer: &RequestFailure) {
        let (key, arrival) = (claim.request.key.clone(), claim.request.arrival);
        let command = match request.repeatability {
            Repeatability::Repeatable => ClaimCommand::Abandon { key, arrival },
            Repeatability::NotRepeatable => {
                ClaimCommand::Finish { key, arrival, result: ClaimResult::Failed(answer.clone()) }
            }
        };
        if self.commit_claim(command.clone(), self.inner.options.config.claim_limit).await.is_none() {
            self.inner.platform.spawn(self.clone().end_later(command, claim.request.holder));
        }
    }

    async fn commit_claim(&self, command: ClaimCommand, limit: Duration) -> Option<ClaimOutcome> {
        match self.inner.control.execute(Command::Claim(command), limit).await {
            Ok(CommandOutcome::Claim(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Ends a claim behind the caller's back.
    async fn end_later(self, command: ClaimCommand, holder: Incarnation) {
        let platform = &self.inner.platform;
        let until = platform.monotonic() + SETTLE_LIMIT;
        let is_of_use = || self.inner.incarnation.get() == holder || platform.monotonic() < until;
        self.commit_until_decided(Command::Claim(command), is_of_use).await;
    }

    async fn seal_later(self, claim: Claim) {
        let holder = claim.request.holder;
        self.end_later(ClaimCommand::Seal(claim.request), holder).await;
    }
}

fn request_digest(request: &CallerRequest) -> BodyDigest {
    let body = (request.model.as_str(), request.prompt.as_str(), request.max_tokens, request.seed);
    BodyDigest::of(&bitcode::encode(&body))
}

fn send_whole(generation: &Generation, parts: &PartSender) {
    let mut first = 0;
    for (place, span) in generation.versions.iter().enumerate() {
        let end = first + span.tokens as usize;
        let tokens = generation.tokens[first..end].to_vec();
        // The text is not cut at versions: it goes with the first part.
        let text = if place == 0 { generation.text.clone() } else { String::new() };
        let _ = parts.unbounded_send(AnswerPart::Tokens { tokens, text, version: span.version });
        first = end;
    }
}

/// A refusal before anything ran here. Under a key an earlier copy may be running elsewhere, so it proves nothing.
fn refusal(request: &CallerRequest, code: FailureCode, message: impl Into<String>, retry: u64) -> RequestFailure {
    let keyed = request.key.is_some();
    let outcome = if keyed { ExecutionOutcome::Unknown } else { ExecutionOutcome::NotExecuted };
    RequestFailure::new(outcome, code, message, retry)
}

fn admission_failure(request: &CallerRequest, admission: AdmissionRefusal) -> RequestFailure {
    match admission {
        AdmissionRefusal::Overloaded(wait) => {
            let retry = (wait.as_millis() as u64).max(SHORT_RETRY_MILLISECONDS);
            refusal(request, FailureCode::Overloaded, "the tenant's requests fill its queue", retry)
        }
        AdmissionRefusal::DeadlineExceeded => {
            let message = "the deadline passed while the request waited";
            refusal(request, FailureCode::DeadlineExceeded, message, SHORT_RETRY_MILLISECONDS)
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
            SHORT_RETRY_MILLISECONDS,
        ),
    };
    RequestFailure::new(execution, code, message, retry)
}
