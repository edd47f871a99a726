//! Decisions of a state transfer: which source to ask for a segment, how long to wait for it, and how many segments to
//! fetch at once. Pure functions over what the sources have shown.
//!
//! Designed for segments of up to 1 MiB, up to a few dozen sources, and links from a few kilobytes per second on.

use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Segments fetched at once over good links.
const MAX_CONCURRENT_FETCHES: usize = 3;

/// Rate in bytes per second that is assumed of a link that has shown nothing yet, and the least that a prompt answer
/// counts for: a small segment that is answered within a round trip does not show the bandwidth.
const ASSUMED_RATE: u64 = 3 * 1024 * 1024;

/// Rate in bytes per second from which a link counts as good. Three segments of 1 MiB then take about 4 s together.
const GOOD_RATE: u64 = 768 * 1024;

/// Rate in bytes per second that is assumed of a link that has shown packet loss and no rate yet. A stream that loses a
/// fifth rarely carries more.
const ASSUMED_BAD_RATE: u64 = 96 * 1024;

/// Lowest rate in bytes per second that the time limit of a bad link without a known rate allows for. Requests over
/// slower links still succeed, as the limit grows with each one that timed out.
const LOWEST_RATE: u64 = 8 * 1024;

/// An answer within this time is prompt, whatever its size. TCP retransmits after 200 ms at the earliest.
const PROMPT_ANSWER: Duration = Duration::from_millis(150);

/// The time limit as a multiple of the expected time: the rate of a link that loses a fifth varies by about as much.
const RATE_MARGIN: u32 = 3;

/// Time for retransmissions and the source's disk, included in every limit.
const ALLOWANCE: Duration = Duration::from_secs(1);

/// Additional allowance on a bad link: five consecutive retransmissions of one packet (200 ms, doubled each time).
const BAD_LINK_ALLOWANCE: Duration = Duration::from_millis(6_200);

/// Time without a reply to any heartbeat after which a source is taken to be lost. One in five hundred packets is lost
/// four times in a row, which takes 3 s, on a link that loses a fifth; heartbeats also open new connections.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Factor of the time limit for each request in a row that timed out. With 4, the limits before the sufficient one add
/// up to a third of it.
const TIMEOUT_FACTOR: u32 = 4;

/// Limit on the growth of time limits.
const MAX_TIMEOUTS: u32 = 4;

/// Factor of the expected time for each failure in a row of a source.
const FAILURE_FACTOR: u64 = 4;

/// Limit on the failures that count beyond those of the source with the fewest. All are asked in turn if all fail.
const MAX_EXTRA_FAILURES: u32 = 8;

/// Factor of the expected time for the leader, which also has the log to send.
const LEADER_FACTOR: u64 = 4;

/// Why a request for a segment failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source refused, was not reachable, or sent wrong bytes.
    Refused,
    /// There was no answer within the time limit.
    TimedOut,
}

/// What a source has shown.
#[derive(Clone, Copy, Debug, Default)]
struct SourceRecord {
    /// Bytes per second of its answers.
    rate: Option<u64>,
    /// Round trip of the newest heartbeat; `None` if it was not answered promptly.
    round_trip: Option<Duration>,
    /// Whether it was asked for a heartbeat or a segment before.
    is_known: bool,
    /// Failures since its last answer.
    failures: u32,
}

/// A voter that may be asked for a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Identifier of the voter.
    pub id: ReplicaId,
    /// Whether it leads.
    pub is_leader: bool,
    /// Number of requests that it has not answered yet.
    pub in_flight: usize,
}

/// A request in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchProgress {
    /// Size of the segment.
    pub bytes: u64,
    /// Time since the request was sent.
    pub elapsed: Duration,
    /// Time since the source last replied to a heartbeat, or since the request was sent.
    pub silent_for: Duration,
    /// Whether a reply to a heartbeat was late or missing since the request was sent.
    pub has_late_replies: bool,
}

/// What the sources of state transfers have shown. Kept over changes of leader and term.
#[derive(Clone, Debug, Default)]
pub struct TransferPolicy {
    sources: BTreeMap<ReplicaId, SourceRecord>,
    /// Requests to any source that timed out since the last answer. Counted over all sources, as the receiver's own
    /// link may be the cause.
    timeouts: u32,
}

impl TransferPolicy {
    /// Records an answer to a request for a segment of `bytes`.
    pub fn record_answer(&mut self, source: ReplicaId, bytes: u64, elapsed: Duration) {
        let observed = bytes.saturating_mul(1_000_000) / (elapsed.as_micros() as u64).max(1);
        let record = self.sources.entry(source).or_default();
        record.rate = Some(if elapsed <= PROMPT_ANSWER {
            observed.max(ASSUMED_RATE)
        } else {
            record.rate.map_or(observed, |rate| rate / 2 + observed / 2).max(1)
        });
        record.failures = 0;
        record.is_known = true;
        self.timeouts = 0;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, source: ReplicaId, failure: FetchFailure) {
        let record = self.sources.entry(source).or_default();
        record.failures = record.failures.saturating_add(1);
        record.is_known = true;
        if failure == FetchFailure::TimedOut {
            self.timeouts = (self.timeouts + 1).min(MAX_TIMEOUTS);
        }
    }

