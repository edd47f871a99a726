//! The replicated state as replication's state machine.

use crate::commands;
use crate::state::ControlState;
use saddlerelay_layouts::commands::{Committed, decode};
use saddlerelay_replication::StateMachine;
use saddlerelay_replication::segments::Segment;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::protocol::CommandOutcome;
use std::rc::Rc;

/// Applies committed commands to [`ControlState`].
pub struct ControlMachine {
    state: ControlState,
    level: FeatureLevel,
}

impl Default for ControlMachine {
    fn default() -> Self {
        Self { state: ControlState::default(), level: FeatureLevel::NEWEST }
    }
}

impl ControlMachine {
    /// The state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// At a level that keeps no silence of engines on the log, its leader marks it in its own state.
    pub fn mark_silence(&mut self, silent: &[InstanceId], heard: &[InstanceId]) {
        if self.level == FeatureLevel::One {
            self.state.instances.mark_silence(silent, heard);
        }
    }
}

impl StateMachine for ControlMachine {
    type Outcome = CommandOutcome;

    fn enter_level(&mut self, level: FeatureLevel) {
        if self.level == FeatureLevel::One && level > FeatureLevel::One {
            self.state.leave_level_one();
        }
        self.level = level;
    }

    fn apply(&mut self, command: &[u8]) -> CommandOutcome {
        match decode(command, self.level).expect("the log holds only what a leader encoded") {
            Committed::One(command) => commands::level_one::apply(&mut self.state, command),
            Committed::Today(command) => commands::apply(&mut self.state, command),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        match self.level {
            FeatureLevel::One => self.state.encode_level_one(),
            FeatureLevel::Two => bitcode::encode(&self.state),
        }
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

    fn restore(&mut self, bytes: &[u8], level: FeatureLevel) {
        // The old state goes first, so that it does not stand beside the new one and its bytes.
        self.state = ControlState::default();
        self.level = level;
        let restored = match level {
            FeatureLevel::One => ControlState::decode_level_one(bytes),
            FeatureLevel::Two => bitcode::decode(bytes),
        };
        self.state = restored.expect("a snapshot passed its checksum");
    }
}
