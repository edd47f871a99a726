//! What stand-ins saw. Times are milliseconds on one clock that all stand-ins of a run share.

use saddlerelay_types::configuration::ConfigurationOutcome;
use saddlerelay_types::identity::{CallerId, EngineId, Position, Revision, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, Priority};
use saddlerelay_types::rollout::SampleId;
use serde::{Deserialize, Serialize};

/// How a caller's request ended, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerResult {
    /// An answer with an explicit end; `fault` says what is wrong with it, if anything.
    Answered {
        /// What is wrong with the answer.
        fault: Option<String>,
    },
    /// A final refusal or failure.
    Failed {
        /// What the caller was told of the execution.
        outcome: ExecutionOutcome,
        /// Why.
        code: FailureCode,
        /// Whether the caller was told when to come back, where that can help.
        told_when: bool,
    },
    /// No final answer came.
    Lost,
}

/// One thing a stand-in saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Record {
    /// An engine admitted a generation.
    Execution {
        /// When.
        at: u64,
        /// The engine.
        engine: EngineId,
        /// The prompt, which names the caller's request.
        prompt: String,
        /// The relay's attempt.
        attempt_id: u64,
        /// Tokens it was asked to go on after.
        resumed: u32,
        /// The caller's class.
        priority: Priority,
    },
    /// An engine said that it leaves, or the platform or an operator said so of it.
    Leaving {
        /// When.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// An engine started: an earlier leaving is over.
    EngineStarted {
        /// When.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// An engine began to load weights, or ended.
    Swap {
        /// When.
        at: u64,
        /// The engine.
        engine: EngineId,
        /// The version.
        version: WeightVersion,
        /// Whether it ended well; absent at the beginning.
        loaded: Option<bool>,
    },
    /// An engine admitted a generation while it ran no confirmed version.
    ServedUnconfirmed {
        /// When.
        at: u64,
        /// The engine.
        engine: EngineId,
    },
    /// A caller's request ended.
    Caller {
        /// When it was first sent.
        from: u64,
        /// When its final answer came.
        to: u64,
        /// The tenant.
        tenant: TenantId,
        /// The caller's class.
        class: Priority,
        /// The application.
        caller: CallerId,
        /// Which prompt prefix it shares with others.
        prefix: u64,
        /// The prompt, which names the request.
        prompt: String,
        /// Whether it may run again.
        repeatable: bool,
        /// How often it was sent.
        sends: u32,
        /// How many of the sends were broken off without a final answer.
        broken: u32,
        /// Milliseconds from the first send to the first token.
        first_token_after: Option<u64>,
        /// How it ended.
        result: CallerResult,
    },
    /// A caller was told that one send of its request did not run, and sends it again as another request.
    ToldNotExecuted {
        /// When.
        at: u64,
        /// The prompt of that send.
        prompt: String,
    },
    /// A trainer opened a step.
    StepOpened {
        /// When.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// The step.
        step: StepNumber,
        /// How many samples it asked for.
        samples: u32,
    },
    /// A trainer received a sample for good.
    SampleReceived {
        /// When.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// Its place in the delivery order.
        position: Position,
        /// The sample.
        sample: SampleId,
        /// The oldest version among its tokens, as the tokens themselves show.
        oldest: WeightVersion,
        /// The trainer's published version at that time.
        published: WeightVersion,
        /// What is wrong with its tokens or the versions it names, if anything.
        fault: Option<String>,
    },
    /// A trainer trained on a step's worth of samples.
    Trained {
        /// When it ended.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// Milliseconds it waited for samples.
        waited: u64,
        /// Milliseconds it trained.
        trained: u64,
    },
    /// A trainer published a version.
    Published {
        /// When the answer came.
        at: u64,
        /// The tenant.
        tenant: TenantId,
        /// The version.
        version: WeightVersion,
    },
    /// An operator's change was answered.
    Change {
        /// When it was sent first.
        from: u64,
        /// When the answer came.
        to: u64,
        /// The object.
        object: String,
        /// The operator's key.
        key: String,
        /// The revision the operator named.
        expected: Option<Revision>,
        /// The answer.
        outcome: ConfigurationOutcome,
        /// The staleness bound it sets, and for which tenant.
        staleness_bound: Option<(TenantId, u64)>,
        /// The probe value it sets.
        probe: Option<u64>,
    },
    /// A relay was asked which probe value it acts on.
    Probe {
        /// When it was asked.
        from: u64,
        /// When it answered.
        to: u64,
        /// The relay.
        relay: String,
        /// The value; absent when it said that it may not act.
        value: Option<u64>,
    },
    /// A fault was caused.
    Fault {
        /// When.
        at: u64,
        /// What.
        what: String,
        /// Whether it is an orderly stop, which must break nothing off.
        planned: bool,
    },
}
