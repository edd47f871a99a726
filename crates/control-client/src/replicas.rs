//! The replicas that a client may ask, and whom it asks next while it looks for the leader.
//!
//! Some are given: by the settings, or by the group. Others are learned from replicas that could not help. A search asks
//! each in turn, the one asked longest ago first, so that it ends wherever a path of names leads to the leader, however many
//! of the machines named on the way are gone.

use crate::search::{LastAnswer, LeaderSearch};
use saddlerelay_rpc::client::Client;
use saddlerelay_runtime::Runtime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Most replicas that a client asks: some times as many as a group has members and a deployment machines that serve control.
/// Beyond, those that do not answer make room.
const MOST_REPLICAS: usize = 64;

/// How long a replica that did not answer is passed over while others may: an election takes no longer.
const PASSED_OVER: Duration = Duration::from_millis(1500);

/// A replica that another one names is not asked at once if it has been asked within this time: two that name each other would
/// be asked by turns, and no other. As long as the longest pause of a search.
const ASKED_LATELY: Duration = Duration::from_millis(400);

/// Where a replica's address comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The settings or the group.
    Given,
    /// A replica that could not help.
    Learned,
}

/// A replica as a client knows it.
struct Known<P> {
    client: Client<P>,
    origin: Origin,
    passed_over_until: Duration,
    last_answer: LastAnswer,
    asked_at: Option<Duration>,
}

impl<P: Runtime> Known<P> {
    fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Whether it is of no use as far as is known.
    fn has_failed(&self) -> bool {
        matches!(self.last_answer, LastAnswer::NotReached | LastAnswer::Silent | LastAnswer::Unreadable)
    }
}

/// Replicas, and the one that is asked now.
pub(crate) struct Replicas<P> {
    platform: P,
    secret: String,
    /// Given ones first, then learned ones, the newest first.
    known: Vec<Known<P>>,
    current: Option<SocketAddr>,
}

impl<P: Runtime> Replicas<P> {
    pub fn new(platform: P, addresses: &[SocketAddr], secret: &str) -> Self {
        let mut replicas = Self { platform, secret: secret.to_string(), known: Vec::new(), current: None };
        replicas.give(addresses);
        replicas.current = addresses.first().copied();
        replicas
    }

    /// The replica to ask, noted as asked now.
    pub fn ask_current(&mut self) -> Option<Client<P>> {
        let now = self.platform.monotonic();
        let current = self.current?;
        let known = self.known.iter_mut().find(|known| known.address() == current)?;
        known.asked_at = Some(now);
        Some(known.client.clone())
    }

    /// The replica that is asked next.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// The connection to one replica.
    pub fn client_of(&self, address: SocketAddr) -> Option<Client<P>> {
        self.known.iter().find(|known| known.address() == address).map(|known| known.client.clone())
    }

    /// Every replica with its last answer.
    pub fn search(&self) -> LeaderSearch {
        LeaderSearch { replicas: self.known.iter().map(|known| (known.address(), known.last_answer)).collect() }
    }

    /// Takes a replica's answer. One that gave none is passed over for a while.
    pub fn note(&mut self, address: SocketAddr, answer: LastAnswer) {
        let now = self.platform.monotonic();
        if let Some(known) = self.known.iter_mut().find(|known| known.address() == address) {
            known.last_answer = answer;
            if matches!(answer, LastAnswer::NotReached | LastAnswer::Silent) {
                known.passed_over_until = now + PASSED_OVER;
            }
        }
    }

    /// Turns to the replica at `address`, which was named as the leader.
    pub fn choose(&mut self, address: SocketAddr) {
        self.learn(&[address]);
        self.current = Some(address);
    }

    /// Turns to another replica after `asked` was no help: to the first of those that it named and that are known and were not
    /// asked lately, or else to the one asked longest ago. Of calls that failed there together only the first turns.
    pub fn choose_after(&mut self, asked: SocketAddr, named: &[SocketAddr]) {
        let now = self.platform.monotonic();
        let is_of_use = |address: &&SocketAddr| {
            let known = self.known.iter().find(|known| known.address() == **address);
            known.is_some_and(|known| {
                known.passed_over_until <= now && known.asked_at.is_none_or(|at| now >= at + ASKED_LATELY)
            })
        };
        let preferred = named.iter().find(is_of_use).copied();
        self.learn(named);
        if self.current != Some(asked) {
            return;
        }
        self.current = preferred.or_else(|| self.asked_longest_ago(now));
    }

    /// The replica asked longest ago among those that have not been silent lately, or among all if all have.
    fn asked_longest_ago(&self, now: Duration) -> Option<SocketAddr> {
        let answers = self.known.iter().filter(|known| known.passed_over_until <= now);
        let longest_ago = answers.min_by_key(|known| known.asked_at);
        longest_ago.or_else(|| self.known.iter().min_by_key(|known| known.asked_at)).map(Known::address)
    }

    /// Turns to the first of `addresses` that is not known yet, and takes them all: those known were no help so far.
    pub fn search_from(&mut self, addresses: &[SocketAddr]) {
        let new = addresses.iter().find(|address| self.client_of(**address).is_none()).copied();
        self.learn(addresses);
        self.current = new.filter(|new| self.client_of(*new).is_some()).or(self.current);
    }

    /// Takes replicas that another has named, before those that were learned earlier.
    pub fn learn(&mut self, addresses: &[SocketAddr]) {
        let mut place = self.known.iter().filter(|known| known.origin == Origin::Given).count();
        for address in addresses {
            if self.client_of(*address).is_none() && self.make_room(place) {
                self.known.insert(place, self.new_known(*address, Origin::Learned));
                place += 1;
            }
        }
        self.current = self.current.or_else(|| self.known.first().map(Known::address));
    }

    /// Drops a learned replica from `first` on if there are as many as may be: one that has failed, or the oldest that nobody
    /// has asked. `false` if none can go.
    fn make_room(&mut self, first: usize) -> bool {
        if self.known.len() < MOST_REPLICAS {
            return true;
        }
        let learned =
            || self.known.iter().enumerate().skip(first).filter(|(_, known)| Some(known.address()) != self.current);
        let failed = learned().rev().find(|(_, known)| known.has_failed());
        let unasked = || learned().rev().find(|(_, known)| known.asked_at.is_none());
        let place = failed.or_else(unasked).map(|(place, _)| place);
        place.map(|place| self.known.remove(place)).is_some()
    }

    /// Names the given replicas anew. Learned ones stay while the client searches: they may be all that leads to the leader.
    pub fn give_anew(&mut self, addresses: &BTreeSet<SocketAddr>, is_searching: bool) {
        self.known
            .retain(|known| addresses.contains(&known.address()) || is_searching && known.origin == Origin::Learned);
        let addresses: Vec<SocketAddr> = addresses.iter().copied().collect();
        self.give(&addresses);
        let current = self.current.filter(|current| self.client_of(*current).is_some());
        self.current = current.or_else(|| self.known.first().map(Known::address));
    }

    fn give(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            match self.known.iter_mut().find(|known| known.address() == *address) {
                Some(known) => known.origin = Origin::Given,
                None => self.known.push(self.new_known(*address, Origin::Given)),
            }
        }
        self.known.sort_by_key(|known| known.origin == Origin::Learned);
    }

    fn new_known(&self, address: SocketAddr, origin: Origin) -> Known<P> {
        Known {
            client: Client::new(self.platform.clone(), address, &self.secret),
            origin,
            passed_over_until: Duration::ZERO,
            last_answer: LastAnswer::NotAsked,
            asked_at: None,
        }
    }
}
