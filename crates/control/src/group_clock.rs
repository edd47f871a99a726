//! The time of day that most machines agree on.
//!
//! Every relay tells its time of day when it asks for news. The median of them, and of this machine's own, does not move
//! when the clocks of fewer than half of the machines are wrong.

use std::collections::BTreeMap;
use std::time::Duration;

/// A relay's word counts for so long: some questions may be missed.
const WORD_LASTS: Duration = Duration::from_secs(10);

/// How long relays are heard before the time is told: a relay asks at least twice in it, so the first words, which may be
/// those of wrong clocks, are not all.
const SETTLING: Duration = Duration::from_millis(900);

/// How long the median is kept: the clocks' order hardly changes meanwhile, and there may be as many words as relays.
const MEDIAN_KEPT: Duration = Duration::from_millis(50);

/// How far a machine's time of day was ahead of this process's steady clock, and when that was heard.
#[derive(Clone, Copy, Debug)]
struct Word {
    offset_ms: i64,
    heard_at: Duration,
}

/// What machines have told of their time of day.
#[derive(Debug, Default)]
pub struct GroupClock {
    words: BTreeMap<String, Word>,
    /// Since when words have been heard without a long pause.
    since: Duration,
    /// The median of the offsets, and when it was found.
    median: Option<(i64, Duration)>,
}

impl GroupClock {
    /// Takes the time of day that a machine told at `now`.
    pub fn hear(&mut self, machine: &str, unix_ms: u64, now: Duration) {
        let word = Word { offset_ms: offset(unix_ms, now), heard_at: now };
        match self.words.get_mut(machine) {
            Some(held) => *held = word,
            None => {
                self.words.retain(|_, held| now < held.heard_at + WORD_LASTS);
                if self.words.is_empty() {
                    self.since = now;
                }
                self.words.insert(machine.to_string(), word);
            }
        }
    }

    /// How many machines have been heard lately.
    pub fn machines(&self) -> usize {
        self.words.len()
    }

    /// The time of day at `now`, in Unix milliseconds; `own_unix_ms` is that of this machine. `None` until relays have been
    /// heard for a while.
    pub fn unix_ms(&mut self, own_unix_ms: u64, now: Duration) -> Option<u64> {
        let kept = self.median.filter(|(_, found_at)| now < *found_at + MEDIAN_KEPT).map(|(median, _)| median);
        let median = kept.or_else(|| self.find_median(own_unix_ms, now))?;
        self.median = self.median.filter(|_| kept.is_some()).or(Some((median, now)));
        u64::try_from(milliseconds(now).saturating_add(median)).ok()
    }

    /// How far the machine in the middle is ahead of this process's steady clock.
    fn find_median(&self, own_unix_ms: u64, now: Duration) -> Option<i64> {
        let fresh = self.words.values().filter(|word| now < word.heard_at + WORD_LASTS);
        let mut offsets: Vec<i64> = fresh.map(|word| word.offset_ms).collect();
        if offsets.is_empty() || now < self.since + SETTLING {
            return None;
        }
        offsets.push(offset(own_unix_ms, now));
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        Some(*median)
    }
}

fn milliseconds(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn offset(unix_ms: u64, now: Duration) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(milliseconds(now))
}
