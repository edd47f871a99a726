//! Driver of the review's script cases: starts the product's processes with the commands of the deploy file, stand-ins
//! for model engines, an operator and a trainer, brings the disruption about, and judges the rule from what the
//! stand-ins saw. Standard library only. As the stand-ins speak the protocol of the users' platform, they lie in a folder
//! of that name, as its names do elsewhere in this repository (see the check in `platform/tests/formats.rs`).

mod deployment;
mod engine;
mod http;
mod journal;
mod scenarios;

use std::process::ExitCode;

/// The case held, was broken, or couldn't run.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary, program] = arguments.as_slice() else {
        eprintln!("usage: review-driver CASE RECORD-FOLDER TEMPORARY-FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let journal = journal::Journal::create(folder);
    journal.note(&format!("case {case}, trouble {trouble}"));
    let verdict = match deployment::Deployment::start(program, temporary, &journal) {
        Ok(mut deployment) => {
            let verdict = scenarios::run(case, trouble, &mut deployment, &journal);
            deployment.end();
            verdict
        }
        Err(reason) => Verdict::NotRun(reason),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_string()),
        Verdict::Broken(reason) => (1, format!("broken: {reason}")),
        Verdict::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    journal.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
