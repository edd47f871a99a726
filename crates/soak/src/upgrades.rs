//! Plans that upgrade processes one by one from an older build while other faults occur. Some processes are rolled
//! back once before the final upgrade.

use crate::builds::Build;
use crate::case::Case;
use crate::links::Party;
use crate::plan::{End, Fault, Planned, milliseconds, random_fault};
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Range of the soak's length in which processes are upgraded, in percent.
const UPGRADE_PERCENT: Range<u32> = 8..75;

/// One process out of this many is rolled back once.
const ROLLBACK_EVERY: u32 = 4;

/// Downtime of an upgrade, in milliseconds.
const DOWN_MS: Range<u64> = 50..800;

/// Pause between other faults, in milliseconds.
const PAUSE_MS: Range<u64> = 1_500..4_000;

fn replacement(random: &mut Rng, party: Party, build: Build) -> Fault {
    let end = if random.u8(..4) == 0 { End::Kill } else { End::Stop };
    Fault::ReplaceBuild { party, build, end, down: milliseconds(random, DOWN_MS) }
}

/// Upgrades in order; a process that is rolled back appears three times.
fn replacement_steps(random: &mut Rng, case: Case) -> Vec<(Party, Build)> {
    let mut parties = case.size.processes();
    random.shuffle(&mut parties);
    let mut replacement_steps = Vec::new();
    for party in parties {
        replacement_steps.push((party, Build::Newest));
        if random.u32(..ROLLBACK_EVERY) == 0 {
            replacement_steps.extend([(party, Build::Production), (party, Build::Newest)]);
        }
    }
    replacement_steps
}

/// Generates the faults of a case for a soak of this length.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let replacement_steps = replacement_steps(&mut random, case);
    let (from, until) = (length * UPGRADE_PERCENT.start / 100, length * UPGRADE_PERCENT.end / 100);
    let gap = (until - from) / replacement_steps.len() as u32;
    let mut planned = Vec::new();
    for (index, (party, build)) in replacement_steps.into_iter().enumerate() {
        let at = from + gap * index as u32;
        planned.push(Planned { at, fault: replacement(&mut random, party, build) });
    }
    let mut at = milliseconds(&mut random, PAUSE_MS);
    while at < until {
        planned.push(Planned { at, fault: random_fault(&mut random, case.size) });
        at += milliseconds(&mut random, PAUSE_MS);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}
