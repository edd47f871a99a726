//! Group time: the median wall clock of the relays' machines and this machine.
//!
//! Every poll of a relay carries its wall clock. The median stays correct while fewer than half of the clocks are
//! wrong.

use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetime of a clock sample; several times a relay's poll interval.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);

/// Minimum time of sampling before a median is returned. Every relay polls at least twice in it, so that the first few
/// samples alone do not decide.
const WARM_UP: Duration = Duration::from_millis(900);

/// How long a computed median is reused; computing it reads one sample per relay.
const MEDIAN_CACHE_TIME: Duration = Duration::from_millis(50);

/// Offset of a machine's wall clock from this process's monotonic clock, and when it was received.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset_ms: i64,
    received_at: Duration,
}

/// Clock samples of the machines.
#[derive(Debug, Default)]
pub struct GroupClock {
    samples: BTreeMap<String, ClockSample>,
    /// Start of the current period of sampling.
    sampling_since: Duration,
    /// The cached median offset in milliseconds, and when it was computed.
    median: Option<(i64, Duration)>,
}

impl GroupClock {
    /// Records a machine's wall clock, received at `now`.
    pub fn record_sample(&mut self, machine: &str, unix_ms: u64, now: Duration) {
        let sample = ClockSample { offset_ms: offset(unix_ms, now), received_at: now };
        match self.samples.get_mut(machine) {
            Some(previous) => *previous = sample,
            None => {
                self.samples.retain(|_, previous| now < previous.received_at + SAMPLE_LIFETIME);
                if self.samples.is_empty() {
                    self.sampling_since = now;
                }
                self.samples.insert(machine.to_string(), sample);
            }
        }
    }

    /// Number of machines with a recorded sample.
    pub fn machines(&self) -> usize {
        self.samples.len()
    }

    /// Group time at `now`, in Unix milliseconds; `own_unix_ms` is this machine's wall clock. `None` until relays have
    /// been sampled for a while.
    pub fn unix_ms(&mut self, own_unix_ms: u64, now: Duration) -> Option<u64> {
        let cached =
            self.median.filter(|(_, computed_at)| now < *computed_at + MEDIAN_CACHE_TIME).map(|(median, _)| median);
        let median = cached.or_else(|| self.compute_median(own_unix_ms, now))?;
        self.median = self.median.filter(|_| cached.is_some()).or(Some((median, now)));
        u64::try_from(milliseconds(now).saturating_add(median)).ok()
    }

    /// Median offset from this process's monotonic clock, in milliseconds.
    fn compute_median(&self, own_unix_ms: u64, now: Duration) -> Option<i64> {
        let fresh = self.samples.values().filter(|sample| now < sample.received_at + SAMPLE_LIFETIME);
        let mut offsets: Vec<i64> = fresh.map(|sample| sample.offset_ms).collect();
        if offsets.is_empty() || now < self.sampling_since + WARM_UP {
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
