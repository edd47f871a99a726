//! What the engines' lines say of the runs of items.

use crate::record::Line;

/// A run of an item at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub item: String,
    pub engine: String,
    pub version: u64,
    pub began_at: u64,
    /// The last event made so far.
    pub events: u64,
    /// When and how it ended.
    pub ended: Option<(u64, String)>,
}

/// All runs. Those at an engine that was killed end with it.
pub fn runs(lines: &[Line]) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for line in lines {
        let open = |run: &&mut Run| run.ended.is_none() && run.engine == line.who;
        let item = line.field("item");
        match line.what.as_str() {
            "begin" => runs.push(Run {
                item: item.to_string(),
                engine: line.who.clone(),
                version: line.number("version"),
                began_at: line.at_ms,
                events: line.number("last"),
                ended: None,
            }),
            "event" => {
                if let Some(run) = runs.iter_mut().filter(open).find(|run| run.item == item) {
                    run.events = line.number("number");
                }
            }
            "end" => {
                if let Some(run) = runs.iter_mut().filter(open).find(|run| run.item == item) {
                    run.ended = Some((line.at_ms, line.field("how").to_string()));
                }
            }
            "killed" => {
                runs.iter_mut().filter(open).for_each(|run| run.ended = Some((line.at_ms, "killed".to_string())))
            }
            _ => {}
        }
    }
    runs
}

/// The version of weights that an engine has.
pub fn version_of(lines: &[Line], engine: &str) -> u64 {
    let loaded = lines.iter().rev().find(|line| line.who == engine && line.what == "loaded");
    loaded.map_or(1, |line| line.number("version"))
}
