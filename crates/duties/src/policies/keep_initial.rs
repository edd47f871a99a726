//! Keeps the number of engines that the deployment began with: what is lost is replaced, nothing is added.

use crate::policies::{EngineCountPolicy, PlaceView};

/// The policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepInitial;

impl EngineCountPolicy for KeepInitial {
    fn wanted(&self, view: &PlaceView) -> u32 {
        view.wanted.unwrap_or(view.present).clamp(view.limits.fewest, view.limits.most.max(view.limits.fewest))
    }
}
