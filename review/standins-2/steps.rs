//! What the cases about steps of a trainer share: their figures, and the rule LOST for a step that ran out of time.

use crate::Verdict;
use crate::platform::trainer::{Item, Listed};
use crate::runs::Run;

pub const ENGINES: usize = 6;
pub const SLOTS: u32 = 8;
pub const EVENT_MS: u64 = 50;

/// The trainer gives a step up this long after it handed it in, as on the sheets.
pub const STEP_DEADLINE_MS: u64 = 12_000;
/// `contact_ms`: so long after the disruption no time counts as steady here.
pub const CONTACT_MS: u64 = 3_000;
/// An item that has been at no engine for so long is lost.
const AT_NO_ENGINE_MS: u64 = 5_000;
/// No version may have been named within this time before the end of the step.
const NAMED_MS: u64 = 6_000;

/// Groups that are whole: all their items are listed.
pub fn whole_groups(items: &[Item], listed: &[Listed]) -> usize {
    let is_listed = |item: &Item| listed.iter().any(|result| result.id == item.id);
    let mut groups: Vec<&str> = items.iter().map(|item| item.group.as_str()).collect();
    groups.dedup();
    groups.retain(|group| items.iter().filter(|item| item.group == *group).all(is_listed));
    groups.len()
}

/// When a step was handed in and ended, and what happened to it.
#[derive(Clone, Copy, Default)]
pub struct Times {
    pub named_at: u64,
    pub handed_in_at: u64,
    /// The end of the disruption; zero without one.
    pub disturbed_at: u64,
    pub ended_at: u64,
    /// Engines that were left at the end.
    pub engines: usize,
}

/// The rule LOST for the items of a step that ran out of time.
pub fn judge(items: &[Item], all: &[Run], listed: &[Listed], times: &Times) -> Verdict {
    let runs_of_step: Vec<&Run> = all.iter().filter(|run| items.iter().any(|item| item.id == run.item)).collect();
    let Times { named_at, handed_in_at, disturbed_at, ended_at, engines } = *times;
    let (running, slots) = (all.iter().filter(|run| run.ended.is_none()).count(), engines * SLOTS as usize);
    if running * 2 >= slots || ended_at < named_at + NAMED_MS {
        return Verdict::Held;
    }
    let mut lost = Vec::new();
    for item in items.iter().filter(|item| listed.iter().all(|result| result.id != item.id)) {
        let own: Vec<&Run> = runs_of_step.iter().copied().filter(|run| run.item == item.id).collect();
        let is_finished =
            |run: &&Run| run.ended.as_ref().is_some_and(|(_, how)| how == "whole" || how.starts_with("failed"));
        if own.iter().any(is_finished) || own.iter().any(|run| run.ended.is_none()) {
            continue;
        }
        let others_began = runs_of_step.iter().any(|run| run.item != item.id);
        let last_end = own.iter().filter_map(|run| run.ended.as_ref().map(|(at, _)| *at)).max().unwrap_or(handed_in_at);
        let steady_from = last_end.max(disturbed_at + CONTACT_MS);
        if others_began && ended_at >= steady_from + AT_NO_ENGINE_MS {
            lost.push((item.id.clone(), ended_at - last_end, ended_at - steady_from));
        }
    }
    match lost.first() {
        None => Verdict::Held,
        Some((id, rested, steady)) => Verdict::Broken(format!(
            "LOST: {} items, among them {id}, were at no engine for the last {rested} ms of their step, {steady} ms of them \
             steady; {running} runs under way in {slots} slots",
            lost.len()
        )),
    }
}
