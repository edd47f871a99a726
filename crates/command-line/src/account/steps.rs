//! Collects the account from log lines.

use saddlerelay_telemetry::line::LogLine;
use std::collections::BTreeMap;

/// A span of time, in seconds since the first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// When it began.
    pub from: f64,
    /// When it ended.
    pub to: f64,
}

/// What became of one step: a batch job of a trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct StepAccount {
    /// The job.
    pub job: String,
    /// The model that it trains.
    pub model: String,
    /// Its number.
    pub step: u64,
    /// Items handed in.
    pub items: u64,
    /// When it was first taken up, and when its end was seen; until the last line, if it was not.
    pub open: Span,
    /// How often it was taken up: once by each leader.
    pub leaders: u32,
    /// When its first item was sent.
    pub first_start: Option<f64>,
    /// When its last item was sent.
    pub last_start: Option<f64>,
    /// When its last text became whole.
    pub last_whole: Option<f64>,
    /// Texts that became whole.
    pub whole: u64,
    /// Attempts that ended otherwise.
    pub failed_attempts: u64,
    /// Items that were moved.
    pub moves: u64,
    /// Versions by which its whole texts were behind the newest that was ordered, summed.
    pub versions_behind: u64,
}

/// Attempts or loads under way, over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Use {
    spans: Vec<Span>,
}

impl Use {
    /// The mean number of spans under way in each whole second from 0 to `seconds`.
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

/// The account of a deployment's logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The steps, by model and number.
    pub steps: Vec<StepAccount>,
    /// Items at engines.
    pub attempts: Use,
    /// Changes of weights.
    pub loads: Use,
    /// Length in seconds.
    pub length: f64,
}

/// What is collected while lines are read.
#[derive(Default)]
struct Collector {
    began_at: f64,
    steps: BTreeMap<String, StepAccount>,
    /// The newest version that was ordered, by model.
    newest: BTreeMap<String, u64>,
    attempts: Use,
    loads: Use,
}

fn number(line: &LogLine, field: &str) -> u64 {
    // A line of another version may lack the field: it then counts for nothing.
    line.field(field).and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// The oldest of the versions in a list such as `{4, 5}`.
fn oldest_version(list: &str) -> Option<u64> {
    list.trim_matches(['{', '}']).split(',').find_map(|version| version.trim().parse().ok())
}

impl Collector {
    /// When the line was written, and the span that it tells the length of.
    fn span(&self, line: &LogLine) -> Span {
        let to = line.time - self.began_at;
        Span { from: to - number(line, "lasted_ms") as f64 / 1_000.0, to }
    }

    fn take(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "job taken up" => self.take_up(line),
            "job dropped" => self.drop_job(line),
            "item attempt ended" => self.end_attempt(line),
            "item moved" => {
                if let Some(step) = line.field("job").and_then(|job| self.steps.get_mut(job)) {
                    step.moves += 1;
                }
            }
            "weights ordered" => self.end_load(line),
            _ => {}
        }
    }

    fn take_up(&mut self, line: &LogLine) {
        let (Some(job), Some(model)) = (line.field("job"), line.field("model")) else {
            return;
        };
        let at = line.time - self.began_at;
        let new = || StepAccount {
            job: job.to_string(),
            model: model.to_string(),
            step: number(line, "step"),
            items: number(line, "items"),
            open: Span { from: at, to: f64::INFINITY },
            leaders: 0,
            first_start: None,
            last_start: None,
            last_whole: None,
            whole: 0,
            failed_attempts: 0,
            moves: 0,
            versions_behind: 0,
        };
        self.steps.entry(job.to_string()).or_insert_with(new).leaders += 1;
    }

    fn drop_job(&mut self, line: &LogLine) {
        let at = line.time - self.began_at;
        if let Some(step) = line.field("job").and_then(|job| self.steps.get_mut(job)) {
            step.open.to = at;
        }
    }

    fn end_attempt(&mut self, line: &LogLine) {
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
        step.whole += 1;
        step.last_whole = Some(span.to);
        let newest = self.newest.get(&step.model).copied();
        let oldest = line.field("versions").and_then(oldest_version);
        if let (Some(newest), Some(oldest)) = (newest, oldest) {
            step.versions_behind += newest.saturating_sub(oldest);
        }
    }

    fn end_load(&mut self, line: &LogLine) {
        let span = self.span(line);
        self.loads.spans.push(span);
        if let Some(model) = line.field("model") {
            let newest = self.newest.entry(model.to_string()).or_default();
            *newest = (*newest).max(number(line, "version"));
        }
    }
}

impl Account {
    /// The account of lines in order of time.
    pub fn of(lines: &[LogLine]) -> Self {
        let first_job = lines.iter().find(|line| line.event == "job taken up");
        let began_at = first_job.map_or(0.0, |line| line.time);
        let mut collector = Collector { began_at, ..Collector::default() };
        lines.iter().for_each(|line| collector.take(line));
        let length = lines.last().map_or(0.0, |line| line.time - began_at);
        let mut steps: Vec<StepAccount> = collector.steps.into_values().collect();
        for step in &mut steps {
            step.open.to = step.open.to.min(length);
        }
        steps.sort_by(|left, right| (&left.model, left.step).cmp(&(&right.model, right.step)));
        Self { steps, attempts: collector.attempts, loads: collector.loads, length }
    }

    /// The models that are trained.
    pub fn models(&self) -> Vec<&str> {
        let mut models: Vec<&str> = self.steps.iter().map(|step| step.model.as_str()).collect();
        models.dedup();
        models
    }

    /// The account as a table: a line for each step, one for each trainer, and the use of engines second by second.
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
        let whole: u64 = steps.iter().map(|step| step.whole).sum();
        let behind: u64 = steps.iter().map(|step| step.versions_behind).sum();
        let staleness = behind as f64 / whole.max(1) as f64;
        format!("{model:12} {:5} {:9.1} {staleness:16.2}", steps.len(), waited(&steps))
    }
}

/// How long a trainer waited for samples: the time in which one of its steps or several were open, in seconds.
fn waited(steps: &[&StepAccount]) -> f64 {
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
        since(step.last_whole),
        step.open.to - step.open.from,
        step.whole,
        step.failed_attempts,
        step.moves,
        step.versions_behind as f64 / step.whole.max(1) as f64
    )
}
