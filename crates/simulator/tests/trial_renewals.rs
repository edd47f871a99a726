//! A holder's renewals: one that is lost costs no right.

use futures::executor::LocalPool;
use saddlerelay_control_client::trials::{NoAnswer, TrialGroup, TrialKeeper};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::World;
use saddlerelay_types::gateway::TrialRequest;
use saddlerelay_types::suspicion::{HeldTrial, TRIAL_LEASE, TRIAL_RENEWAL, TrialAnswer};
use saddlerelay_types::work::WorkDigest;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// From a question to its answer: a commit and the network.
const ANSWERED_AFTER: Duration = Duration::from_millis(10);

/// What the group sees, by its clock.
#[derive(Default)]
struct Seen {
    /// When each right was granted or renewed last.
    at: RefCell<BTreeMap<u64, Duration>>,
    /// The longest time without a renewal.
    longest: Cell<Duration>,
    /// The first renewal of this right is lost on its way.
    loses: Cell<Option<u64>>,
}

impl Seen {
    fn note(&self, number: u64, now: Duration) {
        if let Some(before) = self.at.borrow_mut().insert(number, now) {
            self.longest.set(self.longest.get().max(now.saturating_sub(before)));
        }
    }
}

struct Group {
    runtime: SimRuntime,
    seen: Rc<Seen>,
}

impl TrialGroup for Group {
    async fn begin(&self, request: TrialRequest) -> Result<TrialAnswer, NoAnswer> {
        self.runtime.sleep(ANSWERED_AFTER).await;
        self.seen.note(request.id.number, self.runtime.monotonic());
        Ok(TrialAnswer::Granted)
    }

    async fn renew(&self, held: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, NoAnswer> {
        let is_lost = held.iter().any(|right| Some(right.id.number) == self.seen.loses.get());
        if is_lost {
            self.seen.loses.set(None);
            self.runtime.sleep(TRIAL_RENEWAL).await;
            return Err("no answer in time".to_string());
        }
        self.runtime.sleep(ANSWERED_AFTER).await;
        held.iter().for_each(|right| self.seen.note(right.id.number, self.runtime.monotonic()));
        Ok(Vec::new())
    }

    async fn end(&self, _: HeldTrial) -> Result<(), NoAnswer> {
        Ok(())
    }
}

/// The longest time for which the group hears of no renewal of a right, when a process that holds one asks for a second `later`,
/// and `loses` is the right whose first renewal is lost.
fn longest_silence(later: Duration, loses: Option<u64>) -> Duration {
    let (world, mut pool): (Rc<World>, LocalPool) = World::new(1);
    let process = world.start_process("holder", 0, 0);
    let runtime = SimRuntime { world: world.clone(), process: process.clone() };
    let seen = Rc::new(Seen::default());
    seen.loses.set(loses);
    let group = Group { runtime: runtime.clone(), seen: seen.clone() };
    world.spawn(&process, async move {
        let keeper = TrialKeeper::start(runtime.clone(), group);
        let limit = Duration::from_secs(40);
        let _first = keeper.begin(WorkDigest::of_posted(None, "host", "/", b"first"), limit).await;
        runtime.sleep(later).await;
        let _second = keeper.begin(WorkDigest::of_posted(None, "host", "/", b"second"), limit).await;
        runtime.sleep(Duration::from_secs(10)).await;
    });
    world.run(&mut pool, Duration::from_secs(8), || false);
    seen.longest.get()
}

#[test]
fn a_renewal_that_is_lost_costs_no_right() {
    for step in 0..50 {
        let later = Duration::from_millis(1_000 + step * 20);
        let silence = longest_silence(later, Some(2));
        // The replicas look every 100 ms, and a holder does not use a right beyond its lease.
        assert!(silence < TRIAL_LEASE, "asked for {later:?} after the first: not renewed for {silence:?}");
    }
}

#[test]
fn a_right_is_renewed_four_times_in_a_lease() {
    for step in 0..50 {
        let later = Duration::from_millis(1_000 + step * 20);
        let silence = longest_silence(later, None);
        assert!(silence < TRIAL_LEASE / 4 + TRIAL_RENEWAL / 4, "{later:?}: not renewed for {silence:?}");
    }
}
