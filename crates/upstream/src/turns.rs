//! Turns of a route's targets, so that each gets the share that its weight says.

use saddlerelay_types::routing::WeightedTarget;

/// Turns of which an offset chooses one to begin with: as many as weights in percent need to come round.
const ROUND: f64 = 100.0;

/// What each target of one route is owed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedTurns {
    debts: Vec<f64>,
}

impl WeightedTurns {
    /// Turns of `targets` as after so many of a round as `offset` (0 to 1) says. Whoever begins at an offset drawn evenly
    /// begins with each target as often as its weight says.
    pub fn new(targets: &[WeightedTarget], offset: f64) -> Self {
        let mut turns = Self { debts: vec![0.0; targets.len()] };
        if targets.len() > 1 {
            for _ in 0..(offset * ROUND) as u32 {
                turns.take(targets);
            }
        }
        turns
    }

    /// Gives the next turn to the target that is owed most, and returns its index. `targets` are those it was made for.
    pub fn take(&mut self, targets: &[WeightedTarget]) -> usize {
        let total: f64 = targets.iter().map(|target| target.weight as f64).sum();
        for (debt, target) in self.debts.iter_mut().zip(targets) {
            *debt += target.weight as f64 / total;
        }
        let debts = &self.debts;
        let largest = (0..debts.len()).max_by(|left, right| debts[*left].total_cmp(&debts[*right])).unwrap_or(0);
        if let Some(debt) = self.debts.get_mut(largest) {
            *debt -= 1.0;
        }
        largest
    }
}
