//! Conditions of the links between the parties of a soak, per direction.

use saddlerelay_runtime::signal::Signal;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// An endpoint of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A gateway process.
    Gateway(u8),
    /// A coordinator process.
    Coordinator(u8),
    /// A simulated engine.
    Engine(u8),
    /// Clients, trainers and operators.
    Outside,
}

/// Condition of one direction between two parties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Bytes are delivered.
    #[default]
    Open,
    /// Each chunk is delivered after this delay.
    Delayed(Duration),
    /// Chunks lost, per thousand, and retransmitted as TCP does. Losses are independent per connection, and later
    /// chunks of a connection wait for a lost one.
    Lossy(u32),
    /// Bytes are held until the link heals.
    Silent,
    /// Connections are reset and new ones are rejected.
    Reset,
}

/// Initial retransmission timeout, doubled after each consecutive loss (Linux: at least 200 ms).
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Initial retransmission timeout of a SYN (RFC 6298: 1 s).
const CONNECT_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of consecutive losses.
const MAX_RETRANSMISSIONS: u32 = 6;

/// Total delay of a chunk by consecutive losses.
fn retransmission_delay(lost_per_mille: u32, first: Duration) -> Duration {
    let losses = (0..MAX_RETRANSMISSIONS).take_while(|_| fastrand::u32(..1000) < lost_per_mille);
    losses.map(|loss| first * (1 << loss)).sum()
}

/// Conditions of all links. Clones share state.
#[derive(Clone, Default)]
pub struct Links {
    conditions: Rc<RefCell<BTreeMap<(Party, Party), Condition>>>,
    /// Parties whose addresses refuse connections.
    down: Rc<RefCell<BTreeSet<Party>>>,
    changed: Rc<Signal>,
}

impl Links {
    /// Condition of the direction from `from` to `to`.
    pub fn condition(&self, from: Party, to: Party) -> Condition {
        self.conditions.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Sets the condition of the direction from `from` to `to`.
    pub fn set(&self, from: Party, to: Party, condition: Condition) {
        self.conditions.borrow_mut().insert((from, to), condition);
        self.changed.notify();
    }

    /// Sets both directions between two parties.
    pub fn set_both(&self, one: Party, other: Party, condition: Condition) {
        self.set(one, other, condition);
        self.set(other, one, condition);
    }

    /// Whether a party's address refuses connections.
    pub fn is_down(&self, party: Party) -> bool {
        self.down.borrow().contains(&party)
    }

    /// Makes connections to a party be refused, as after the end of its process, or accepted again.
    pub fn set_down(&self, party: Party, down: bool) {
        let mut parties = self.down.borrow_mut();
        if down {
            parties.insert(party)
        } else {
            parties.remove(&party)
        };
        drop(parties);
        self.changed.notify();
    }

    /// Waits until a party's address refuses connections, or accepts them.
    pub async fn wait_until_down_is(&self, party: Party, expected: bool) {
        loop {
            let change_count = self.changed.count();
            if self.is_down(party) == expected {
                return;
            }
            self.changed.changed(change_count).await;
        }
    }

    /// Resets all links to open and all parties to up.
    pub fn heal_all(&self) {
        self.conditions.borrow_mut().clear();
        self.down.borrow_mut().clear();
        self.changed.notify();
    }

    /// Waits until bytes from `from` to `to` may be forwarded; `false` if the connection must be reset.
    pub async fn wait_to_forward(&self, from: Party, to: Party) -> bool {
        loop {
            let change_count = self.changed.count();
            match self.condition(from, to) {
                Condition::Open => return true,
                Condition::Delayed(delay) => {
                    compio::time::sleep(delay).await;
                    return true;
                }
                Condition::Lossy(per_mille) => {
                    compio::time::sleep(retransmission_delay(per_mille, RETRANSMISSION_TIMEOUT)).await;
                    return true;
                }
                Condition::Reset => return false,
                Condition::Silent => self.changed.changed(change_count).await,
            }
        }
    }

    /// Waits until a connection may be established; `false` if it must be reset. Delays apply only to its data.
    pub async fn wait_to_connect(&self, from: Party, to: Party) -> bool {
        loop {
            let change_count = self.changed.count();
            match self.condition(from, to) {
                Condition::Open | Condition::Delayed(_) => return true,
                Condition::Lossy(per_mille) => {
                    compio::time::sleep(retransmission_delay(per_mille, CONNECT_RETRANSMISSION_TIMEOUT)).await;
                    return true;
                }
                Condition::Reset => return false,
                Condition::Silent => self.changed.changed(change_count).await,
            }
        }
    }

    /// Whether the link delivers bytes late without losing any.
    pub fn is_delayed(&self, from: Party, to: Party) -> bool {
        matches!(self.condition(from, to), Condition::Delayed(_))
    }

    /// Waits while the link delivers nothing.
    pub async fn wait_while_silent(&self, from: Party, to: Party) {
        loop {
            let change_count = self.changed.count();
            if self.condition(from, to) != Condition::Silent {
                return;
            }
            self.changed.changed(change_count).await;
        }
    }

    /// Waits until connections between two parties must be reset.
    pub async fn wait_for_reset(&self, one: Party, other: Party) {
        loop {
            let change_count = self.changed.count();
            let resets = |from, to| self.condition(from, to) == Condition::Reset;
            if resets(one, other) || resets(other, one) {
                return;
            }
            self.changed.changed(change_count).await;
        }
    }
}
