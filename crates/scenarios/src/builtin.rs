//! Built-in scenarios, from the repository's `traces` folder.

use crate::trace::Scenario;

const TRACES: &[&str] = &[
    include_str!("../../../traces/steady.toml"),
    include_str!("../../../traces/steady-fund.toml"),
    include_str!("../../../traces/leader-crash.toml"),
    include_str!("../../../traces/leader-freeze.toml"),
    include_str!("../../../traces/leader-cut.toml"),
    include_str!("../../../traces/lagging-candidates.toml"),
    include_str!("../../../traces/zone-cut-one-way.toml"),
    include_str!("../../../traces/zone-deaf.toml"),
    include_str!("../../../traces/zones-cut-in-turn.toml"),
    include_str!("../../../traces/control-disk-lost.toml"),
    include_str!("../../../traces/quorum-restart.toml"),
    include_str!("../../../traces/full-disk.toml"),
    include_str!("../../../traces/relay-crash.toml"),
    include_str!("../../../traces/relay-freeze.toml"),
    include_str!("../../../traces/relay-behind.toml"),
    include_str!("../../../traces/engine-crash.toml"),
    include_str!("../../../traces/engine-faults.toml"),
    include_str!("../../../traces/partial-swap.toml"),
    include_str!("../../../traces/planned-stop-relays.toml"),
    include_str!("../../../traces/planned-stop-control.toml"),
    include_str!("../../../traces/engine-leaves.toml"),
    include_str!("../../../traces/engine-leaves-unseen.toml"),
    include_str!("../../../traces/no-engine.toml"),
    include_str!("../../../traces/staleness-tightened.toml"),
    include_str!("../../../traces/trainer-crash.toml"),
    include_str!("../../../traces/trainer-freeze.toml"),
    include_str!("../../../traces/double-fault.toml"),
    include_str!("../../../traces/random.toml"),
    include_str!("../../../traces/random-fund.toml"),
];

/// All built-in scenarios.
pub fn scenarios() -> Vec<Scenario> {
    let parse = |text: &&str| Scenario::parse(text).expect("the built-in trace is valid");
    TRACES.iter().map(parse).collect()
}

/// Returns the built-in scenario with this name.
pub fn scenario(name: &str) -> Option<Scenario> {
    scenarios().into_iter().find(|scenario| scenario.name == name)
}
