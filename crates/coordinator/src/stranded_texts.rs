//! Discards partial texts that no engine can continue, so that their items start over.
//!
//! On a route with a single version per text, a partial text can only go on at an engine that has its version. Engines
//! only ever load newer versions, so once none has it any more the text is worthless, and its item would wait until its
//! deadline. An engine that has the version but can't take the item now is waited for, as long as that costs less than
//! generating the text again.

use crate::plan::{JobContext, Round};
use crate::text::ItemText;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::routing::Route;
use std::time::Duration;

/// Maximum time that an item waits for an engine with the version of its text while another engine is free to generate
/// it again. Bounds the wait for an engine that is ready but unreachable.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A partial text that must not mix weight versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialText {
    /// Number of versions that generated it.
    pub versions: usize,
    /// Time that generating it again would take.
    pub generation_time: Duration,
    /// How long its item has been waiting for an engine.
    pub waited: Duration,
}

/// The engines that serve the job of a partial text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engines {
    /// Ready engines that have the version of the text, or whose version is not known.
    pub may_continue: usize,
    /// Engines with a version that the job accepts.
    pub eligible: usize,
    /// Eligible engines with another version than the text's and a free slot.
    pub free_with_other_version: usize,
}

/// Why a partial text is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// Several versions generated it, before the route was configured to allow only one.
    SeveralVersions,
    /// No engine has its version.
    NoEngineWithVersion,
    /// Engines with its version don't take the item, and another one is free.
    WaitedTooLong,
}

impl DiscardReason {
    /// The value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SeveralVersions => "several versions generated the text",
            Self::NoEngineWithVersion => "no engine has the version of the text",
            Self::WaitedTooLong => "engines with the version of the text did not take the item in time",
        }
    }
}

/// Why a partial text should be discarded now; `None` if it is kept.
pub fn discard_reason(text: &PartialText, engines: &Engines) -> Option<DiscardReason> {
    if text.versions > 1 {
        Some(DiscardReason::SeveralVersions)
    } else if engines.may_continue == 0 {
        // Without an eligible engine the item can't start over either, and an engine may come back with the version.
        (engines.eligible > 0).then_some(DiscardReason::NoEngineWithVersion)
    } else {
        let waited_too_long = text.waited >= text.generation_time.min(MAX_WAIT);
        (waited_too_long && engines.free_with_other_version > 0).then_some(DiscardReason::WaitedTooLong)
    }
}

/// Discards the text of a waiting item if no engine will continue it.
pub(crate) fn discard_if_stranded<B: Backends>(context: &mut JobContext<'_, '_, B>, route: &Route, index: u32) {
    let Some(model) = context.job.submission.model.as_deref().filter(|_| route.batch.single_version) else {
        return;
    };
    let item = &context.run.items[index as usize];
    let mut text = item.text.borrow_mut();
    let Some(version) = text.versions().first().copied().filter(|_| !text.is_complete()) else {
        return;
    };
    let partial = PartialText {
        versions: text.versions().len(),
        generation_time: generation_time(context.round, &text),
        waited: item.wait.waited(context.now),
    };
    let engines = engines(context, route, model, version);
    let Some(reason) = discard_reason(&partial, &engines) else {
        return;
    };
    let submission = &context.job.submission;
    spdlog::warn!("partial text discarded, item starts over", kv: {
        item = submission.items[index as usize].id.0.as_str(),
        job = submission.id.0.as_str(),
        reason = reason.as_str(),
        text_version = version,
        events = text.events(),
        waited_ms = partial.waited.as_millis() as u64,
        may_continue = engines.may_continue,
        eligible = engines.eligible,
        free_with_other_version = engines.free_with_other_version
    });
    context.inner.metrics.texts_discarded.inc();
    *text = ItemText::default();
}

fn generation_time(round: &Round, text: &ItemText) -> Duration {
    Duration::from_secs_f64(round.paces.median() * f64::from(text.events()))
}

fn engines<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route, model: &str, text_version: u64) -> Engines {
    let round = context.round;
    let ready = round.engines.iter().chain(&round.backing_off).filter(|engine| route.serves(&engine.service));
    let may_continue = ready.filter(|engine| {
        let is_loading = context.inner.fleet.is_loading(&engine.target.instance, model);
        !is_loading && engine.weights.get(model).is_none_or(|version| *version == text_version)
    });
    let has_other_version = context.eligible.iter().filter(|eligible| eligible.version != Some(text_version));
    Engines {
        may_continue: may_continue.count(),
        eligible: context.eligible.len(),
        free_with_other_version: has_other_version.filter(|eligible| eligible.engine.has_free_slot()).count(),
    }
}
