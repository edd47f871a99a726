//! Smooth weighted round-robin across a route's targets.

use saddlerelay_types::routing::WeightedTarget;

/// Number of start positions: the length of a full cycle for weights in percent.
const CYCLE_LENGTH: f64 = 100.0;

/// Weighted round-robin state of one route's targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// State for `targets`, advanced by the fraction `offset` (0 to 1) of a cycle. With uniformly distributed offsets,
    /// the first picks are distributed by weight.
    pub fn new(targets: &[WeightedTarget], offset: f64) -> Self {
        let mut round_robin = Self { credits: vec![0.0; targets.len()] };
        if targets.len() > 1 {
            for _ in 0..(offset * CYCLE_LENGTH) as u32 {
                round_robin.next_index(targets);
            }
        }
        round_robin
    }

    /// Picks the target with the largest credit and returns its index. `targets` must be those passed to `new`.
    pub fn next_index(&mut self, targets: &[WeightedTarget]) -> usize {
        let total: f64 = targets.iter().map(|target| target.weight as f64).sum();
        for (credit, target) in self.credits.iter_mut().zip(targets) {
            *credit += target.weight as f64 / total;
        }
        let credits = &self.credits;
        let largest = (0..credits.len()).max_by(|left, right| credits[*left].total_cmp(&credits[*right])).unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(largest) {
            *credit -= 1.0;
        }
        largest
    }
}
