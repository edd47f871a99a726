//! The replicas known to a client, and the order in which it tries them while it searches for the leader.
//!
//! Replicas are configured, by the settings or by the group, or discovered from the peer addresses in replies of other
//! replicas. A search tries the least recently tried replica first, so that unreachable addresses don't hide reachable
//! ones.

use crate::search::{LastResult, LeaderSearch};
use saddlerelay_rpc::client::Client;
use saddlerelay_runtime::Runtime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of replicas that a client keeps. When it is reached, a failed discovered replica is replaced first.
const MAX_REPLICAS: usize = 64;

/// A replica that was unreachable or did not reply is skipped for this long while others are available.
const NO_REPLY_BACKOFF: Duration = Duration::from_millis(1500);

/// A replica returned as a peer is not preferred if it was tried within this time. Otherwise only two replicas that
/// return each other would be tried.
const RECENTLY_TRIED: Duration = Duration::from_millis(400);

/// Where a replica's address comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Set by the settings or the group.
    Configured,
    /// Returned by a replica that does not lead.
    Discovered,
}

/// A replica with its connection and the result of its last request.
struct ReplicaEntry<P> {
    client: Client<P>,
    origin: Origin,
    backoff_until: Duration,
    last_result: LastResult,
    tried_at: Option<Duration>,
}

impl<P: Runtime> ReplicaEntry<P> {
    fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Whether its last request failed without a usable reply.
    fn has_failed(&self) -> bool {
        matches!(self.last_result, LastResult::Unreachable | LastResult::NoReply | LastResult::Malformed)
    }
}

/// The replicas known to a client, and the one that receives its requests at present.
pub(crate) struct Replicas<P> {
    platform: P,
    secret: String,
    /// Configured ones first, then discovered ones, the newest first.
    entries: Vec<ReplicaEntry<P>>,
    current: Option<SocketAddr>,
}

impl<P: Runtime> Replicas<P> {
    pub fn new(platform: P, addresses: &[SocketAddr], secret: &str) -> Self {
        let mut replicas = Self { platform, secret: secret.to_string(), entries: Vec::new(), current: None };
        replicas.add_configured(addresses);
        replicas.current = addresses.first().copied();
        replicas
    }

    /// The client of the current replica, which is marked as tried now.
    pub fn start_request(&mut self) -> Option<Client<P>> {
        let now = self.platform.monotonic();
        let current = self.current?;
        let entry = self.entries.iter_mut().find(|entry| entry.address() == current)?;
        entry.tried_at = Some(now);
        Some(entry.client.clone())
    }

    /// The address of the current replica.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// The RPC client of one replica.
    pub fn client_of(&self, address: SocketAddr) -> Option<Client<P>> {
        self.entries.iter().find(|entry| entry.address() == address).map(|entry| entry.client.clone())
    }

    /// Every replica and the result of the last request to it.
    pub fn search(&self) -> LeaderSearch {
        LeaderSearch { replicas: self.entries.iter().map(|entry| (entry.address(), entry.last_result)).collect() }
    }

