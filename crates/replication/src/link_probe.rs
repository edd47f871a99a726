//! Link probes, which measure for about a second how well this replica reaches each voter.
//!
//! A replica with a bad link to a peer cannot determine which end causes it. The probes show whether its links to the
//! other voters are better.

use crate::calls::Channel;
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::StateMachine;
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::cell::Cell;
use std::time::Duration;

/// Probes to each voter. At 20 % packet loss, 99.5 % of the rounds of this size lose at least one packet.
const PROBES_PER_VOTER: u32 = 12;

/// Interval between two probes to one voter.
const PROBE_INTERVAL: Duration = Duration::from_millis(70);

/// Timeout of one probe; long enough for one retransmission.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A link is bad if the reply to at least one in this many probes is late or missing.
const BAD_LINK_DIVISOR: u32 = 3;

/// Term of a probe. No leader has this term, so replicas reply without recording contact with a leader.
const PROBE_TERM: u64 = 0;

/// Result of a probe round.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkProbe {
    /// The voters, each with the number of its probes whose reply was late or missing.
    voters: Vec<(Member, u32)>,
}

impl LinkProbe {
    /// Number of voters, without `excluded`, that replied to all probes promptly.
    pub fn prompt_voters_except(&self, excluded: Option<ReplicaId>) -> usize {
        let counted = self.voters.iter().filter(|(voter, _)| Some(voter.id) != excluded);
        counted.filter(|(_, late)| *late == 0).count()
    }

    /// Whether, of the voters that `concerns` selects, none replied to all probes promptly, and there are such voters.
    pub fn are_all_late(&self, concerns: impl Fn(&Member) -> bool) -> bool {
        let mut concerned = self.voters.iter().filter(|(voter, _)| concerns(voter)).peekable();
        concerned.peek().is_some() && concerned.all(|(_, late)| *late > 0)
    }

    /// Whether the link to a voter is bad.
    pub fn is_link_bad(&self, voter: ReplicaId) -> bool {
        self.voters.iter().any(|(probed, late)| probed.id == voter && late * BAD_LINK_DIVISOR >= PROBES_PER_VOTER)
    }

    /// Describes the late or missing replies of each voter for log lines.
    pub fn describe_late_probes(&self) -> String {
        let late = self.voters.iter().map(|(voter, late)| format!("{}:{late}", voter.address));
        late.collect::<Vec<_>>().join(" ")
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Probes all other voters, which takes about a second.
    pub(crate) async fn probe_voters(&self) -> LinkProbe {
        let voters: Vec<Member> = {
            let state = self.inner.state.borrow();
            let own = state.identity.id;
            state.membership().voters().filter(|voter| voter.id != own).cloned().collect()
        };
        let late = join_all(voters.iter().map(|voter| self.probe(voter))).await;
        LinkProbe { voters: voters.into_iter().zip(late).collect() }
    }

    /// Returns the number of probes to which the voter replied late or not at all.
    async fn probe(&self, voter: &Member) -> u32 {
        // The first probe opens the connection and is not counted.
        let probes = (0..=PROBES_PER_VOTER).map(|number| async move {
            self.inner.platform.sleep(PROBE_INTERVAL * number).await;
            let is_prompt = self.replies_promptly(voter).await;
            u32::from(number > 0 && !is_prompt)
        });
        join_all(probes).await.into_iter().sum()
    }

    async fn replies_promptly(&self, voter: &Member) -> bool {
        let header: Header = self.header(voter.id, PROBE_TERM);
        let request = ReplicaRequest::Heartbeat { header };
        let is_late = Cell::new(false);
        let call = self.try_send(Channel::Probes, voter.address, &request, PROBE_TIMEOUT);
        let reply = self.detect_late_reply(call, || is_late.set(true)).await;
        matches!(reply, Ok(ReplicaReply::Heartbeat { .. })) && !is_late.get()
    }
}
