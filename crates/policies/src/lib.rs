//! Load-balancing policies that pick an engine for a request. Each module implements one [`Policy`].

pub mod least_loaded;
pub mod prefix_affinity;
pub mod random;
pub mod round_robin;

use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::{EngineId, WeightVersion};
use saddlerelay_types::request::Priority;

/// Length of a prompt's prefix for prefix affinity, in characters.
pub const PREFIX_CHARACTERS: usize = 256;

/// An engine that can accept the request, as seen by a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The engine's ID.
    pub id: EngineId,
    /// Number of sequences that it runs concurrently.
    pub slots: u32,
    /// Requests of this relay in flight.
    pub in_flight: u32,
    /// The engine's newest load report.
    pub reported: EngineLoad,
    /// Age of the report in milliseconds.
    pub report_age_milliseconds: u64,
    /// Whether it is in the relay's zone.
    pub same_zone: bool,
    /// The weight version that it has confirmed.
    pub version: WeightVersion,
}

impl Candidate {
    /// Running and waiting sequences: the larger of the relay's own count and the report, which may be stale.
    pub fn load(&self) -> u32 {
        let reported = self.reported.running + self.reported.waiting;
        self.in_flight.max(reported)
    }

    /// Load divided by slots; above 1 if sequences are waiting.
    pub fn utilization(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.slots.max(1))
    }
}

/// A request as seen by a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingRequest<'a> {
    /// The prompt.
    pub prompt: &'a str,
    /// The priority class.
    pub priority: Priority,
    /// The tenant's weight of staleness relative to trainer idle time, 0 to 100.
    pub staleness_share_percent: u32,
}

impl RoutingRequest<'_> {
    /// Hash of the prompt's prefix; identical on all relays.
    pub fn prefix_hash(&self) -> u64 {
        let end = self.prompt.char_indices().nth(PREFIX_CHARACTERS).map_or(self.prompt.len(), |(index, _)| index);
        xxhash_rust::xxh3::xxh3_64(&self.prompt.as_bytes()[..end])
    }
}

/// A load-balancing policy.
pub trait Policy {
    /// Returns the index in `candidates` of the picked engine; `None` if there are none. `random` is a new random
    /// number.
    fn choose(&self, request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize>;
}

/// The name of a policy, as used in settings and experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// [`random::Random`].
    Random,
    /// [`round_robin::RoundRobin`].
    RoundRobin,
    /// [`least_loaded::LeastLoaded`].
    LeastLoaded,
    /// [`prefix_affinity::PrefixAffinity`], the default.
    PrefixAffinity,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::LeastLoaded, Self::PrefixAffinity];

    /// The name as written in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::PrefixAffinity => "prefix-affinity",
        }
    }

    /// Parses a name from settings.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.as_str() == name)
    }

    /// Creates the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Random => Box::new(random::Random),
            Self::RoundRobin => Box::new(round_robin::RoundRobin::default()),
            Self::LeastLoaded => Box::new(least_loaded::LeastLoaded),
            Self::PrefixAffinity => Box::new(prefix_affinity::PrefixAffinity),
        }
    }
}
