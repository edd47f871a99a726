//! Builds the account from log lines.

use saddlerelay_telemetry::line::LogLine;
use std::collections::BTreeMap;

/// A time span, in seconds since the first job started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Start.
    pub from: f64,
    /// End.
    pub to: f64,
}

/// Statistics of a training step, which is a batch job of a trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct StepAccount {
    /// Identifier of the job.
    pub job: String,
    /// The trained model.
    pub model: String,
    /// Step number.
    pub step: u64,
    /// Number of submitted items.
    pub items: u64,
    /// From the time at which a leader first started the job until a leader dropped it, or else until the last log line.
    pub open: Span,
    /// Number of times a leader started the job; each leader does so once.
    pub leaders: u32,
    /// When the first attempt started; `None` if there was none.
    pub first_start: Option<f64>,
    /// When the last attempt started; `None` if there was none.
    pub last_start: Option<f64>,
    /// When the last text was completed; `None` if there was none.
    pub last_completed: Option<f64>,
    /// Number of completed texts.
    pub completed: u64,
    /// Number of attempts that did not complete a text.
    pub failed_attempts: u64,
    /// Number of items moved to another engine.
    pub moves: u64,
    /// Sum, over completed texts, of the difference between the newest ordered version and the oldest one used.
    pub versions_behind: u64,
}

/// Attempts or weight loads in progress over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    spans: Vec<Span>,
}

impl Usage {
    /// The mean number of attempts or loads in progress in each of the first `seconds` seconds.
    pub fn by_second(&self, seconds: usize) -> Vec<f64> {
        let mut sums = vec![0.0; seconds];
        for span in &self.spans {
            for (second, sum) in sums.iter_mut().enumerate() {
                let (from, to) = (second as f64, second as f64 + 1.0);
                *sum += (span.to.min(to) - span.from.max(from)).max(0.0);
            }
        }
        sums
    }
}

/// Statistics from a deployment's logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The steps, sorted by model and number.
    pub steps: Vec<StepAccount>,
    /// Attempts to run items at engines.
    pub attempts: Usage,
    /// Weight loads.
    pub loads: Usage,
    /// Seconds from the start of the first job to the last line.
    pub length: f64,
}

/// Accumulated state while lines are read.
#[derive(Default)]
struct Collector {
    /// Start of the first job, in seconds since the Unix epoch.
    first_job_at: f64,
    steps: BTreeMap<String, StepAccount>,
    /// The newest ordered version of each model.
    newest: BTreeMap<String, u64>,
    attempts: Usage,
    loads: Usage,
}

fn number(line: &LogLine, field: &str) -> u64 {
    // Lines of other builds may lack the field.
    line.field(field).and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// The first, and thus oldest, version of a list such as `{4, 5}`.
fn oldest_version(list: &str) -> Option<u64> {
    list.trim_matches(['{', '}']).split(',').find_map(|version| version.trim().parse().ok())
}

impl Collector {
    /// The span that ends at the line's time and has the length of its field `lasted_ms`.
    fn span(&self, line: &LogLine) -> Span {
        let to = line.time - self.first_job_at;
        Span { from: to - number(line, "lasted_ms") as f64 / 1_000.0, to }
    }

    fn add_line(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "job taken up" => self.start_job(line),
            "job dropped" => self.drop_job(line),
            "item attempt ended" => self.add_attempt(line),
            "item moved" => {
                if let Some(step) = line.field("job").and_then(|job| self.steps.get_mut(job)) {
                    step.moves += 1;
                }
            }
            "weights ordered" => self.add_load(line),
            _ => {}
        }
    }

    fn start_job(&mut self, line: &LogLine) {
        let (Some(job), Some(model)) = (line.field("job"), line.field("model")) else {
            return;
        };
        let at = line.time - self.first_job_at;
        let new = || StepAccount {
            job: job.to_string(),
            model: model.to_string(),
            step: number(line, "step"),
            items: number(line, "items"),
            open: Span { from: at, to: f64::INFINITY },
            leaders: 0,
            first_start: None,
            last_start: None,
            last_completed: None,
            completed: 0,
            failed_attempts: 0,
            moves: 0,
            versions_behind: 0,
        };
        self.steps.entry(job.to_string()).or_insert_with(new).leaders += 1;
    }

    fn drop_job(&mut self, line: &LogLine) {
        let at = line.time - self.first_job_at;
        if let Some(step) = line.field("job").and_then(|job| self.steps.get_mut(job)) {
            step.open.to = at;
        }
    }

    fn add_attempt(&mut self, line: &LogLine) {
        let span = self.span(line);
        self.attempts.spans.push(span);
        let Some(step) = line.field("job").and_then(|job| self.steps.get_mut(job)) else {
            return;
        };
        step.first_start = Some(step.first_start.map_or(span.from, |first| first.min(span.from)));
        step.last_start = Some(step.last_start.map_or(span.from, |last| last.max(span.from)));
        if line.field("outcome") != Some("Whole") {
            step.failed_attempts += 1;
            return;
        }
        step.completed += 1;
        step.last_completed = Some(span.to);
        let newest = self.newest.get(&step.model).copied();
        let oldest = line.field("versions").and_then(oldest_version);
        if let (Some(newest), Some(oldest)) = (newest, oldest) {
            step.versions_behind += newest.saturating_sub(oldest);
        }
    }

    fn add_load(&mut self, line: &LogLine) {
        let span = self.span(line);
        self.loads.spans.push(span);
        if let Some(model) = line.field("model") {
            let newest = self.newest.entry(model.to_string()).or_default();
            *newest = (*newest).max(number(line, "version"));
        }
    }
}

