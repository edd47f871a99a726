//! Scenarios: a deployment, timed faults and arrivals, and the expected outcome.
//!
//! A trace is a scenario as a TOML file. Without arrivals, callers send at the rates of the deployment; a recorded trace
//! lists every arrival. A scenario can add random faults, which depend on the seed.

use saddlerelay_checker::check::Limits;
use saddlerelay_checker::report::{Invariant, Report, Violation};
use serde::{Deserialize, Serialize};

/// The process that a fault affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Target {
    /// The leader of the control group.
    Leader,
    /// A control replica.
    Control {
        /// Zero-based index.
        place: u32,
    },
    /// A relay.
    Relay {
        /// Zero-based index.
        place: u32,
    },
    /// An engine.
    Engine {
        /// Zero-based index.
        place: u32,
    },
    /// A trainer, indexed among the tenants with a trainer.
    Trainer {
        /// Zero-based index.
        place: u32,
    },
    /// The scorer.
    Scorer,
}

/// A kind of fault or operator action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// The process is killed and restarted.
    Crash {
        /// The affected process.
        target: Target,
        /// Milliseconds until the restart.
        restart_after_ms: u64,
    },
    /// The process is killed, its disk is erased, and it is restarted.
    LoseDisk {
        /// The affected process.
        target: Target,
        /// Milliseconds until the restart.
        restart_after_ms: u64,
    },
    /// The process is paused.
    Freeze {
        /// The affected process.
        target: Target,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// A network partition between a zone and the others, or the loss of its outgoing packets only.
    CutZone {
        /// The zone's index.
        zone: u32,
        /// Duration in milliseconds.
        for_ms: u64,
        /// Whether packets to the zone still arrive.
        one_way: bool,
    },
    /// A network partition in which packets to a zone are lost and packets from it arrive.
    DeafenZone {
        /// The zone's index.
        zone: u32,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// The process is stopped gracefully and restarted.
    PlannedStop {
        /// The affected process.
        target: Target,
        /// Milliseconds until the restart.
        restart_after_ms: u64,
    },
    /// An engine starts draining.
    EngineLeaves {
        /// The engine's index.
        place: u32,
    },
    /// The platform lists an engine's machine as leaving.
    MachineLeaves {
        /// The engine's index.
        place: u32,
    },
    /// The engine's next weight swap fails.
    FailSwap {
        /// The engine's index.
        place: u32,
    },
    /// The engine's next stream ends without a finish reason.
    BreakStream {
        /// The engine's index.
        place: u32,
    },
    /// A chunk in the middle of the engine's next stream is lost.
    LoseChunk {
        /// The engine's index.
        place: u32,
    },
    /// The engine sends chunks twice from then on.
    DuplicateChunks {
        /// The engine's index.
        place: u32,
    },
    /// The engine is slower from then on.
    SlowEngine {
        /// The engine's index.
        place: u32,
        /// Factor on the time per token.
        factor: u32,
    },
    /// Writes to the disk of a replica fail.
    FullDisk {
        /// The affected process.
        target: Target,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// An operator changes the staleness bound of a tenant.
    SetStaleness {
        /// The tenant's index.
        tenant: u32,
        /// The new bound, in weight versions.
        bound: u64,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Milliseconds since the start of the load.
    pub at_ms: u64,
    /// The kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// One recorded arrival.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Milliseconds since the start of the load.
    pub at_ms: u64,
    /// The tenant's index.
    pub tenant: u32,
    /// The index among the tenant's callers.
    pub caller: u32,
    /// Whether it must be executed at most once.
    pub once: bool,
    /// Number of the prompt prefix.
    pub prefix: u64,
}

/// Minimum results of a scenario, in addition to the absence of violations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Outcome {
    /// Minimum percentage of requests with a complete response.
    pub answered_percent: u64,
    /// Minimum number of published weight versions.
    pub versions_published: u64,
    /// Minimum number of injected faults.
    pub faults: u64,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Description, shown by `--list`.
    pub about: String,
    /// The deployment's name.
    pub deployment: String,
    /// Duration of the load in milliseconds.
    pub duration_ms: u64,
    /// Connections per thousand whose first packet is lost and retransmitted up to a second later. Simulator only.
    #[serde(default = "default_lost_handshakes")]
    pub lost_handshakes: u64,
    /// Number of additional random faults.
    #[serde(default)]
    pub random_faults: u32,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Recorded arrivals; if empty, callers send at the rates of the deployment.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// The expected outcome.
    #[serde(default)]
    pub outcome: Outcome,
}

fn default_lost_handshakes() -> u64 {
    20
}

impl Scenario {
    /// Parses the TOML text of a trace.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Formats the scenario as the TOML text of a trace.
    pub fn write(&self) -> Result<String, toml::ser::Error> {
        toml::to_string_pretty(self)
    }

    /// The limits for the checks of a run.
    pub fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Adds a violation for each part of the expected outcome that was not reached.
    pub fn check_outcome(&self, report: &mut Report) {
        let counts = &report.counts;
        let answered = counts.answered * 100;
        let mut failures = Vec::new();
        if answered < self.outcome.answered_percent * counts.requests || counts.requests == 0 {
            failures.push(format!("{} of {} requests answered", counts.answered, counts.requests));
        }
        if counts.versions_published < self.outcome.versions_published {
            failures.push(format!("{} versions published", counts.versions_published));
        }
        if counts.faults < self.outcome.faults {
            failures.push(format!("{} faults injected", counts.faults));
        }
        if counts.faults == 0 && counts.lost > 0 {
            failures.push(format!("{} requests without a final response", counts.lost));
        }
        let violations = failures.into_iter().map(|detail| Violation { promise: Invariant::StatedOutcome, detail });
        report.violations.extend(violations);
    }
}
