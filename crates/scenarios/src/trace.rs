//! Scenarios as data: which deployment, which faults and arrivals when, and what must come out.
//!
//! A trace is a TOML file. Without arrivals, callers follow their deployment's rates; a recorded trace lists every
//! arrival. Faults that a scenario does not name may be drawn on top by seed.

use saddlerelay_checker::check::Limits;
use saddlerelay_checker::report::{Promise, Report, Violation};
use serde::{Deserialize, Serialize};

/// Which process a fault hits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Target {
    /// The control replica that leads.
    Leader,
    /// A control replica by place.
    Control {
        /// From zero.
        place: u32,
    },
    /// A relay by place.
    Relay {
        /// From zero.
        place: u32,
    },
    /// An engine by place.
    Engine {
        /// From zero.
        place: u32,
    },
    /// The trainer of the tenant at this place among those with a trainer.
    Trainer {
        /// From zero.
        place: u32,
    },
    /// The scorer.
    Scorer,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// The process dies at once and starts again after a while; what it had not synced is gone.
    Crash {
        /// Who.
        target: Target,
        /// Milliseconds until it starts again.
        restart_after_ms: u64,
    },
    /// The process dies, its disk is lost, and it starts with an empty one.
    LoseDisk {
        /// Who.
        target: Target,
        /// Milliseconds until it starts again.
        restart_after_ms: u64,
    },
    /// The process stands still for a while.
    Freeze {
        /// Who.
        target: Target,
        /// For how long.
        for_ms: u64,
    },
    /// A zone is cut off from the others, or only what it sends is.
    CutZone {
        /// The zone's place.
        zone: u32,
        /// For how long.
        for_ms: u64,
        /// Whether what the zone is sent still arrives.
        one_way: bool,
    },
    /// A zone hears nothing from the others, which still hear it.
    DeafenZone {
        /// The zone's place.
        zone: u32,
        /// For how long.
        for_ms: u64,
    },
    /// A process is asked to stop in an orderly way and starts again.
    PlannedStop {
        /// Who.
        target: Target,
        /// Milliseconds until it starts again.
        restart_after_ms: u64,
    },
    /// An engine says that it leaves.
    EngineLeaves {
        /// The engine's place.
        place: u32,
    },
    /// The platform lists an engine's machine as leaving.
    MachineLeaves {
        /// The engine's place.
        place: u32,
    },
    /// The engine's next swap fails partway.
    FailSwap {
        /// The engine's place.
        place: u32,
    },
    /// The engine's next stream breaks off.
    BreakStream {
        /// The engine's place.
        place: u32,
    },
    /// The engine's next stream loses a chunk out of its middle.
    LoseChunk {
        /// The engine's place.
        place: u32,
    },
    /// The engine sends chunks twice from now on.
    DuplicateChunks {
        /// The engine's place.
        place: u32,
    },
    /// The engine is this many times slower from now on.
    SlowEngine {
        /// The engine's place.
        place: u32,
        /// How many times.
        factor: u32,
    },
    /// A replica's disk takes nothing more for a while.
    FullDisk {
        /// Who.
        target: Target,
        /// For how long.
        for_ms: u64,
    },
    /// An operator tightens a trainer's staleness bound.
    SetStaleness {
        /// The tenant's place.
        tenant: u32,
        /// The new bound.
        bound: u64,
    },
}

/// A fault and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Milliseconds from when the deployment is up.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// One recorded arrival.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Milliseconds from when the deployment is up.
    pub at_ms: u64,
    /// The tenant's place.
    pub tenant: u32,
    /// The place among the tenant's callers.
    pub caller: u32,
    /// Whether it must run at most once.
    pub once: bool,
    /// Which prompt prefix.
    pub prefix: u64,
}

/// What must come out besides that no promise is broken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Outcome {
    /// Least share of requests answered whole, in percent.
    pub answered_percent: u64,
    /// Fewest versions published.
    pub versions_published: u64,
    /// Fewest faults that must have been caused.
    pub faults: u64,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// The deployment's name.
    pub deployment: String,
    /// Milliseconds of load.
    pub duration_ms: u64,
    /// Connections in a thousand whose first packet is lost and sent again up to a second later. Simulator only.
    #[serde(default = "default_lost_handshakes")]
    pub lost_handshakes: u64,
    /// Random faults drawn on top.
    #[serde(default)]
    pub random_faults: u32,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Recorded arrivals; empty for the deployment's rates.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// What must come out.
    #[serde(default)]
    pub outcome: Outcome,
}

fn default_lost_handshakes() -> u64 {
    20
}

impl Scenario {
    /// Reads a trace.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Writes a trace.
    pub fn write(&self) -> Result<String, toml::ser::Error> {
        toml::to_string_pretty(self)
    }

    /// The limits that its runs are checked against.
    pub fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Adds what the stated outcome finds wanting to the report's violations.
    pub fn judge(&self, report: &mut Report) {
        let counts = &report.counts;
        let answered = counts.answered * 100;
        let mut wanting = Vec::new();
        if answered < self.outcome.answered_percent * counts.requests || counts.requests == 0 {
            wanting.push(format!("{} of {} requests answered", counts.answered, counts.requests));
        }
        if counts.versions_published < self.outcome.versions_published {
            wanting.push(format!("{} versions published", counts.versions_published));
        }
        if counts.faults < self.outcome.faults {
            wanting.push(format!("{} faults caused", counts.faults));
        }
        if counts.faults == 0 && counts.lost > 0 {
            wanting.push(format!("{} requests without a final answer", counts.lost));
        }
        let violations = wanting.into_iter().map(|detail| Violation { promise: Promise::StatedOutcome, detail });
        report.violations.extend(violations);
    }
}
