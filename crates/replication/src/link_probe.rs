//! Probes: how well this replica reaches each voter over the next second.
//!
//! A replica that hears another one badly does not know which of the two has the bad links. What it can tell is whether it
//! reaches the others better over the same time.

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

/// Messages to each voter. Of 12 each way at least one is lost nearly always (99.5 %) where a fifth of all packets are.
const PROBES: u32 = 12;

/// Pause between two messages to one voter.
const PROBE_INTERVAL: Duration = Duration::from_millis(70);

/// Time limit of one message: a packet that is sent again arrives within it.
const PROBE_LIMIT: Duration = Duration::from_millis(300);

/// A voter is badly reached if one message in so many, or more, is answered late.
const BAD_DIVISOR: u32 = 3;

/// The term of a probe. No leader has it: replicas answer from memory, and take no notice of the sender.
const PROBE_TERM: u64 = 0;

/// How many messages each voter answered late, or not at all.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkProbe {
    voters: Vec<(Member, u32)>,
}

impl LinkProbe {
    /// Voters other than `left_out` that answered every message promptly.
    pub fn sound_without(&self, left_out: Option<ReplicaId>) -> usize {
        let counted = self.voters.iter().filter(|(voter, _)| Some(voter.id) != left_out);
        counted.filter(|(_, late)| *late == 0).count()
    }

    /// Whether a voter answered many messages late.
    pub fn is_bad(&self, voter: ReplicaId) -> bool {
        self.voters.iter().any(|(probed, late)| probed.id == voter && late * BAD_DIVISOR >= PROBES)
    }

    /// For operators: the late messages of each voter.
    pub fn late(&self) -> String {
        let late = self.voters.iter().map(|(voter, late)| format!("{}:{late}", voter.address));
        late.collect::<Vec<_>>().join(" ")
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Probes every other voter; takes about a second.
    pub(crate) async fn probe_voters(&self) -> LinkProbe {
        let voters: Vec<Member> = {
            let state = self.inner.state.borrow();
            let own = state.identity.id;
            state.membership().voters().filter(|voter| voter.id != own).cloned().collect()
        };
        let late = join_all(voters.iter().map(|voter| self.probe(voter))).await;
        LinkProbe { voters: voters.into_iter().zip(late).collect() }
    }

    /// Returns how many messages a voter answered late.
    async fn probe(&self, voter: &Member) -> u32 {
        // The first one opens the connection and is not counted.
        let probes = (0..=PROBES).map(|number| async move {
            self.inner.platform.sleep(PROBE_INTERVAL * number).await;
            let is_prompt = self.is_answered_promptly(voter).await;
            u32::from(number > 0 && !is_prompt)
        });
        join_all(probes).await.into_iter().sum()
    }

    async fn is_answered_promptly(&self, voter: &Member) -> bool {
        let header: Header = self.header(voter.id, PROBE_TERM);
        let request = ReplicaRequest::Heartbeat { header };
        let is_late = Cell::new(false);
        let call = self.try_send(Channel::Probes, voter.address, &request, PROBE_LIMIT);
        let reply = self.watch_promptness(call, || is_late.set(true)).await;
        matches!(reply, Ok(ReplicaReply::Heartbeat { .. })) && !is_late.get()
    }
}
