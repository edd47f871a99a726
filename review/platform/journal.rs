//! What was sent, answered and run, with the time since the start, in `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a run of an item at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// All events were sent.
    Finished,
    /// The caller closed the connection.
    Cut,
    /// The engine crashed.
    Crashed,
}

/// A run of an item at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub item: String,
    pub engine: usize,
    pub began_at: Duration,
    pub ended: Option<(Duration, RunEnd)>,
}

struct Inner {
    started_at: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

/// The record. Clones share it.
#[derive(Clone)]
pub struct Journal {
    inner: Arc<Inner>,
}

impl Journal {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("the record can be written");
        let inner = Inner { started_at: Instant::now(), file: Mutex::new(file), runs: Mutex::default() };
        Self { inner: Arc::new(inner) }
    }

    pub fn now(&self) -> Duration {
        self.inner.started_at.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.inner.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Records the start of a run and returns its number.
    pub fn begin_run(&self, item: &str, engine: usize, from_event: u64) -> usize {
        self.note(&format!("engine {engine} runs {item} from event {from_event}"));
        let mut runs = self.inner.runs.lock().unwrap();
        runs.push(Run { item: item.to_string(), engine, began_at: self.now(), ended: None });
        runs.len() - 1
    }

    pub fn end_run(&self, number: usize, end: RunEnd) {
        let now = self.now();
        let mut runs = self.inner.runs.lock().unwrap();
        let run = &mut runs[number];
        run.ended = Some((now, end));
        let text = format!("engine {} ends {}: {end:?}", run.engine, run.item);
        drop(runs);
        self.note(&text);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap().clone()
    }
}
