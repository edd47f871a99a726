//! The scenarios in the repository's `traces` folder.

use crate::trace::Scenario;

const TRACES: &[&str] = &[include_str!("../../../traces/steady.toml")];

/// Every scenario.
pub fn scenarios() -> Vec<Scenario> {
    let parse = |text: &&str| Scenario::parse(text).expect("the tests parse every trace of the repository");
    TRACES.iter().map(parse).collect()
}

/// The scenario with this name.
pub fn scenario(name: &str) -> Option<Scenario> {
    scenarios().into_iter().find(|scenario| scenario.name == name)
}
