//! A zone that loses packets to all others while the group is led from there.
//!
//! The zone is made of the coordinator that leads at that moment, another coordinator and a gateway. Its links hold frames up as
//! lost packets do. The lead has to go to another zone, and voters there keep their places. All coordinators are killed before or
//! after that, and whoever is elected, the lead has to be in another zone again soon.

use crate::case::Case;
use crate::deployment::{Lead, MemberKind};
use crate::faults::{Faults, Hold};
use crate::links::{Condition, Party};
use crate::plan::{ENGINES, Fault, Planned, milliseconds};
use crate::proof::Proof;
use anyhow::Result;
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Pieces in a thousand that are lost.
const LOST_PER_MILLE: u32 = 200;

/// When the zone begins to lose packets, in milliseconds.
const BEGINS_MS: Range<u64> = 1_000..4_000;

/// From the beginning, or from the hand-over, until all coordinators are killed, in milliseconds.
const CALM_MS: Range<u64> = 0..3_000;

/// How long all coordinators are down, in milliseconds.
const DOWN_MS: Range<u64> = 100..1_000;

/// Pause between looks for a leader.
const POLL: Duration = Duration::from_millis(50);

/// What the lead has to do.
const PROMISE: &str = "a leader whose zone loses packets hands its lead over";

/// How a zone loses packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossyZone {
    /// How far the zone's other coordinator stands behind the leader in the order of their numbers.
    pub companion: u8,
    /// The zone's gateway.
    pub gateway: u8,
    /// Whether all coordinators are killed after the lead has gone to another zone, or while it is still there.
    pub killed_after_handover: bool,
    /// How long before that nothing else happens.
    pub calm: Duration,
    /// How long all coordinators are down.
    pub down: Duration,
}

/// Draws the fault of a case.
pub fn draw(case: Case) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let at = milliseconds(&mut random, BEGINS_MS);
    let zone = LossyZone {
        companion: random.u8(1..case.size.coordinators),
        gateway: random.u8(..case.size.gateways),
        killed_after_handover: random.bool(),
        calm: milliseconds(&mut random, CALM_MS),
        down: milliseconds(&mut random, DOWN_MS),
    };
    vec![Planned { at, fault: Fault::LossyZone(zone) }]
}

impl Faults {
    /// Has the leader's zone lose packets, and proves that the lead leaves it.
    pub(crate) async fn lose_packets(&self, zone: LossyZone) -> Result<()> {
        let holds = self.hold_all().await;
        let first = self.await_lead().await;
        let companion = (first.number + zone.companion) % self.deployment.addresses.size.coordinators;
        let inside = [Party::Coordinator(first.number), Party::Coordinator(companion), Party::Gateway(zone.gateway)];
        self.tell(&format!("{inside:?}: {LOST_PER_MILLE} pieces in a thousand are lost"));
        self.set_zone(&inside, Condition::Lossy(LOST_PER_MILLE));
        let voters = self.voters_outside(&inside);
        if zone.killed_after_handover {
            self.prove_led_from_outside(&inside, &first, "while it runs").await;
        }
        compio::time::sleep(zone.calm).await;
        self.check_voters(&voters);
        self.tell("all coordinators are killed");
        let last = self.await_lead().await;
        self.kill_together(coordinators_of(&holds).into_iter(), zone.down).await?;
        self.prove_led_from_outside(&inside, &last, "after all coordinators were killed").await;
        self.set_zone(&inside, Condition::Open);
        Ok(())
    }

    async fn await_lead(&self) -> Lead {
        loop {
            if let Some(lead) = self.deployment.newest_lead() {
                return lead;
            }
            compio::time::sleep(POLL).await;
        }
    }

    fn set_zone(&self, inside: &[Party], condition: Condition) {
        let engines = (0..ENGINES).map(Party::Engine);
        let everyone = self.deployment.processes().into_iter().chain(engines);
        for other in everyone.filter(|party| !inside.contains(party)) {
            for party in inside {
                self.deployment.links.set_both(*party, other, condition);
            }
        }
    }

    /// A lead that begins after `before` has to be outside.
    async fn prove_led_from_outside(&self, inside: &[Party], before: &Lead, when: &str) {
        let is_outside = || async {
            let lead = self.deployment.newest_lead();
            lead.is_some_and(|lead| lead > *before && !inside.contains(&Party::Coordinator(lead.number)))
        };
        let proof = Proof::begin(PROMISE, &self.journal);
        proof.prove(when.to_string(), is_outside).await;
        self.tell(&format!("led by {:?}, {when}", self.deployment.leader()));
    }

    fn voters_outside(&self, inside: &[Party]) -> Vec<u8> {
        let numbers = 0..self.deployment.addresses.size.coordinators;
        let outside = numbers.filter(|number| !inside.contains(&Party::Coordinator(*number)));
        outside.filter(|number| self.deployment.membership_of(*number) == MemberKind::Voter).collect()
    }

    fn check_voters(&self, voters: &[u8]) {
        for number in voters {
            if self.deployment.membership_of(*number) != MemberKind::Voter {
                self.journal.violation("sound voters keep their places", format!("coordinator {number} votes no more"));
            }
        }
    }
}

fn coordinators_of(holds: &[Hold]) -> Vec<Party> {
    let parties = holds.iter().map(|hold| hold.party);
    parties.filter(|party| matches!(party, Party::Coordinator(_))).collect()
}
