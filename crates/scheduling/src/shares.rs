//! Shares of recent work by tenant and trainer.
//!
//! Designed for up to some hundred tenants and trainers that compete for the same engines. Work is measured in expected
//! engine time, not in requests: a text of a hundred events counts a hundred times one of a single event. Work counts
//! half after [`HALF_LIFE`], so a trainer that was idle is not favored for longer than that, and one that had much work
//! is not held back for longer.

use saddlerelay_types::identity::TenantId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which served work counts half. Several times the duration of a text, so that a share covers whole texts,
/// and about as long as a few steps of a trainer, beyond which an earlier imbalance matters to nobody.
pub const HALF_LIFE: Duration = Duration::from_secs(20);

/// Recent work below this is forgotten.
const NEGLIGIBLE: Duration = Duration::from_micros(1);

/// A trainer of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Trainer {
    /// The tenant; `None` where the routing document lists no tenants.
    pub tenant: Option<TenantId>,
    /// What distinguishes the trainer from others of its tenant.
    pub name: String,
}

/// Recent work of a trainer and of its tenant, each divided by its weight. The one with less goes first: tenants are
/// compared before the trainers of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Served {
    /// Of all trainers of the tenant.
    pub tenant: Duration,
    /// Of the trainer.
    pub trainer: Duration,
}

/// Work that decays over time.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    seconds: f64,
    at: Duration,
}

impl Account {
    fn seconds_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, seconds: f64, now: Duration) {
        *self = Self { seconds: (self.seconds_at(now) + seconds).max(0.0), at: now };
    }
}

/// Recent work of all tenants and trainers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    tenants: BTreeMap<Option<TenantId>, Account>,
    trainers: BTreeMap<Trainer, Account>,
}

impl Shares {
    /// Counts work of a trainer; with a weight of two, work counts half as much.
    pub fn record(&mut self, trainer: &Trainer, work: Duration, weight: f64, now: Duration) {
        self.add(trainer, work.as_secs_f64() / weight.max(f64::MIN_POSITIVE), now);
    }

    /// Takes back work that was recorded at `recorded_at` but not done.
    pub fn refund(&mut self, trainer: &Trainer, work: Duration, weight: f64, recorded_at: Duration, now: Duration) {
        let recorded = Account { seconds: work.as_secs_f64() / weight.max(f64::MIN_POSITIVE), at: recorded_at };
        self.add(trainer, -recorded.seconds_at(now), now);
    }

    fn add(&mut self, trainer: &Trainer, seconds: f64, now: Duration) {
        if seconds.is_finite() {
            self.tenants.entry(trainer.tenant.clone()).or_default().add(seconds, now);
            self.trainers.entry(trainer.clone()).or_default().add(seconds, now);
        }
    }

    /// Recent work of a trainer and its tenant.
    pub fn served(&self, trainer: &Trainer, now: Duration) -> Served {
        let work = |account: Option<&Account>| {
            let seconds = account.map_or(0.0, |account| account.seconds_at(now));
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        };
        Served { tenant: work(self.tenants.get(&trainer.tenant)), trainer: work(self.trainers.get(trainer)) }
    }

    /// The recent work of each trainer as a fraction of that of all trainers.
    pub fn fractions(&self, now: Duration) -> Vec<(&Trainer, f64)> {
        let total: f64 = self.trainers.values().map(|account| account.seconds_at(now)).sum();
        let fraction = |account: &Account| if total > 0.0 { account.seconds_at(now) / total } else { 0.0 };
        self.trainers.iter().map(|(trainer, account)| (trainer, fraction(account))).collect()
    }

    /// Drops accounts whose work has decayed to nothing, so that the memory used does not grow with past trainers.
    pub fn prune(&mut self, now: Duration) {
        let matters = |account: &Account| account.seconds_at(now) > NEGLIGIBLE.as_secs_f64();
        self.tenants.retain(|_, account| matters(account));
        self.trainers.retain(|_, account| matters(account));
    }

    /// Drops all accounts.
    pub fn clear(&mut self) {
        self.tenants.clear();
        self.trainers.clear();
    }
}
