//! Timeouts and size limits of replication.

use saddlerelay_types::feature_level::FeatureLevel;
use std::time::Duration;

/// Timeouts and limits; identical on all replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationConfig {
    /// Interval between heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Minimum time without leader contact before a replica campaigns. Votes are refused for the same time after
    /// leader contact.
    pub election_timeout: Duration,
    /// Upper bound of the random addition to the election timeout.
    pub election_jitter: Duration,
    /// Additional delay of the first campaign after a start, for replicas other than the previous leader.
    pub leader_head_start: Duration,
    /// Validity of the leader lease after a quorum's acknowledgement. Shorter than `election_timeout` by the tolerated
    /// clock drift.
    pub lease: Duration,
    /// Timeout of one message between replicas.
    pub call_timeout: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size in bytes of applied entries after which a snapshot is taken. Each replica uses 50 to 100 % of it, so that
    /// not all take theirs at once.
    pub snapshot_bytes: u64,
    /// Number of entries before a snapshot that are kept, so that replicas slightly behind need no snapshot.
    pub trailing_entries: u64,
    /// Size in bytes of applied entries kept in memory.
    pub memory_bytes: u64,
    /// Size in bytes of applied entries kept in memory for peers that are behind. Older entries are read from the log
    /// file, or a snapshot is sent.
    pub memory_bytes_behind: u64,
    /// Maximum number of entries in one message.
    pub entries_per_message: usize,
    /// Maximum number of proposals waiting to be written.
    pub proposal_queue: usize,
    /// Number of voters; further replicas that join remain learners.
    pub target_voters: usize,
    /// Silence after which a voter is replaced by a learner that has caught up.
    pub replace_after: Duration,
    /// Number of learners kept in reserve to replace failed voters.
    pub spare_learners: usize,
    /// Feature level of a new group, if all its members support it.
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
            call_timeout: Duration::from_millis(1000),
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
    /// Why the configuration is invalid, or `None`.
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
