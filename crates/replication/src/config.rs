//! Timing and size limits of replication.

use saddlerelay_types::feature_level::FeatureLevel;
use std::time::Duration;

/// Limits; every replica of a group uses the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationConfig {
    /// Pause between heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a replica seeks votes, and for which it refuses votes to others.
    pub election_timeout: Duration,
    /// Random part added to the election timeout.
    pub election_jitter: Duration,
    /// How much later than the one that led last a replica that starts seeks votes.
    pub leader_head_start: Duration,
    /// How long a quorum's answers let a leader serve reads; below `election_timeout` by the clock error allowed.
    pub lease: Duration,
    /// Time limit of one message between replicas.
    pub call_limit: Duration,
    /// Entries applied since the last snapshot that cause the next.
    pub snapshot_entries: u64,
    /// Bytes logged since the last snapshot that cause the next.
    pub snapshot_bytes: u64,
    /// Entries kept before a snapshot, so that replicas a little behind need none.
    pub trailing_entries: u64,
    /// Bytes of applied entries kept in memory, for replicas a little behind.
    pub memory_bytes: u64,
    /// Bytes of applied entries kept in memory for voters that are further behind; beyond, they are sent a snapshot.
    pub memory_bytes_behind: u64,
    /// Most entries in one message.
    pub entries_per_message: usize,
    /// Most proposals waiting to be written.
    pub proposal_queue: usize,
    /// Voters wanted; further joiners stay learners.
    pub target_voters: usize,
    /// Silence after which a voter is replaced by a learner that has caught up.
    pub replace_after: Duration,
    /// Learners kept beside the voters, to take the place of one that is lost.
    pub spare_learners: usize,
    /// The level at which a new group begins, if all its members know it.
    pub first_level: FeatureLevel,
}

impl Default for ReplicationConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(1000),
            election_jitter: Duration::from_millis(500),
            leader_head_start: Duration::from_millis(150),
            lease: Duration::from_millis(800),
            call_limit: Duration::from_millis(1000),
            snapshot_entries: 4096,
            snapshot_bytes: 16 * 1024 * 1024,
            trailing_entries: 256,
            memory_bytes: 16 * 1024 * 1024,
            memory_bytes_behind: 32 * 1024 * 1024,
            entries_per_message: 256,
            proposal_queue: 16_384,
            target_voters: 5,
            replace_after: Duration::from_millis(1500),
            spare_learners: 1,
            first_level: FeatureLevel::NEWEST,
        }
    }
}

impl ReplicationConfig {
    /// Why these limits cannot be used together, or `None`.
    pub fn error(&self) -> Option<&'static str> {
        if self.lease >= self.election_timeout {
            return Some("the leader lease must be shorter than the election timeout");
        }
        if self.heartbeat_interval * 3 > self.lease {
            return Some("the lease must cover three heartbeats");
        }
        None
    }
}
