//! Which engine gets a request: one policy in each module, all behind [`Policy`].

pub mod least_loaded;
pub mod prefix_affinity;
pub mod random;
pub mod round_robin;

use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::{EngineId, WeightVersion};
use saddlerelay_types::request::Priority;

/// Characters at the start of a prompt that count as its prefix.
pub const PREFIX_CHARACTERS: usize = 256;

/// What a policy may know of an engine. Every candidate is able to take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub id: EngineId,
    /// How many sequences it runs at once.
    pub slots: u32,
    /// Requests of this relay that it is running.
    pub in_flight: u32,
    /// Its own report, which lags.
    pub reported: EngineLoad,
    /// Age of the report in milliseconds.
    pub report_age_milliseconds: u64,
    /// Whether it is in the relay's own zone.
    pub same_zone: bool,
    /// The version it has confirmed.
    pub version: WeightVersion,
}

impl Candidate {
    /// Sequences running and waiting, as best known: the relay's own count is never stale, a report may be.
    pub fn load(&self) -> u32 {
        let reported = self.reported.running + self.reported.waiting;
        self.in_flight.max(reported)
    }

    /// Load as a share of the slots.
    pub fn utilization(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.slots.max(1))
    }
}

/// What a policy may know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingRequest<'a> {
    /// The prompt.
    pub prompt: &'a str,
    /// The caller's class.
    pub priority: Priority,
    /// How much the tenant counts staleness against trainer idle time, 0 to 100.
    pub staleness_share_percent: u32,
}

impl RoutingRequest<'_> {
    /// Hash of the prompt's prefix, the same on every relay.
    pub fn prefix_hash(&self) -> u64 {
        let end = self.prompt.char_indices().nth(PREFIX_CHARACTERS).map_or(self.prompt.len(), |(index, _)| index);
        xxhash_rust::xxh3::xxh3_64(&self.prompt.as_bytes()[..end])
    }
}

/// Chooses an engine.
pub trait Policy {
    /// The place in `candidates` of the engine to use, or `None` when there are none. `random` is a fresh random number.
    fn choose(&self, request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize>;
}

/// Policies by name, as settings and experiments give them.
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
    /// Every policy.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::LeastLoaded, Self::PrefixAffinity];

    /// The name in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::PrefixAffinity => "prefix-affinity",
        }
    }

    /// The policy with this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.as_str() == name)
    }

    /// The policy itself.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Random => Box::new(random::Random),
            Self::RoundRobin => Box::new(round_robin::RoundRobin::default()),
            Self::LeastLoaded => Box::new(least_loaded::LeastLoaded),
            Self::PrefixAffinity => Box::new(prefix_affinity::PrefixAffinity),
        }
    }
}
