//! Fetches segments from other replicas: those that a snapshot being received refers to, and one whose file is damaged.
//!
//! Followers are asked before the leader, which has the log to send.

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

/// Segments that a replica fetches at the same time: one from each of the voters that are likely to have them.
const FETCHES_AT_ONCE: usize = 3;

/// Longest wait for one segment: many times what a link and a busy replica take for its size.
const FETCH_LIMIT: Duration = Duration::from_millis(1_200);

/// Pause before segments that nobody gave are asked for again.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// Voters in the order in which they are asked for a segment: the leader last.
pub(crate) fn leader_last<'a>(voters: impl Iterator<Item = &'a Member>, leader: Option<ReplicaId>) -> Vec<Member> {
    let (leading, mut others): (Vec<Member>, Vec<Member>) = voters.cloned().partition(|voter| Some(voter.id) == leader);
    others.extend(leading);
    others
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Answers a replica that lacks a segment.
    pub(crate) async fn answer_segment(&self, number: u64) -> ReplicaReply {
        match self.read_kept_segment(number).await {
            Ok(bytes) => ReplicaReply::Segment(bytes.to_vec()),
            Err(_) => ReplicaReply::Refused,
        }
    }

    /// Fetches the segments that the snapshot being received refers to, unless that is under way.
    pub(crate) fn begin_fetch(&self) {
        if !self.inner.fetching.replace(true) {
            self.inner.platform.spawn(self.clone().fetch_missing());
        }
    }

    async fn fetch_missing(self) {
        while let Some((missing, sources)) = self.fetch_plan() {
            let fetches = missing.iter().map(|segment| self.fetch(*segment, &sources));
            let fetched = join_all(fetches).await;
            if fetched.contains(&false) {
                self.inner.platform.sleep(FETCH_PAUSE).await;
            }
        }
        self.inner.fetching.set(false);
    }

    /// The next segments to fetch and who may have them; `None` when nothing is missing, or the disk refuses writes.
    fn fetch_plan(&self) -> Option<(Vec<Segment>, Vec<Member>)> {
        let state = self.inner.state.borrow();
        let incoming = self.inner.incoming.borrow();
        let received = incoming.as_ref().filter(|_| !state.storage_failed && !state.stopping)?;
        let mut missing = received.missing_segments(&self.inner.segments.borrow());
        missing.truncate(FETCHES_AT_ONCE);
        (!missing.is_empty()).then(|| (missing, received.segment_sources()))
    }

    /// Fetches and stores a segment; returns whether it could.
    async fn fetch(&self, segment: Segment, sources: &[Member]) -> bool {
        let (own, term) = {
            let state = self.inner.state.borrow();
            (state.identity.id, state.term)
        };
        let sources: Vec<&Member> = sources.iter().filter(|source| source.id != own).collect();
        // Segments begin with different followers; the leader is asked when these do not have it.
        let (followers, leader) = sources.split_at(sources.len().saturating_sub(1));
        let first = segment.number as usize % followers.len().max(1);
        let in_turn = followers.iter().cycle().skip(first).take(followers.len()).chain(leader);
        for source in in_turn {
            let request = ReplicaRequest::ReadSegment { header: self.header(source.id, term), number: segment.number };
            let Some(ReplicaReply::Segment(bytes)) = self.send(source.address, &request, FETCH_LIMIT).await else {
                continue;
            };
            if !segment.matches(&bytes) {
                spdlog::warn!("segment damaged on its way", kv: { from = source.id.0, number = segment.number });
                continue;
            }
            if self.store_segment(segment, bytes).await.is_err() {
                self.fail_storage();
                return false;
            }
            return true;
        }
        spdlog::warn!("segment not fetched", kv: { number = segment.number, asked = sources.len() });
        false
    }

    /// A segment's bytes. One whose file is damaged here is taken from another voter.
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

    /// The voters that may give a segment.
    fn other_voters(&self) -> Vec<Member> {
        let state = self.inner.state.borrow();
        leader_last(state.membership().voters(), state.leader)
    }
}
