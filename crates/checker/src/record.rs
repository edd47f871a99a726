//! Records that stand-ins write. Times are milliseconds on one clock that all stand-ins of a run share.

use saddlerelay_types::configuration::ConfigurationOutcome;
use saddlerelay_types::identity::{CallerId, EngineId, Position, Revision, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, Priority};
use saddlerelay_types::rollout::SampleId;
use serde::{Deserialize, Serialize};

/// The final outcome of a caller's request, as observed by the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerResult {
    /// A response with an explicit end.
    Answered {
        /// The defect that the caller found in the response, if any.
        fault: Option<String>,
    },
    /// A final rejection or failure.
    Failed {
        /// The execution outcome reported to the caller.
        outcome: ExecutionOutcome,
        /// The reported failure code.
        code: FailureCode,
        /// Whether the response had a retry-after time.
        #[serde(rename = "told_when")]
        retry_after_given: bool,
    },
    /// No final response arrived.
    Lost,
}

/// One event observed by a stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Record {
    /// An engine admitted a generation.
    Execution {
        /// Time of the event.
        at: u64,
        /// The engine.
        engine: EngineId,
        /// The prompt, which identifies the caller's request.
        prompt: String,
        /// The relay's attempt id.
        attempt_id: u64,
        /// Number of already generated tokens that the request resumes after.
        resumed: u32,
        /// The caller's priority class.
        priority: Priority,
    },
    /// An engine, the platform or an operator reported that the engine is leaving.
    Leaving {
        /// Time of the event.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// An engine started, which ends an earlier drain.
    EngineStarted {
        /// Time of the event.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// An engine started or finished loading weights.
    Swap {
        /// Time of the event.
        at: u64,
        /// The engine.
        engine: EngineId,
        /// The weight version.
        version: WeightVersion,
        /// Whether the load succeeded; `None` when it starts.
        loaded: Option<bool>,
    },
    /// An engine admitted a generation while it had no confirmed weight version.
    ServedUnconfirmed {
        /// Time of the event.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// A caller's request finished.
    Caller {
        /// Time of the first send.
        from: u64,
        /// Time of the final response.
        to: u64,
        /// The tenant.
        tenant: TenantId,
        /// The caller's priority class.
        class: Priority,
        /// The calling application.
        caller: CallerId,
        /// Number of the prompt prefix, which requests share.
        prefix: u64,
        /// The prompt, which identifies the request.
        prompt: String,
        /// Whether it may be executed more than once.
        repeatable: bool,
        /// Number of sends, retries included.
        sends: u32,
        /// Number of sends that ended without a final response.
        broken: u32,
        /// Milliseconds from the first send to the first token; to the complete response if the request was retried.
        first_token_after: Option<u64>,
        /// The final outcome.
        result: CallerResult,
    },
    /// One send of a request was reported as not executed, and the caller retries it as a new request.
    #[serde(rename = "told_not_executed")]
    ReportedNotExecuted {
        /// Time of the event.
        at: u64,
        /// The prompt of that send.
        prompt: String,
    },
    /// A trainer opened a training step.
    StepOpened {
        /// Time of the event.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// The step.
        step: StepNumber,
        /// Number of samples requested.
        samples: u32,
    },
    /// A trainer received and accepted a sample.
    SampleReceived {
        /// Time of the event.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// Position in the tenant's delivery order.
        position: Position,
        /// The sample.
        sample: SampleId,
        /// The oldest weight version among its tokens, read from the tokens.
        oldest: WeightVersion,
        /// The weight version that the trainer had published by then.
        published: WeightVersion,
        /// The defect in its tokens or listed versions, if any.
        fault: Option<String>,
    },
    /// A trainer completed a training step.
    Trained {
        /// Time of completion.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// Milliseconds spent waiting for samples.
        waited: u64,
        /// Milliseconds spent training.
        trained: u64,
    },
    /// A trainer published a weight version.
    Published {
        /// Time of the response.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// The weight version.
        version: WeightVersion,
    },
    /// An operator received the outcome of a configuration change.
    Change {
        /// Time of the first send.
        from: u64,
        /// Time of the response.
        to: u64,
        /// The configuration object.
        object: String,
        /// The idempotency key.
        key: String,
        /// The revision that the change expects.
        expected: Option<Revision>,
        /// The outcome.
        outcome: ConfigurationOutcome,
        /// The tenant and the staleness bound that the change sets.
        staleness_bound: Option<(TenantId, u64)>,
        /// The probe value that the change sets.
        probe: Option<u64>,
    },
    /// A relay reported the probe value that it applies.
    Probe {
        /// Time of the request.
        from: u64,
        /// Time of the response.
        to: u64,
        /// The relay.
        relay: String,
        /// The probe value; `None` if the relay reported none, such as when it is fenced.
        value: Option<u64>,
    },
    /// A fault was injected.
    Fault {
        /// Time of the event.
        at: u64,
        /// Description of the fault.
        what: String,
        /// Whether it is a planned stop, which must not interrupt requests.
        planned: bool,
    },
}
