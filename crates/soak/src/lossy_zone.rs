//! Packet loss between the leader's zone and all other zones.
//!
//! The zone consists of the current leader, another coordinator and a gateway. Leadership must move to another zone,
//! and voters in other zones must remain voters. All coordinators are killed before or after the leadership
//! change; afterwards, too, a coordinator of another zone must become leader in time.

use crate::case::Case;
use crate::convergence::ConvergenceCheck;
use crate::deployment::{LeadershipChange, MembershipRole};
use crate::faults::{FaultInjector, Reservation};
use crate::links::{Condition, Party};
use crate::plan::{ENGINES, Fault, Planned, milliseconds};
use anyhow::Result;
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Lost chunks per thousand.
const LOST_PER_MILLE: u32 = 200;

/// Start of the packet loss, in milliseconds.
const BEGINS_MS: Range<u64> = 1_000..4_000;

/// Time from the start of the packet loss, or from the leadership change, until all coordinators are killed, in
/// milliseconds.
const QUIET_MS: Range<u64> = 0..3_000;

/// Downtime of the killed coordinators, in milliseconds.
const DOWN_MS: Range<u64> = 100..1_000;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

const INVARIANT: &str = "leadership moves out of a zone that loses packets";

/// Parameters of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossyZone {
    /// Offset of the zone's other coordinator from the leader, modulo the number of coordinators.
    pub companion: u8,
    /// Gateway in the zone.
    pub gateway: u8,
    /// Whether all coordinators are killed after the leadership change rather than before it.
    pub killed_after_handover: bool,
    /// Time without further faults before the kill.
    pub calm: Duration,
    /// Downtime of the killed coordinators.
    pub down: Duration,
}

/// Generates the fault of a case.
pub fn draw(case: Case) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let at = milliseconds(&mut random, BEGINS_MS);
    let zone = LossyZone {
        companion: random.u8(1..case.size.coordinators),
        gateway: random.u8(..case.size.gateways),
        killed_after_handover: random.bool(),
        calm: milliseconds(&mut random, QUIET_MS),
        down: milliseconds(&mut random, DOWN_MS),
    };
    vec![Planned { at, fault: Fault::LossyZone(zone) }]
}

impl FaultInjector {
    /// Injects the packet loss and checks that leadership leaves the zone.
    pub(crate) async fn inject_packet_loss(&self, zone: LossyZone) -> Result<()> {
        let reservations = self.reserve_all().await;
        let first_change = self.wait_for_leader().await;
        let companion = (first_change.number + zone.companion) % self.deployment.addresses.size.coordinators;
        let zone_parties =
            [Party::Coordinator(first_change.number), Party::Coordinator(companion), Party::Gateway(zone.gateway)];
        self.log_fault(&format!("{zone_parties:?}: {LOST_PER_MILLE} chunks per thousand are lost"));
        self.set_zone(&zone_parties, Condition::Lossy(LOST_PER_MILLE));
        let voters = self.voters_outside(&zone_parties);
        if zone.killed_after_handover {
            self.check_leader_outside(&zone_parties, &first_change, "while it runs").await;
        }
        compio::time::sleep(zone.calm).await;
        self.check_voters(&voters);
        self.log_fault("all coordinators are killed");
        let last_change = self.wait_for_leader().await;
        self.kill_together(coordinators_of(&reservations).into_iter(), zone.down).await?;
        self.check_leader_outside(&zone_parties, &last_change, "after all coordinators were killed").await;
        self.set_zone(&zone_parties, Condition::Open);
        Ok(())
    }

    async fn wait_for_leader(&self) -> LeadershipChange {
        loop {
            if let Some(newest) = self.deployment.latest_leadership_change() {
                return newest;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn set_zone(&self, zone_parties: &[Party], condition: Condition) {
        let engines = (0..ENGINES).map(Party::Engine);
        let all_parties = self.deployment.processes().into_iter().chain(engines);
        for other in all_parties.filter(|party| !zone_parties.contains(party)) {
            for party in zone_parties {
                self.deployment.links.set_both(*party, other, condition);
            }
        }
    }

    /// Checks that a coordinator outside the zone becomes leader after `previous`.
    async fn check_leader_outside(&self, zone_parties: &[Party], previous: &LeadershipChange, when: &str) {
        let is_outside = || async {
            let newest = self.deployment.latest_leadership_change();
            newest
                .is_some_and(|newest| newest > *previous && !zone_parties.contains(&Party::Coordinator(newest.number)))
        };
        let check = ConvergenceCheck::begin(INVARIANT, &self.journal);
        check.wait_for(when.to_string(), is_outside).await;
        self.log_fault(&format!("led by {:?}, {when}", self.deployment.leader()));
    }

    fn voters_outside(&self, zone_parties: &[Party]) -> Vec<u8> {
        let numbers = 0..self.deployment.addresses.size.coordinators;
        let outside = numbers.filter(|number| !zone_parties.contains(&Party::Coordinator(*number)));
        outside.filter(|number| self.deployment.membership_of(*number) == MembershipRole::Voter).collect()
    }

    fn check_voters(&self, voters: &[u8]) {
        for number in voters {
            if self.deployment.membership_of(*number) != MembershipRole::Voter {
                self.journal.violation(
                    "voters outside a lossy zone remain voters",
                    format!("coordinator {number} is no longer a voter"),
                );
            }
        }
    }
}

fn coordinators_of(reservations: &[Reservation]) -> Vec<Party> {
    let parties = reservations.iter().map(|reservation| reservation.party);
    parties.filter(|party| matches!(party, Party::Coordinator(_))).collect()
}
