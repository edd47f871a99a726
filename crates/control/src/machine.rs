//! The replicated state as replication's state machine.

use crate::commands;
use crate::state::ControlState;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{CommandOutcome, LogCommand};

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
    const FORMAT: u32 = 3;

    fn apply(&mut self, command: &[u8]) -> CommandOutcome {
        let command: LogCommand = bitcode::decode(command).expect("the log holds only what a leader encoded");
        commands::apply(&mut self.state, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(&self.state)
    }

    /// The holder of orders to engines: another one would have to wait before it may give any.
    fn prefers(&self, replica: ReplicaId) -> bool {
        self.state.weights.holder() == Some(replica)
    }

    fn restore(&mut self, bytes: &[u8]) {
        // The old state goes first, so that it does not stand beside the new one and its bytes.
        self.state = ControlState::default();
        self.state = bitcode::decode(bytes).expect("a snapshot passed its checksum");
    }
}
