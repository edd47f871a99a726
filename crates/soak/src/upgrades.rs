//! A newer build takes the place of an older one, process after process, while other faults go on. Some processes go back to
//! the older build first, as an operator does who is not sure.

use crate::builds::Build;
use crate::case::Case;
use crate::links::Party;
use crate::plan::{End, Fault, Planned, any_fault, milliseconds};
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Share of the length after which the first process is replaced, and until which the last one is, in percent.
const REPLACED_PERCENT: Range<u32> = 8..75;

/// One process in this many goes back once.
const GOES_BACK_EVERY: u32 = 4;

/// How long a process is down while its build is replaced.
const DOWN_MS: Range<u64> = 50..800;

/// Pause between other faults.
const PAUSE_MS: Range<u64> = 1_500..4_000;

fn replacement(random: &mut Rng, party: Party, build: Build) -> Fault {
    let end = if random.u8(..4) == 0 { End::Kill } else { End::Stop };
    Fault::ReplaceBuild { party, build, end, down: milliseconds(random, DOWN_MS) }
}

/// The processes in the order in which they are replaced; one that goes back stands there three times.
fn steps(random: &mut Rng, case: Case) -> Vec<(Party, Build)> {
    let mut parties = case.size.processes();
    random.shuffle(&mut parties);
    let mut steps = Vec::new();
    for party in parties {
        steps.push((party, Build::Newest));
        if random.u32(..GOES_BACK_EVERY) == 0 {
            steps.extend([(party, Build::Production), (party, Build::Newest)]);
        }
    }
    steps
}

/// Draws the faults of `length`.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let steps = steps(&mut random, case);
    let (from, until) = (length * REPLACED_PERCENT.start / 100, length * REPLACED_PERCENT.end / 100);
    let gap = (until - from) / steps.len() as u32;
    let mut planned = Vec::new();
    for (place, (party, build)) in steps.into_iter().enumerate() {
        let at = from + gap * place as u32;
        planned.push(Planned { at, fault: replacement(&mut random, party, build) });
    }
    let mut at = milliseconds(&mut random, PAUSE_MS);
    while at < until {
        planned.push(Planned { at, fault: any_fault(&mut random, case.size) });
        at += milliseconds(&mut random, PAUSE_MS);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}