    /// Records the result of a request. A replica that sent no reply is skipped for [`NO_REPLY_BACKOFF`].
    pub fn record_result(&mut self, address: SocketAddr, result: LastResult) {
        let now = self.platform.monotonic();
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.address() == address) {
            entry.last_result = result;
            if matches!(result, LastResult::Unreachable | LastResult::NoReply) {
                entry.backoff_until = now + NO_REPLY_BACKOFF;
            }
        }
    }

    /// Selects the replica at `address`, which another replica returned as the leader.
    pub fn select_leader(&mut self, address: SocketAddr) {
        self.add_discovered(&[address]);
        self.current = Some(address);
    }

    /// Selects another replica after `failed` did not serve a request: the first of `peers` that was known before, is
    /// not skipped and was not tried recently, or else the least recently tried replica. Does nothing if a concurrent
    /// call has selected another replica already.
    pub fn select_after_failure(&mut self, failed: SocketAddr, peers: &[SocketAddr]) {
        let now = self.platform.monotonic();
        let is_usable = |address: &&SocketAddr| {
            let entry = self.entries.iter().find(|entry| entry.address() == **address);
            entry.is_some_and(|entry| {
                entry.backoff_until <= now && entry.tried_at.is_none_or(|at| now >= at + RECENTLY_TRIED)
            })
        };
        let preferred = peers.iter().find(is_usable).copied();
        self.add_discovered(peers);
        if self.current != Some(failed) {
            return;
        }
        self.current = preferred.or_else(|| self.least_recently_tried(now));
    }

    /// The least recently tried replica among those that are not skipped, or among all if all are skipped.
    fn least_recently_tried(&self, now: Duration) -> Option<SocketAddr> {
        let available = self.entries.iter().filter(|entry| entry.backoff_until <= now);
        let oldest = available.min_by_key(|entry| entry.tried_at);
        oldest.or_else(|| self.entries.iter().min_by_key(|entry| entry.tried_at)).map(ReplicaEntry::address)
    }

    /// Adds `addresses` and selects the first of them that was unknown.
    pub fn add_and_select_new(&mut self, addresses: &[SocketAddr]) {
        let new = addresses.iter().find(|address| self.client_of(**address).is_none()).copied();
        self.add_discovered(addresses);
        self.current = new.filter(|new| self.client_of(*new).is_some()).or(self.current);
    }

    /// Adds discovered replicas, in front of those discovered earlier.
    pub fn add_discovered(&mut self, addresses: &[SocketAddr]) {
        let mut index = self.entries.iter().filter(|entry| entry.origin == Origin::Configured).count();
        for address in addresses {
            if self.client_of(*address).is_none() && self.make_room(index) {
                self.entries.insert(index, self.new_entry(*address, Origin::Discovered));
                index += 1;
            }
        }
        self.current = self.current.or_else(|| self.entries.first().map(ReplicaEntry::address));
    }

    /// Makes room for one replica: at the limit, removes a discovered replica (index `first` or later) that has failed,
    /// or else the oldest one that was never tried. `false` if there is none.
    fn make_room(&mut self, first: usize) -> bool {
        if self.entries.len() < MAX_REPLICAS {
            return true;
        }
        let discovered =
            || self.entries.iter().enumerate().skip(first).filter(|(_, entry)| Some(entry.address()) != self.current);
        let failed = discovered().rev().find(|(_, entry)| entry.has_failed());
        let untried = || discovered().rev().find(|(_, entry)| entry.tried_at.is_none());
        let index = failed.or_else(untried).map(|(index, _)| index);
        index.map(|index| self.entries.remove(index)).is_some()
    }

    /// Replaces the configured replicas. Discovered ones are kept during a search, as the leader may be among them
    /// only.
    pub fn replace_configured(&mut self, addresses: &BTreeSet<SocketAddr>, is_searching: bool) {
        self.entries
            .retain(|entry| addresses.contains(&entry.address()) || is_searching && entry.origin == Origin::Discovered);
        let addresses: Vec<SocketAddr> = addresses.iter().copied().collect();
        self.add_configured(&addresses);
        let current = self.current.filter(|current| self.client_of(*current).is_some());
        self.current = current.or_else(|| self.entries.first().map(ReplicaEntry::address));
    }

    fn add_configured(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            match self.entries.iter_mut().find(|entry| entry.address() == *address) {
                Some(entry) => entry.origin = Origin::Configured,
                None => self.entries.push(self.new_entry(*address, Origin::Configured)),
            }
        }
        self.entries.sort_by_key(|entry| entry.origin == Origin::Discovered);
    }

    fn new_entry(&self, address: SocketAddr, origin: Origin) -> ReplicaEntry<P> {
        ReplicaEntry {
            client: Client::new(self.platform.clone(), address, &self.secret),
            origin,
            backoff_until: Duration::ZERO,
            last_result: LastResult::NotContacted,
            tried_at: None,
        }
    }
}