    /// Records the round trip of a heartbeat, or that it was not answered promptly.
    pub fn record_heartbeat(&mut self, source: ReplicaId, round_trip: Option<Duration>) {
        let record = self.sources.entry(source).or_default();
        record.round_trip = round_trip;
        record.is_known = true;
    }

    /// Whether nothing is known of a source.
    pub fn is_unknown(&self, source: ReplicaId) -> bool {
        !self.sources.get(&source).is_some_and(|record| record.is_known)
    }

    /// Forgets all replicas but `sources`.
    pub fn retain(&mut self, sources: &[ReplicaId]) {
        self.sources.retain(|id, _| sources.contains(id));
    }

    /// The source to ask next for a segment of `bytes`; `None` if it is better to wait for an answer first. The source
    /// with the least expected time comes first. One that has not answered yet is assumed to be fast, so that each
    /// source is tried before a slow one is used for long.
    pub fn next_source(&self, bytes: u64, sources: &[Source]) -> Option<ReplicaId> {
        let failures = |source: &Source| self.sources.get(&source.id).map_or(0, |record| record.failures);
        let fewest_failures = sources.iter().map(failures).min()?;
        let factor = |source: &Source| {
            let extra = failures(source).saturating_sub(fewest_failures);
            FAILURE_FACTOR.pow(extra.min(MAX_EXTRA_FAILURES))
        };
        let expected = |source: &&Source| self.expected_micros(bytes, source).saturating_mul(factor(source));
        let best = sources.iter().min_by_key(expected)?;
        let in_flight: usize = sources.iter().map(|source| source.in_flight).sum();
        let all_good = sources.iter().filter(|source| source.in_flight > 0).all(|source| self.is_good(source.id));
        let limit = if all_good && self.is_good(best.id) { MAX_CONCURRENT_FETCHES } else { 1 };
        (in_flight < limit).then_some(best.id)
    }

    /// Whether a request should be given up.
    pub fn should_give_up(&self, source: ReplicaId, progress: &FetchProgress) -> bool {
        progress.silent_for >= SILENCE_LIMIT || progress.elapsed >= self.time_limit(source, progress)
    }

    /// Time limit of a request, which follows from the size and from what the link has shown. While heartbeats are
    /// answered promptly and the segment is late, the source's disk is the likely cause, and another source is tried
    /// soon; late replies show a bad link, over which a repetition would only send the same bytes again.
    pub fn time_limit(&self, source: ReplicaId, progress: &FetchProgress) -> Duration {
        let rate = self.sources.get(&source).and_then(|record| record.rate);
        let expected = |rate: u64| Duration::from_micros(progress.bytes.saturating_mul(1_000_000) / rate.max(1));
        let usual = ALLOWANCE + expected(rate.unwrap_or(ASSUMED_RATE)) * RATE_MARGIN;
        let limit = if progress.has_late_replies {
            let slowest = rate.map_or(expected(LOWEST_RATE), |rate| expected(rate) * RATE_MARGIN);
            usual.max(slowest + BAD_LINK_ALLOWANCE)
        } else {
            usual
        };
        limit * TIMEOUT_FACTOR.pow(self.timeouts)
    }

    /// Bytes per second of a source's answers, if it has answered.
    pub fn rate(&self, source: ReplicaId) -> Option<u64> {
        self.sources.get(&source).and_then(|record| record.rate)
    }

    fn is_good(&self, source: ReplicaId) -> bool {
        let record = self.sources.get(&source);
        record.is_some_and(|record| record.failures == 0 && record.rate.is_some_and(|rate| rate >= GOOD_RATE))
    }

    fn expected_micros(&self, bytes: u64, source: &Source) -> u64 {
        let record = self.sources.get(&source.id).copied().unwrap_or_default();
        // A heartbeat without a prompt reply indicates packet loss.
        let (assumed_rate, round_trip) = match record.round_trip {
            Some(round_trip) => (ASSUMED_RATE, round_trip),
            None if record.is_known => (ASSUMED_BAD_RATE, PROMPT_ANSWER),
            None => (ASSUMED_RATE, Duration::ZERO),
        };
        let transfer = bytes.saturating_mul(1_000_000) / record.rate.unwrap_or(assumed_rate).max(1);
        let leader_factor = if source.is_leader { LEADER_FACTOR } else { 1 };
        let expected = transfer.saturating_add(round_trip.as_micros() as u64).max(1);
        expected.saturating_mul(leader_factor).saturating_mul(source.in_flight as u64 + 1)
    }
}
