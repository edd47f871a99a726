//! What waiting items require of an engine's weight version, and which engines should load a newer one for them.

use std::collections::BTreeMap;

/// Weight versions of its model with which an item may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionRequirement {
    /// Oldest version that its job accepts.
    pub minimum: u64,
    /// Version of its text so far, if the route allows only one version per text.
    pub text_version: Option<u64>,
}

impl VersionRequirement {
    /// Whether an engine with weight version `version` may run the item.
    pub fn accepts(&self, version: u64) -> bool {
        version >= self.minimum && self.text_version.is_none_or(|text_version| text_version == version)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Group {
    items: u32,
    /// Whether no engine has a version that their job accepts.
    without_engine: bool,
}

/// Items of one model that wait for an engine, by the versions that they may run with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingItems {
    groups: BTreeMap<VersionRequirement, Group>,
}

impl WaitingItems {
    /// Adds an item. `has_engine` says whether any engine has a version that its job accepts.
    pub fn add(&mut self, requirement: VersionRequirement, has_engine: bool) {
        let group = self.groups.entry(requirement).or_default();
        group.items += 1;
        group.without_engine |= !has_engine;
    }

    /// Number of items.
    pub fn count(&self) -> u32 {
        self.groups.values().map(|group| group.items).sum()
    }

    /// Whether an engine with weight version `version` may run any of the items.
    pub fn accept(&self, version: u64) -> bool {
        self.groups.keys().any(|requirement| requirement.accepts(version))
    }

    /// The highest minimum version of items that no engine may run.
    fn awaited_version(&self) -> Option<u64> {
        let without_engine = self.groups.iter().filter(|(_, group)| group.without_engine);
        without_engine.map(|(requirement, _)| requirement.minimum).max()
    }
}

/// Why an engine should load the published version now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// Its version is too old for the next step.
    TooOld,
    /// No item waits for an engine.
    NoItemWaits,
    /// Items wait, but none that its version may run.
    CannotServeWaiting,
    /// It may run waiting items, but others wait for a newer version that no engine has.
    VersionAwaited,
}

impl LoadReason {
    /// The value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooOld => "too old for the next step",
            Self::NoItemWaits => "no item waits",
            Self::CannotServeWaiting => "no waiting item may run with its version",
            Self::VersionAwaited => "items wait for a version that no engine has",
        }
    }
}

/// Whether an engine with weight version `loaded_version` is too old to serve the next step once `published_version` is
/// published. A step accepts the version before the newest unless its job asks for more.
pub fn is_too_old(loaded_version: u64, published_version: u64) -> bool {
    loaded_version + 2 <= published_version
}

/// Why an engine with weight version `loaded_version` should load `published_version` now; `None` if it has it, or if it
/// stays available to waiting items that it may run.
pub fn load_reason(loaded_version: u64, published_version: u64, waiting: &WaitingItems) -> Option<LoadReason> {
    if loaded_version >= published_version {
        None
    } else if is_too_old(loaded_version, published_version) {
        Some(LoadReason::TooOld)
    } else if waiting.count() == 0 {
        Some(LoadReason::NoItemWaits)
    } else if !waiting.accept(loaded_version) {
        Some(LoadReason::CannotServeWaiting)
    } else if waiting.awaited_version().is_some_and(|awaited| loaded_version < awaited) {
        Some(LoadReason::VersionAwaited)
    } else {
        None
    }
}
