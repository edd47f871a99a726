//! Starts waiting items in order until engines or the plan's limit are exhausted.
//!
//! Engines are examined once for each start and once for each distinct constraint that no engine satisfies, so the cost
//! of a plan follows the number of waiting items plus starts times engines of one pool, not items times engines.

use crate::order::{Candidate, Rank, WaitingOrder};
use crate::shares::Shares;
use std::collections::BTreeMap;

/// Starts items on behalf of [`start_in_order`].
pub trait Starter {
    /// Why an item has to wait.
    type Reason: Copy;

    /// Starts the item on an engine that may run it; fails if there is none.
    fn start(&mut self, rank: Rank, candidate: &Candidate, shares: &mut Shares) -> Result<(), Self::Reason>;

    /// Records that the item has to wait; `None` if the plan's limit of starts is reached.
    fn keep_waiting(&mut self, candidate: &Candidate, reason: Option<Self::Reason>);
}

/// Starts at most `max_starts` items in order. Once an item of a constraint has found no engine, no further item of that
/// constraint is tried, as a plan only takes slots.
pub fn start_in_order<S: Starter>(
    mut order: WaitingOrder<'_>,
    shares: &mut Shares,
    max_starts: usize,
    starter: &mut S,
) -> usize {
    let mut failed: BTreeMap<usize, S::Reason> = BTreeMap::new();
    let mut started = 0;
    while started < max_starts {
        let Some((rank, candidate)) = order.next(shares) else {
            return started;
        };
        if let Some(reason) = failed.get(&candidate.constraint) {
            starter.keep_waiting(&candidate, Some(*reason));
            continue;
        }
        match starter.start(rank, &candidate, shares) {
            Ok(()) => started += 1,
            Err(reason) => {
                failed.insert(candidate.constraint, reason);
                starter.keep_waiting(&candidate, Some(reason));
            }
        }
    }
    for candidate in order.into_rest() {
        starter.keep_waiting(&candidate, failed.get(&candidate.constraint).copied());
    }
    started
}
