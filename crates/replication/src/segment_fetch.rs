//! Fetching segments from other replicas: those that a snapshot being received refers to, and those whose files are
//! corrupt. `transfer_policy` decides which source is asked, how long to wait, and how many segments are fetched at
//! once.

use crate::calls::Channel;
use crate::membership::Member;
use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::segments::{Segment, SegmentError};
use crate::state::StateMachine;
use crate::state_transfer::StateTransfer;
use crate::transfer_policy::{FetchFailure, FetchProgress, Source};
use futures::future::{Either, join_all, select};
use futures::stream::{FuturesUnordered, StreamExt};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::identity::ReplicaId;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed request, which bounds the rate of refused ones.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between heartbeats to a source while it is asked for a segment.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of such a heartbeat. A reply that takes longer indicates packet loss; the next heartbeat may then open a
/// new connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(150);

/// Term of such a heartbeat. No leader has this term, so replicas reply without recording contact with a leader.
const HEARTBEAT_TERM: u64 = 0;

/// Heartbeats to each source before the first request. At 20 % loss, 83 % of the rounds of this size lose a packet.
const PROBES_PER_SOURCE: u32 = 4;

/// Interval between them.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time limit of a request for a segment. The policy's limit is usually shorter.
const MAX_FETCH_TIME: Duration = Duration::from_secs(3_600);

/// Voters in the order in which a segment is requested from them: the leader last, as it also has the log to send.
pub(crate) fn leader_last<'a>(voters: impl Iterator<Item = &'a Member>, leader: Option<ReplicaId>) -> Vec<Member> {
    let (leading, mut others): (Vec<Member>, Vec<Member>) = voters.cloned().partition(|voter| Some(voter.id) == leader);
    others.extend(leading);
    others
}

/// Replies of a source to heartbeats while it is asked for a segment.
struct Heartbeats {
    replied_at: Cell<Duration>,
    has_late_replies: Cell<bool>,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Handles a request for a segment.
    pub(crate) async fn handle_segment_request(&self, number: u64) -> ReplicaReply {
        match self.read_kept_segment(number).await {
            Ok(bytes) => ReplicaReply::Segment(bytes.to_vec()),
            Err(_) => ReplicaReply::Rejected,
        }
    }

    /// Starts fetching the missing segments of the snapshot that is being received, unless that is in progress.
    pub(crate) fn start_fetch(&self) {
        if !self.inner.fetching.replace(true) {
            self.inner.platform.spawn(self.clone().fetch_missing());
        }
    }

    async fn fetch_missing(self) {
        let mut transfer = StateTransfer::new(self.inner.platform.monotonic());
        let mut running = FuturesUnordered::new();
        let mut in_flight: BTreeMap<u64, ReplicaId> = BTreeMap::new();
        let mut probed = false;
        loop {
            while let Some((segment, sources)) = self.next_missing(&in_flight) {
                if self.adopt_stored_segment(segment).await {
                    transfer.record_kept(&segment);
                    continue;
                }
                if !std::mem::replace(&mut probed, true) {
                    self.probe_sources(&sources).await;
                }
                let Some(source) = self.next_source(&segment, &sources, &in_flight) else {
                    break;
                };
                in_flight.insert(segment.number, source.id);
                let replica = self.clone();
                running.push(async move { (segment, replica.fetch_from(&source, segment).await) });
            }
            let pause = self.inner.platform.sleep(StateTransfer::REPORT_INTERVAL);
            match select(running.next(), pin!(pause)).await {
                Either::Left((Some((segment, fetched)), _)) => {
                    in_flight.remove(&segment.number);
                    transfer.record(&segment, fetched);
                }
                Either::Left((None, _)) => break,
                Either::Right(_) => {}
            }
            let now = self.inner.platform.monotonic();
            transfer.log_if_due(now, &in_flight, &self.inner.transfer_policy.borrow());
        }
        transfer.log_end(self.inner.platform.monotonic(), self.next_missing(&in_flight).is_none());
        self.inner.fetching.set(false);
    }

