//! Stand-ins and cases of the second review. `main.rs CASE FOLDER` plays a case and writes `record.txt` in its folder.

mod deployment;
mod failing_item;
mod http;
mod idle_engines;
mod json;
mod lone_engine;
mod lost_item;
mod platform;
mod record;
mod runs;
mod steps;

use lost_item::Trouble;
use platform::engine;
use record::Record;
use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A run that takes longer ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// How a run ended.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["engine", id, listen, service, zone, control, models, slots, event_ms, beat_ms] => {
            engine::run(engine::Options {
                id: id.to_string(),
                listen: listen.parse().expect("an address"),
                service: service.to_string(),
                zone: zone.to_string(),
                control: control.split(',').map(|address| address.parse().expect("an address")).collect(),
                models: models.split(',').map(str::to_string).collect(),
                slots: slots.parse().expect("a number"),
                event_ms: event_ms.parse().expect("a number"),
                beat_ms: beat_ms.parse().expect("a number"),
            })
        }
        [case, folder] => exit(play(case, Path::new(folder))),
        _ => exit(2),
    }
}

fn play(case: &str, folder: &Path) -> i32 {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the run took too long");
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let record = Record::default();
    let result = match case {
        "lost-item" => lost_item::play(
            &record,
            match trouble.as_str() {
                "0" => Trouble::None,
                "engine" => Trouble::Engine,
                _ => Trouble::Stop,
            },
        ),
        "failing-item" => failing_item::play(&record, trouble != "0"),
        "lone-engine" => lone_engine::play(
            &record,
            match trouble.as_str() {
                "0" => lone_engine::Trouble::None,
                "leave" => lone_engine::Trouble::ScaleIn,
                _ => lone_engine::Trouble::Crash,
            },
        ),
        "three-models" => lone_engine::play_three_models(&record),
        "idle-engines" => idle_engines::play(&record, trouble != "0"),
        _ => Err("no such case".to_string()),
    };
    let (code, verdict) = match result {
        Ok(Verdict::Held) => (0, "held".to_string()),
        Ok(Verdict::Broken(how)) => (1, format!("BROKEN: {how}")),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.write(&folder.join("record.txt"), &verdict);
    println!("{verdict}");
    code
}
