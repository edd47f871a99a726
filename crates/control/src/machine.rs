//! The replicated state as replication's state machine.

use crate::commands;
use crate::state::ControlState;
use saddlerelay_replication::StateMachine;
use saddlerelay_replication::segments::Segment;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{CommandOutcome, LogCommand};
use std::rc::Rc;

/// Applies committed commands to [`ControlState`].
#[derive(Default)]
pub struct ControlMachine {
    state: ControlState,
}

impl ControlMachine {
    /// The state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }
}

impl StateMachine for ControlMachine {
    type Outcome = CommandOutcome;
    const FORMAT: u32 = 9;

    fn apply(&mut self, command: &[u8]) -> CommandOutcome {
        let command: LogCommand = bitcode::decode(command).expect("the log holds only what a leader encoded");
        commands::apply(&mut self.state, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(&self.state)
    }

    fn segments(&self) -> Vec<Segment> {
        self.state.jobs.texts().segments()
    }

    fn segment_bytes(&self, number: u64) -> Option<Rc<Vec<u8>>> {
        self.state.jobs.texts().segment_bytes(number)
    }

    fn unreleased_segment(&self) -> Option<Segment> {
        self.state.jobs.texts().unreleased_segment()
    }

    fn release_segment(&mut self, number: u64) {
        self.state.jobs.texts_mut().release_segment(number);
    }

    /// The holder of orders: another one would have to wait before it may give any.
    fn prefers(&self, replica: ReplicaId) -> bool {
        self.state.orders.holder() == Some(replica)
    }

    fn restore(&mut self, bytes: &[u8]) {
        // The old state goes first, so that it does not stand beside the new one and its bytes.
        self.state = ControlState::default();
        self.state = bitcode::decode(bytes).expect("a snapshot passed its checksum");
    }
}