    /// The next segment to fetch and the voters to fetch it from; `None` if nothing else is missing, the disk has
    /// failed or the replica is stopping.
    fn next_missing(&self, in_flight: &BTreeMap<u64, ReplicaId>) -> Option<(Segment, Vec<Member>)> {
        let state = self.inner.state.borrow();
        let incoming = self.inner.incoming_snapshot.borrow();
        let received = incoming.as_ref().filter(|_| !state.storage_failed && !state.stopping)?;
        let missing = received.missing_segments(&self.inner.segments.borrow());
        let segment = missing.into_iter().find(|segment| !in_flight.contains_key(&segment.number))?;
        let own = state.identity.id;
        let sources = received.segment_sources().into_iter().filter(|source| source.id != own).collect();
        Some((segment, sources))
    }

    fn next_source(
        &self,
        segment: &Segment,
        sources: &[Member],
        in_flight: &BTreeMap<u64, ReplicaId>,
    ) -> Option<Member> {
        let leader = self.inner.state.borrow().leader;
        let candidate = |member: &Member| Source {
            id: member.id,
            is_leader: Some(member.id) == leader,
            in_flight: in_flight.values().filter(|source| **source == member.id).count(),
        };
        let candidates: Vec<Source> = sources.iter().map(candidate).collect();
        let next = self.inner.transfer_policy.borrow().next_source(segment.bytes, &candidates)?;
        sources.iter().find(|source| source.id == next).cloned()
    }

    /// Measures the round trip to sources of which nothing is known, so that a near one is asked first.
    async fn probe_sources(&self, sources: &[Member]) {
        let ids: Vec<ReplicaId> = sources.iter().map(|source| source.id).collect();
        self.inner.transfer_policy.borrow_mut().retain(&ids);
        let unknown = sources.iter().filter(|source| self.inner.transfer_policy.borrow().is_unknown(source.id));
        let unknown: Vec<&Member> = unknown.collect();
        join_all(unknown.into_iter().map(|source| self.probe_source(source))).await;
    }

    /// Sends several heartbeats and records the longest round trip.
    async fn probe_source(&self, source: &Member) {
        let heartbeats = (0..PROBES_PER_SOURCE).map(|number| async move {
            self.inner.platform.sleep(PROBE_INTERVAL * number).await;
            self.heartbeat_round_trip(source).await
        });
        let round_trips: Option<Vec<Duration>> = join_all(heartbeats).await.into_iter().collect();
        let longest = round_trips.and_then(|round_trips| round_trips.into_iter().max());
        self.inner.transfer_policy.borrow_mut().record_heartbeat(source.id, longest);
    }

    /// Sends a heartbeat; returns the round trip if the reply was prompt.
    async fn heartbeat_round_trip(&self, source: &Member) -> Option<Duration> {
        let sent_at = self.inner.platform.monotonic();
        let request = ReplicaRequest::Heartbeat { header: self.header(source.id, HEARTBEAT_TERM) };
        let call = self.try_send(Channel::Probes, source.address, &request, HEARTBEAT_TIMEOUT);
        let reply = timeout(&self.inner.platform, HEARTBEAT_TIMEOUT, call).await;
        let is_prompt = matches!(reply, Some(Ok(ReplicaReply::Heartbeat { .. })));
        is_prompt.then(|| self.inner.platform.monotonic().saturating_sub(sent_at))
    }

    /// Fetches and stores a segment from one source.
    async fn fetch_from(&self, source: &Member, segment: Segment) -> Result<Duration, FetchFailure> {
        let started_at = self.inner.platform.monotonic();
        let answer = self.request_segment(source, &segment).await;
        let elapsed = self.inner.platform.monotonic().saturating_sub(started_at);
        let failure = match answer {
            Ok(bytes) if segment.matches(&bytes) => {
                self.inner.transfer_policy.borrow_mut().record_answer(source.id, segment.bytes, elapsed);
                if self.store_segment(segment, bytes).await.is_ok() {
                    return Ok(elapsed);
                }
                self.fail_storage();
                return Err(FetchFailure::Refused);
            }
            Ok(_) => {
                spdlog::warn!("received segment failed checksum", kv: {
                    from = source.id.0, number = segment.number
                });
                FetchFailure::Refused
            }
            Err(failure) => failure,
        };
        self.inner.transfer_policy.borrow_mut().record_failure(source.id, failure);
        let now = self.inner.platform.monotonic();
        let failures = self.inner.failed_fetches.borrow_mut().count(now);
        if let Some(failures) = failures {
            spdlog::warn!("segment fetch failed", kv: {
                number = segment.number, source = source.id.0, address = source.address.to_string().as_str(),
                bytes = segment.bytes, elapsed_ms = elapsed.as_millis() as u64,
                timed_out = failure == FetchFailure::TimedOut, failures = failures
            });
        }
        self.inner.platform.sleep(FETCH_RETRY_DELAY).await;
        Err(failure)
    }

