//! Which connection gives way when connections or memory run short. Pure functions over snapshots.

use crate::connection_state::Phase;
use std::time::Duration;

/// Time without progress after which a transfer may give way to others.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(1);

/// What decides whether a connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub phase: Phase,
    /// Time since the start of the phase.
    pub age: Duration,
    /// Time since the last progress of a transfer.
    pub stalled: Duration,
    pub is_write_blocked: bool,
    /// Memory given back if the connection ends, in bytes.
    pub held_bytes: usize,
}

impl Candidate {
    fn is_stalled_transfer(&self) -> bool {
        let waits_for_client = self.phase == Phase::Body || self.is_write_blocked;
        waits_for_client && self.stalled >= STALL_TIME
    }
}

/// The connection that gives way to a new one: those that discard input first, then the one that has rested longest,
/// the oldest incomplete head, the transfer without progress for longest. None if all others are at work.
pub(crate) fn for_connection(candidates: &[Candidate]) -> Option<usize> {
    let rank = |candidate: &Candidate| match candidate.phase {
        Phase::Discarding => Some((3, candidate.age)),
        Phase::Idle => Some((2, candidate.age)),
        Phase::Head => Some((1, candidate.age)),
        _ if candidate.is_stalled_transfer() => Some((0, candidate.stalled)),
        Phase::Body | Phase::Handling | Phase::Response => None,
    };
    best(candidates, rank)
}

/// The connection whose memory is given to others: the transfer without progress for longest.
pub(crate) fn for_memory(candidates: &[Candidate]) -> Option<usize> {
    let rank = |candidate: &Candidate| {
        let gives_way = candidate.held_bytes > 0 && candidate.is_stalled_transfer();
        gives_way.then_some(candidate.stalled)
    };
    best(candidates, rank)
}

fn best<R: Ord>(candidates: &[Candidate], rank: impl Fn(&Candidate) -> Option<R>) -> Option<usize> {
    let ranked = candidates.iter().enumerate().filter_map(|(index, candidate)| Some((rank(candidate)?, index)));
    ranked.max().map(|(_, index)| index)
}
