//! Keeps the number of engines present when the engine pool was first observed: lost engines are replaced, none are
//! added.

use crate::policies::{EngineCountPolicy, EnginePoolView};

/// Chooses the committed number of engines or, before the first decision, the number present, within the scaling
/// limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepInitial;

impl EngineCountPolicy for KeepInitial {
    fn wanted(&self, view: &EnginePoolView) -> u32 {
        view.wanted.unwrap_or(view.available).clamp(view.limits.fewest, view.limits.most.max(view.limits.fewest))
    }
}
