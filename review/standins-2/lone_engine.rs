//! Two models at one service, one of them with little work, so that a single engine is kept up to date with it. That
//! engine is lost for good, or taken away as planned, while it runs a step of the model.

use crate::Verdict;
use crate::deployment::Deployment;
use crate::platform::operator::{self, config};
use crate::platform::trainer::{self, Item, Listed};
use crate::record::{Line, Record, now_ms};
use crate::runs::runs;
use crate::steps::{EVENT_MS, SLOTS, STEP_DEADLINE_MS, Times, judge, whole_groups};

const ENGINES: usize = 9;
/// The model with most of the work, and the one with little.
const LARGE: Load = Load { model: "m0", groups: 100, events: 10 };
const SMALL: Load = Load { model: "m1", groups: 4, events: 40 };
const MODELS: [&str; 2] = [LARGE.model, SMALL.model];
const ITEMS_PER_GROUP: usize = 4;
/// Steps of both models before the one in question.
const STEPS_BEFORE: u64 = 5;
/// Where several models are trained, no item may have begun within this time before the end of the step.
const BEGUN_MS: u64 = 3_000;

/// What each step of a model has.
struct Load {
    model: &'static str,
    groups: usize,
    events: u64,
}

/// A step that was handed in.
struct Step {
    job: String,
    items: Vec<Item>,
    listed: Vec<Listed>,
    handed_in_at: u64,
}

impl Load {
    fn items(&self, step: u64) -> Vec<Item> {
        let item = |group: usize, index: usize| {
            let id = format!("{}-{step}-{group}-{index}", self.model);
            Item { group: format!("{}-{step}-{group}", self.model), body: format!("events={}", self.events), id }
        };
        (0..self.groups).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
    }

    /// Hands in step `step`, which allows version `step - 1` and newer.
    fn hand_in(&self, deployment: &Deployment, step: u64) -> Result<Step, String> {
        let job = format!("{}-step-{step}", self.model);
        let items = self.items(step);
        trainer::submit(deployment, &job, self.model, step - 1, self.groups, &items)?;
        Ok(Step { job, items, listed: Vec::new(), handed_in_at: now_ms() })
    }
}

impl Step {
    fn read(&mut self, deployment: &Deployment) -> Result<(), String> {
        let listed = trainer::read(deployment, &self.job, self.listed.len())?;
        self.listed.extend(listed);
        Ok(())
    }

    fn is_whole(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    fn has_time(&self) -> bool {
        now_ms() < self.handed_in_at + STEP_DEADLINE_MS
    }
}

/// What happens to the engine.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// It is lost for good.
    Crash,
    /// It is emptied and taken away.
    ScaleIn,
}

pub fn play(record: &Record, trouble: Trouble) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record.clone(), &MODELS);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(false, SLOTS, &MODELS))?;
    for step in 1..=STEPS_BEFORE {
        train(&deployment, &[LARGE, SMALL], step)?;
    }
    let step = STEPS_BEFORE + 1;
    operator::name_version(&deployment, SMALL.model, step)?;
    let named_at = now_ms();
    let mut small = SMALL.hand_in(&deployment, step)?;
    let mut lost_at = None;
    while small.has_time() && !small.is_whole() {
        small.read(&deployment)?;
        if trouble != Trouble::None && lost_at.is_none() {
            lost_at = lose_engine(&mut deployment, &small, trouble);
        }
    }
    let ended_at = now_ms();
    let lines = record.lines();
    trainer::end(&deployment, &small.job)?;
    if trouble != Trouble::None && lost_at.is_none() {
        return Err("the step was not run by one engine alone".to_string());
    }
    if small.listed.iter().any(|result| result.state != "completed") {
        return Ok(Verdict::Broken("an item was aborted before its time".to_string()));
    }
    let has_begun = |line: &Line| line.what == "begin" && line.at_ms + BEGUN_MS > ended_at;
    if whole_groups(&small.items, &small.listed) >= SMALL.groups || lines.iter().any(has_begun) {
        return Ok(Verdict::Held);
    }
    let left_at = lines.iter().find(|line| line.what == "left").map(|line| line.at_ms);
    let times = Times {
        named_at,
        handed_in_at: small.handed_in_at,
        disturbed_at: left_at.or(lost_at).unwrap_or(0),
        ended_at,
        engines: ENGINES - usize::from(lost_at.is_some()),
    };
    Ok(judge(&small.items, &runs(&lines), &small.listed, &times))
}

/// Three models, two of them with little work, and no disruption at all. Not a case, as it has no undisturbed control.
pub fn play_three_models(record: &Record) -> Result<Verdict, String> {
    const FEW_GROUPS: usize = 2;
    let loads = [LARGE, Load { groups: FEW_GROUPS, ..SMALL }, Load { model: "m2", groups: FEW_GROUPS, ..SMALL }];
    let models = loads.each_ref().map(|load| load.model);
    let mut deployment = Deployment::new(record.clone(), &models);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(false, SLOTS, &models))?;
    for step in 1..=STEPS_BEFORE + 1 {
        if let Err(reason) = train(&deployment, &loads, step) {
            return Ok(Verdict::Broken(reason));
        }
    }
    Ok(Verdict::Held)
}

/// The trainers name a version each, hand in the step for it and read it whole.
fn train(deployment: &Deployment, loads: &[Load], step: u64) -> Result<(), String> {
    if step > 1 {
        loads.iter().try_for_each(|load| operator::name_version(deployment, load.model, step))?;
    }
    let steps: Result<Vec<Step>, String> = loads.iter().map(|load| load.hand_in(deployment, step)).collect();
    let mut steps = steps?;
    while steps.iter().any(|step| !step.is_whole()) {
        if let Some(late) = steps.iter().find(|step| !step.has_time() && !step.is_whole()) {
            let begun = runs(&deployment.record.lines());
            let begun = begun.iter().filter(|run| late.items.iter().any(|item| item.id == run.item)).count();
            return Err(format!("{} was not whole in time: {begun} runs of its items", late.job));
        }
        for step in steps.iter_mut().filter(|step| !step.is_whole()) {
            step.read(deployment)?;
        }
    }
    steps.iter().try_for_each(|step| trainer::end(deployment, &step.job))
}

/// Takes the engine away whose slots are full of items of the step, if all items that have begun are there. It does not
/// come back.
fn lose_engine(deployment: &mut Deployment, step: &Step, trouble: Trouble) -> Option<u64> {
    let mut all = runs(&deployment.record.lines());
    all.retain(|run| step.items.iter().any(|item| item.id == run.item));
    let name = all.first()?.engine.clone();
    let running = all.iter().filter(|run| run.ended.is_none()).count();
    if all.iter().any(|run| run.engine != name) || running < SLOTS as usize {
        return None;
    }
    if trouble == Trouble::ScaleIn {
        deployment.processes.get_mut(&name)?.ask_to_leave();
        return Some(now_ms());
    }
    deployment.processes.remove(&name)?.kill();
    deployment.record.note(&name, "killed", &[]);
    Some(now_ms())
}
