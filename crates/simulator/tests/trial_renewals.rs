//! Renewal of trial leases: the loss of one renewal does not expire a lease.

use futures::executor::LocalPool;
use saddlerelay_control_client::trials::{CallFailure, TrialLeaseService, TrialLeases};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::World;
use saddlerelay_types::gateway::TrialRequest;
use saddlerelay_types::suspicion::{HeldTrial, TRIAL_LEASE, TRIAL_RENEWAL, TrialResult};
use saddlerelay_types::work::WorkDigest;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time from a request to its response, with a commit.
const RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Renewals as the group observes them.
#[derive(Default)]
struct Renewals {
    /// Time of the latest grant or renewal of each lease.
    at: RefCell<BTreeMap<u64, Duration>>,
    /// Longest time between renewals of a lease.
    longest: Cell<Duration>,
    /// Number of the lease whose first renewal is lost.
    lost_renewal: Cell<Option<u64>>,
}

impl Renewals {
    fn record_renewal(&self, number: u64, now: Duration) {
        if let Some(before) = self.at.borrow_mut().insert(number, now) {
            self.longest.set(self.longest.get().max(now.saturating_sub(before)));
        }
    }
}

struct Group {
    runtime: SimRuntime,
    renewals: Rc<Renewals>,
}

impl TrialLeaseService for Group {
    async fn begin(&self, request: TrialRequest) -> Result<TrialResult, CallFailure> {
        self.runtime.sleep(RESPONSE_TIME).await;
        self.renewals.record_renewal(request.id.number, self.runtime.monotonic());
        Ok(TrialResult::Granted)
    }

    async fn renew(&self, leases: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, CallFailure> {
        let is_lost = leases.iter().any(|lease| Some(lease.id.number) == self.renewals.lost_renewal.get());
        if is_lost {
            self.renewals.lost_renewal.set(None);
            self.runtime.sleep(TRIAL_RENEWAL).await;
            return Err("the group did not reply in time".to_string());
        }
        self.runtime.sleep(RESPONSE_TIME).await;
        leases.iter().for_each(|lease| self.renewals.record_renewal(lease.id.number, self.runtime.monotonic()));
        Ok(Vec::new())
    }

    async fn end(&self, _: HeldTrial) -> Result<(), CallFailure> {
        Ok(())
    }
}

/// Longest time between renewals when a process requests a second lease `delay` after the first. The first renewal of
/// the lease with the number `lost_renewal` is lost.
fn longest_renewal_gap(delay: Duration, lost_renewal: Option<u64>) -> Duration {
    let (world, mut pool): (Rc<World>, LocalPool) = World::new(1);
    let process = world.start_process("holder", 0, 0);
    let runtime = SimRuntime { world: world.clone(), process: process.clone() };
    let renewals = Rc::new(Renewals::default());
    renewals.lost_renewal.set(lost_renewal);
    let group = Group { runtime: runtime.clone(), renewals: renewals.clone() };
    world.spawn(&process, async move {
        let trial_leases = TrialLeases::start(runtime.clone(), group);
        let limit = Duration::from_secs(40);
        let _first = trial_leases.begin(WorkDigest::of_post_request(None, "host", "/", b"first"), limit).await;
        runtime.sleep(delay).await;
        let _second = trial_leases.begin(WorkDigest::of_post_request(None, "host", "/", b"second"), limit).await;
        runtime.sleep(Duration::from_secs(10)).await;
    });
    world.run(&mut pool, Duration::from_secs(8), || false);
    renewals.longest.get()
}

#[test]
fn a_lost_renewal_does_not_expire_a_lease() {
    for step in 0..50 {
        let delay = Duration::from_millis(1_000 + step * 20);
        let gap = longest_renewal_gap(delay, Some(2));
        // Replicas check for expiry every 100 ms, and a holder does not use an expired lease.
        assert!(gap < TRIAL_LEASE, "second lease requested {delay:?} after the first: no renewal for {gap:?}");
    }
}

#[test]
fn a_lease_is_renewed_four_times_per_lease_duration() {
    for step in 0..50 {
        let delay = Duration::from_millis(1_000 + step * 20);
        let gap = longest_renewal_gap(delay, None);
        assert!(
            gap < TRIAL_LEASE / 4 + TRIAL_RENEWAL / 4,
            "second lease requested {delay:?} after the first: no renewal for {gap:?}"
        );
    }
}
