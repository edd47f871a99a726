//! Shares of recent work.

use saddlerelay_scheduling::shares::{HALF_LIFE, Shares, Trainer};
use saddlerelay_types::identity::TenantId;
use std::time::Duration;

fn trainer(tenant: &str, name: &str) -> Trainer {
    Trainer { tenant: Some(TenantId::new(tenant)), name: name.to_string() }
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Guards against work that is held against a trainer for ever.
#[test]
fn work_counts_less_as_it_ages() {
    let mut shares = Shares::default();
    let trainer = trainer("a", "t");
    shares.record(&trainer, Duration::from_secs(8), 1.0, Duration::ZERO);
    assert!((seconds(shares.served(&trainer, HALF_LIFE).trainer) - 4.0).abs() < 1e-6);
    shares.prune(HALF_LIFE * 60);
    assert!(shares.fractions(HALF_LIFE * 60).is_empty(), "decayed accounts are kept");
}

/// Guards against work that was charged but not done, for example at an engine that rejects everything.
#[test]
fn work_that_was_not_done_is_taken_back() {
    let mut shares = Shares::default();
    let trainer = trainer("a", "t");
    let (recorded_at, now) = (Duration::from_secs(5), Duration::from_secs(12));
    shares.record(&trainer, Duration::from_secs(8), 2.0, recorded_at);
    shares.refund(&trainer, Duration::from_secs(8), 2.0, recorded_at, now);
    assert!(seconds(shares.served(&trainer, now).trainer) < 1e-6);
    assert!(seconds(shares.served(&trainer, now).tenant) < 1e-6);
}

/// Guards against weights without effect, and against tenants that are confused with their trainers.
#[test]
fn work_is_divided_by_weight_and_summed_by_tenant() {
    let mut shares = Shares::default();
    let (first, second, other) = (trainer("a", "1"), trainer("a", "2"), trainer("b", "1"));
    shares.record(&first, Duration::from_secs(6), 2.0, Duration::ZERO);
    shares.record(&second, Duration::from_secs(1), 1.0, Duration::ZERO);
    shares.record(&other, Duration::from_secs(4), 1.0, Duration::ZERO);
    let served = shares.served(&first, Duration::ZERO);
    assert_eq!((served.trainer, served.tenant), (Duration::from_secs(3), Duration::from_secs(4)));
    assert_eq!(shares.served(&other, Duration::ZERO).tenant, Duration::from_secs(4));
    let fractions: Vec<f64> = shares.fractions(Duration::ZERO).into_iter().map(|(_, fraction)| fraction).collect();
    assert_eq!(fractions, [0.375, 0.125, 0.5]);
}