impl Account {
    /// Builds the account of `lines`, which must be sorted by time.
    pub fn of(lines: &[LogLine]) -> Self {
        let first_job = lines.iter().find(|line| line.event == "job taken up");
        let first_job_at = first_job.map_or(0.0, |line| line.time);
        let mut collector = Collector { first_job_at, ..Collector::default() };
        lines.iter().for_each(|line| collector.add_line(line));
        let length = lines.last().map_or(0.0, |line| line.time - first_job_at);
        let mut steps: Vec<StepAccount> = collector.steps.into_values().collect();
        for step in &mut steps {
            step.open.to = step.open.to.min(length);
        }
        steps.sort_by(|left, right| (&left.model, left.step).cmp(&(&right.model, right.step)));
        Self { steps, attempts: collector.attempts, loads: collector.loads, length }
    }

    /// The trained models, each once.
    pub fn models(&self) -> Vec<&str> {
        let mut models: Vec<&str> = self.steps.iter().map(|step| step.model.as_str()).collect();
        models.dedup();
        models
    }

    /// Formats the account as tables: a row for each step, for each model, and for each second of engine use.
    pub fn table(&self) -> Vec<String> {
        let head = "model        step items leaders  asked  first   last  whole  ended  done  failed moved behind";
        let mut table = vec![head.to_string()];
        table.extend(self.steps.iter().map(step_line));
        table.push(String::new());
        table.push("model        steps  waited s  versions behind".to_string());
        table.extend(self.models().into_iter().map(|model| self.trainer_line(model)));
        table.push(String::new());
        table.push("second  items at engines  loads".to_string());
        let seconds = self.length.ceil().max(0.0) as usize;
        let (attempts, loads) = (self.attempts.by_second(seconds), self.loads.by_second(seconds));
        let lines = attempts.iter().zip(&loads).enumerate();
        table.extend(lines.map(|(second, (attempts, loads))| format!("{second:6} {attempts:17.1} {loads:6.1}")));
        table
    }

    fn trainer_line(&self, model: &str) -> String {
        let steps: Vec<&StepAccount> = self.steps.iter().filter(|step| step.model == model).collect();
        let completed: u64 = steps.iter().map(|step| step.completed).sum();
        let behind: u64 = steps.iter().map(|step| step.versions_behind).sum();
        let staleness = behind as f64 / completed.max(1) as f64;
        format!("{model:12} {:5} {:9.1} {staleness:16.2}", steps.len(), waiting_seconds(&steps))
    }
}

/// The time, in seconds, during which at least one step was open and the trainer waited for samples.
fn waiting_seconds(steps: &[&StepAccount]) -> f64 {
    let mut spans: Vec<Span> = steps.iter().map(|step| step.open).collect();
    spans.sort_by(|left, right| left.from.total_cmp(&right.from));
    let mut covered_to = f64::NEG_INFINITY;
    let mut sum = 0.0;
    for span in spans {
        sum += (span.to - span.from.max(covered_to)).max(0.0);
        covered_to = covered_to.max(span.to);
    }
    sum
}

fn step_line(step: &StepAccount) -> String {
    let since = |at: Option<f64>| at.map_or("-".to_string(), |at| format!("{:.2}", at - step.open.from));
    format!(
        "{:12} {:4} {:5} {:7} {:6.2} {:>6} {:>6} {:>6} {:6.2} {:5} {:7} {:5} {:6.2}",
        step.model,
        step.step,
        step.items,
        step.leaders,
        step.open.from,
        since(step.first_start),
        since(step.last_start),
        since(step.last_completed),
        step.open.to - step.open.from,
        step.completed,
        step.failed_attempts,
        step.moves,
        step.versions_behind as f64 / step.completed.max(1) as f64
    )
}
