//! Replication lag of a peer, measured by its leader.

use std::time::Duration;

/// An index that was committed at some time.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    index: u64,
    at: Duration,
}

/// For how long a peer's log has lacked committed entries.
///
/// Measured in time rather than entries, so that a peer with a slow disk that follows at a constant distance does not
/// count as behind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicationLag {
    /// The checkpoint that the peer has to reach next.
    next: Option<Checkpoint>,
    /// Time of the newest checkpoint that the peer has reached, or of the first observation.
    caught_up_at: Option<Duration>,
}

impl ReplicationLag {
    /// Records that the peer's log matches up to `match_index` while `commit` is the commit index.
    pub fn observe(&mut self, match_index: u64, commit: u64, now: Duration) {
        let current = Checkpoint { index: commit, at: now };
        let next = *self.next.get_or_insert(current);
        self.caught_up_at.get_or_insert(now);
        if match_index >= next.index {
            self.caught_up_at = Some(next.at);
            self.next = Some(current);
        }
    }

    /// The lag at `now`; zero before the first observation. For a peer that follows at a constant distance, it varies
    /// between this distance and twice as much, as a new checkpoint is only set once the last one has been reached.
    pub fn at(&self, now: Duration) -> Duration {
        self.caught_up_at.map_or(Duration::ZERO, |caught_up_at| now.saturating_sub(caught_up_at))
    }
}
