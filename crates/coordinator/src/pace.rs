//! How fast engines make events, from the pauses between the events of their streams.

use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest pause in an engine's pace. An engine makes some hundred events a second.
const NEWEST_WEIGHT: f64 = 0.03;

/// An engine whose newest event is no older than this is believed to be as fast as its events say.
const FRESH: Duration = Duration::from_secs(1);

/// After that, it is believed like the others by half in this time, so that a slow one is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Seconds an event, before any engine has made one. Only compared with itself then.
const FIRST_GUESS: f64 = 0.045;

/// What has been seen of one engine's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeenPace {
    /// Smoothed seconds an event; `None` before the first pause.
    smoothed: Option<f64>,
    seen_at: Duration,
}

impl SeenPace {
    /// An event came after `pause`; `typical` is the pace of the middle engine, if it is known.
    pub fn observe(&mut self, pause: Duration, typical: Option<f64>, now: Duration) {
        let before = match typical {
            Some(typical) => self.expected(typical, now),
            None => self.smoothed.unwrap_or(pause.as_secs_f64()),
        };
        self.smoothed = Some(before + (pause.as_secs_f64() - before) * NEWEST_WEIGHT);
        self.seen_at = now;
    }

    fn expected(&self, typical: f64, now: Duration) -> f64 {
        let Some(smoothed) = self.smoothed else {
            return typical;
        };
        let age = now.saturating_sub(self.seen_at + FRESH).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        typical + (smoothed - typical) * kept
    }
}

/// The paces of all engines at one moment.
pub struct Paces {
    typical: f64,
    of_engines: BTreeMap<InstanceId, f64>,
}

impl Paces {
    /// From what has been seen until `now`.
    pub fn new<'a>(seen: impl Iterator<Item = (&'a InstanceId, &'a SeenPace)> + Clone, now: Duration) -> Self {
        let mut smoothed: Vec<f64> = seen.clone().filter_map(|(_, pace)| pace.smoothed).collect();
        smoothed.sort_by(f64::total_cmp);
        let typical = smoothed.get(smoothed.len() / 2).copied().unwrap_or(FIRST_GUESS);
        let of_engines = seen.map(|(instance, pace)| (instance.clone(), pace.expected(typical, now))).collect();
        Self { typical, of_engines }
    }

    /// Seconds an event at an engine; that of the middle one for an engine that has made none.
    pub fn of(&self, instance: &InstanceId) -> f64 {
        self.of_engines.get(instance).copied().unwrap_or(self.typical)
    }

    /// Seconds an event at the middle engine.
    pub fn typical(&self) -> f64 {
        self.typical
    }
}