    /// Requests a segment from a source, with heartbeats over another connection that show whether the source is still
    /// there and whether packets are lost.
    async fn request_segment(&self, source: &Member, segment: &Segment) -> Result<Vec<u8>, FetchFailure> {
        let started_at = self.inner.platform.monotonic();
        let header = self.header(source.id, self.inner.state.borrow().term);
        let request = ReplicaRequest::ReadSegment { header, number: segment.number };
        let mut call = pin!(self.try_send(Channel::Segments, source.address, &request, MAX_FETCH_TIME));
        let heartbeats = Rc::new(Heartbeats { replied_at: Cell::new(started_at), has_late_replies: Cell::default() });
        loop {
            let pause = pin!(self.inner.platform.sleep(HEARTBEAT_INTERVAL));
            match select(call, pause).await {
                Either::Left((Ok(ReplicaReply::Segment(bytes)), _)) => return Ok(bytes),
                Either::Left(_) => return Err(FetchFailure::Refused),
                Either::Right(((), pending_call)) => call = pending_call,
            }
            let now = self.inner.platform.monotonic();
            let progress = FetchProgress {
                bytes: segment.bytes,
                elapsed: now.saturating_sub(started_at),
                silent_for: now.saturating_sub(heartbeats.replied_at.get()),
                has_late_replies: heartbeats.has_late_replies.get(),
            };
            if self.inner.transfer_policy.borrow().should_give_up(source.id, &progress) {
                // The rest of the answer would delay the next one.
                self.client(Channel::Segments, source.address).close_if_idle_since(started_at);
                return Err(FetchFailure::TimedOut);
            }
            self.inner.platform.spawn(self.clone().send_source_heartbeat(source.clone(), heartbeats.clone()));
        }
    }

    async fn send_source_heartbeat(self, source: Member, heartbeats: Rc<Heartbeats>) {
        let round_trip = self.heartbeat_round_trip(&source).await;
        self.inner.transfer_policy.borrow_mut().record_heartbeat(source.id, round_trip);
        if round_trip.is_some() {
            heartbeats.replied_at.set(self.inner.platform.monotonic());
        } else {
            heartbeats.has_late_replies.set(true);
        }
    }

    /// Content of a segment. If its file is corrupt, it is fetched from another voter.
    pub async fn read_segment(&self, number: u64) -> Result<Rc<Vec<u8>>, SegmentError> {
        match self.read_own_segment(number).await {
            Err(SegmentError::Damaged) => {}
            other => return other,
        }
        let segment = self.segment(number).ok_or(SegmentError::Unknown)?;
        if !self.fetch_from_any(segment).await {
            return Err(SegmentError::Damaged);
        }
        spdlog::info!("segment repaired", kv: { number = number });
        self.read_own_segment(number).await
    }

    /// Fetches and stores a segment; asks each other voter once, in the order of the policy. Returns whether it
    /// succeeded.
    async fn fetch_from_any(&self, segment: Segment) -> bool {
        let (own, mut sources) = {
            let state = self.inner.state.borrow();
            (state.identity.id, leader_last(state.membership().voters(), state.leader))
        };
        sources.retain(|source| source.id != own);
        while let Some(source) = self.next_source(&segment, &sources, &BTreeMap::new()) {
            if self.fetch_from(&source, segment).await.is_ok() {
                return true;
            }
            sources.retain(|other| other.id != source.id);
        }
        false
    }
}
