//! The condition of the links between the parties of a soak, by direction.

use saddlerelay_runtime::signal::Signal;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Someone who opens connections or takes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A gateway process.
    Gateway(u8),
    /// A coordinator process.
    Coordinator(u8),
    /// A stand-in engine.
    Engine(u8),
    /// Clients, trainers and operators.
    Outside,
}

/// What happens to the bytes that go one way between two parties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// They arrive.
    #[default]
    Open,
    /// They arrive late by this long.
    Delayed(Duration),
    /// So many pieces in a thousand are lost, and sent again as TCP does. Each connection loses pieces for itself, and what
    /// follows a lost piece waits behind it.
    Lossy(u32),
    /// They are held back until the link heals.
    Silent,
    /// Their connections are reset, and no new one comes up.
    Reset,
}

/// First wait before a lost piece is sent again; it doubles with each loss in a row (Linux: 200 ms at least).
const RESEND: Duration = Duration::from_millis(200);

/// The same of the first packet of a connection (RFC 6298: 1 s).
const CONNECT_RESEND: Duration = Duration::from_secs(1);

/// Doublings at most.
const MOST_RESENDS: u32 = 6;

/// How long losses in a row hold a piece up.
fn resend_time(lost_per_mille: u32, first: Duration) -> Duration {
    let losses = (0..MOST_RESENDS).take_while(|_| fastrand::u32(..1000) < lost_per_mille);
    losses.map(|loss| first * (1 << loss)).sum()
}

/// Every link. Clones share them.
#[derive(Clone, Default)]
pub struct Links {
    conditions: Rc<RefCell<BTreeMap<(Party, Party), Condition>>>,
    /// Parties at whose addresses nobody listens.
    down: Rc<RefCell<BTreeSet<Party>>>,
    changed: Rc<Signal>,
}

impl Links {
    /// What happens to bytes from `from` to `to`.
    pub fn condition(&self, from: Party, to: Party) -> Condition {
        self.conditions.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Sets what happens to bytes from `from` to `to`.
    pub fn set(&self, from: Party, to: Party, condition: Condition) {
        self.conditions.borrow_mut().insert((from, to), condition);
        self.changed.notify();
    }

    /// Sets both directions between two parties.
    pub fn set_both(&self, one: Party, other: Party, condition: Condition) {
        self.set(one, other, condition);
        self.set(other, one, condition);
    }

    /// Whether nobody listens at a party's address.
    pub fn is_down(&self, party: Party) -> bool {
        self.down.borrow().contains(&party)
    }

    /// Has connections to a party refused, as the machine of a process that has ended refuses them, or no longer.
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

    /// Waits until a party's address is as wanted: down or not.
    pub async fn until_down_is(&self, party: Party, wanted: bool) {
        loop {
            let seen = self.changed.count();
            if self.is_down(party) == wanted {
                return;
            }
            self.changed.changed(seen).await;
        }
    }

    /// Opens every link.
    pub fn heal_all(&self) {
        self.conditions.borrow_mut().clear();
        self.down.borrow_mut().clear();
        self.changed.notify();
    }

    /// Waits until bytes from `from` to `to` may go on; `false` if their connection is to be reset.
    pub async fn pass(&self, from: Party, to: Party) -> bool {
        loop {
            let seen = self.changed.count();
            match self.condition(from, to) {
                Condition::Open => return true,
                Condition::Delayed(delay) => {
                    compio::time::sleep(delay).await;
                    return true;
                }
                Condition::Lossy(per_mille) => {
                    compio::time::sleep(resend_time(per_mille, RESEND)).await;
                    return true;
                }
                Condition::Reset => return false,
                Condition::Silent => self.changed.changed(seen).await,
            }
        }
    }

    /// Waits until a connection may come up; `false` if it is to be reset. Delays concern what goes over it.
    pub async fn may_connect(&self, from: Party, to: Party) -> bool {
        loop {
            let seen = self.changed.count();
            match self.condition(from, to) {
                Condition::Open | Condition::Delayed(_) => return true,
                Condition::Lossy(per_mille) => {
                    compio::time::sleep(resend_time(per_mille, CONNECT_RESEND)).await;
                    return true;
                }
                Condition::Reset => return false,
                Condition::Silent => self.changed.changed(seen).await,
            }
        }
    }

    /// Waits until a connection between two parties is to be reset.
    pub async fn until_reset(&self, one: Party, other: Party) {
        loop {
            let seen = self.changed.count();
            let resets = |from, to| self.condition(from, to) == Condition::Reset;
            if resets(one, other) || resets(other, one) {
                return;
            }
            self.changed.changed(seen).await;
        }
    }
}
