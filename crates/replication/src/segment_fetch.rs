//! Fetching segments from other replicas: those that a snapshot being received refers to, and those whose files are
//! corrupt.

use crate::membership::Member;
use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::segments::{Segment, SegmentError};
use crate::state::StateMachine;
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of segments fetched concurrently.
const MAX_CONCURRENT_FETCHES: usize = 3;

/// Timeout of one segment request.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay before failed fetches are retried.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Voters in the order in which a segment is requested from them: the leader last, as it also has the log to send.
pub(crate) fn leader_last<'a>(voters: impl Iterator<Item = &'a Member>, leader: Option<ReplicaId>) -> Vec<Member> {
    let (leading, mut others): (Vec<Member>, Vec<Member>) = voters.cloned().partition(|voter| Some(voter.id) == leader);
    others.extend(leading);
    others
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
        while let Some((missing, sources)) = self.fetch_plan() {
            let fetches = missing.iter().map(|segment| self.fetch(*segment, &sources));
            let fetched = join_all(fetches).await;
            if fetched.contains(&false) {
                self.inner.platform.sleep(FETCH_RETRY_DELAY).await;
            }
        }
        self.inner.fetching.set(false);
    }

    /// The next segments to fetch and the voters to fetch them from; `None` if nothing is missing, the disk has failed
    /// or the replica is stopping.
    fn fetch_plan(&self) -> Option<(Vec<Segment>, Vec<Member>)> {
        let state = self.inner.state.borrow();
        let incoming = self.inner.incoming_snapshot.borrow();
        let received = incoming.as_ref().filter(|_| !state.storage_failed && !state.stopping)?;
        let mut missing = received.missing_segments(&self.inner.segments.borrow());
        missing.truncate(MAX_CONCURRENT_FETCHES);
        (!missing.is_empty()).then(|| (missing, received.segment_sources()))
    }

    /// Fetches and stores a segment. Returns whether it succeeded.
    async fn fetch(&self, segment: Segment, sources: &[Member]) -> bool {
        let (own, term) = {
            let state = self.inner.state.borrow();
            (state.identity.id, state.term)
        };
        let sources: Vec<&Member> = sources.iter().filter(|source| source.id != own).collect();
        // Different segments start with different followers to distribute the load.
        let (followers, leader) = sources.split_at(sources.len().saturating_sub(1));
        let first = segment.number as usize % followers.len().max(1);
        let ordered_sources = followers.iter().cycle().skip(first).take(followers.len()).chain(leader);
        for source in ordered_sources {
            let request = ReplicaRequest::ReadSegment { header: self.header(source.id, term), number: segment.number };
            let Some(ReplicaReply::Segment(bytes)) = self.send(source.address, &request, FETCH_TIMEOUT).await else {
                continue;
            };
            if !segment.matches(&bytes) {
                spdlog::warn!("received segment failed checksum", kv: { from = source.id.0, number = segment.number });
                continue;
            }
            if self.store_segment(segment, bytes).await.is_err() {
                self.fail_storage();
                return false;
            }
            return true;
        }
        spdlog::warn!("segment fetch failed", kv: { number = segment.number, asked = sources.len() });
        false
    }

    /// Content of a segment. If its file is corrupt, it is fetched from another voter.
    pub async fn read_segment(&self, number: u64) -> Result<Rc<Vec<u8>>, SegmentError> {
        match self.read_own_segment(number).await {
            Err(SegmentError::Damaged) => {}
            other => return other,
        }
        let segment = self.segment(number).ok_or(SegmentError::Unknown)?;
        if !self.fetch(segment, &self.other_voters()).await {
            return Err(SegmentError::Damaged);
        }
        spdlog::info!("segment repaired", kv: { number = number });
        self.read_own_segment(number).await
    }

    /// Voters to fetch a segment from, in order.
    fn other_voters(&self) -> Vec<Member> {
        let state = self.inner.state.borrow();
        leader_last(state.membership().voters(), state.leader)
    }
}
