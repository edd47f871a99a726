//! The state machine of the replicated log.

use crate::commands;
use crate::state::ControlState;
use crate::state::loss_history::LossHistory;
use crate::state::uptime_expiry::UptimeExpiry;
use saddlerelay_layouts::commands::{DecodedCommand, decode};
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
        let mut machine = Self { state: ControlState::default(), level: FeatureLevel::NEWEST };
        machine.enter_level(FeatureLevel::NEWEST);
        machine
    }
}

/// Whether ended jobs expire by the group's uptime at `level`. At older levels they expire by the log's time.
fn expires_jobs_by_uptime(level: FeatureLevel) -> bool {
    level >= FeatureLevel::Three
}

/// Whether engine losses are weighed at `level`.
fn weighs_losses(level: FeatureLevel) -> bool {
    level >= FeatureLevel::Four
}

/// Appends `part` and its length as a little-endian `u64`.
fn append_part(encoded: &mut Vec<u8>, part: &[u8]) {
    encoded.extend_from_slice(part);
    encoded.extend_from_slice(&(part.len() as u64).to_le_bytes());
}

/// Splits off the part that was appended last.
fn split_last_part(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (encoded, length) = bytes.split_last_chunk()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    encoded.split_at_checked(encoded.len().checked_sub(length)?)
}

/// Encodes the state as level two does, followed by the expiry of jobs.
fn encode_level_three(state: &ControlState) -> Vec<u8> {
    let mut encoded = bitcode::encode(state);
    append_part(&mut encoded, &state.jobs.uptime_expiry().map(bitcode::encode).unwrap_or_default());
    encoded
}

fn decode_level_three(bytes: &[u8]) -> Option<ControlState> {
    let (state, expiry) = split_last_part(bytes)?;
    let mut state: ControlState = bitcode::decode(state).ok()?;
    let expiry: UptimeExpiry = bitcode::decode(expiry).ok()?;
    state.jobs.restore_uptime_expiry(expiry);
    Some(state)
}

/// Encodes the state as level three does, followed by the history of engine losses.
fn encode_level_four(state: &ControlState) -> Vec<u8> {
    let mut encoded = encode_level_three(state);
    append_part(&mut encoded, &state.suspicions.history().map(bitcode::encode).unwrap_or_default());
    encoded
}

fn decode_level_four(bytes: &[u8]) -> Option<ControlState> {
    let (state, history) = split_last_part(bytes)?;
    let mut state = decode_level_three(state)?;
    let history: LossHistory = bitcode::decode(history).ok()?;
    state.suspicions.restore_history(history);
    Some(state)
}

impl ControlMachine {
    /// The replicated state, for reads.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Marks silent and recovered instances in the local state of the leader at feature level one. Later levels
    /// replicate silence and ignore this call.
    pub fn mark_silence(&mut self, silent: &[InstanceId], recovered: &[InstanceId]) {
        if self.level == FeatureLevel::One {
            self.state.instances.mark_silence(silent, recovered);
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
        self.state.jobs.set_expiry_by_uptime(expires_jobs_by_uptime(level));
        self.state.suspicions.set_weighs_losses(weighs_losses(level));
    }

    fn apply(&mut self, command: &[u8]) -> CommandOutcome {
        match decode(command, self.level).expect("a committed command decodes at the current feature level") {
            DecodedCommand::One(command) => commands::level_one::apply(&mut self.state, command),
            DecodedCommand::Current(command) => commands::apply(&mut self.state, command),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        match self.level {
            FeatureLevel::One => self.state.encode_level_one(),
            FeatureLevel::Two => bitcode::encode(&self.state),
            FeatureLevel::Three => encode_level_three(&self.state),
            FeatureLevel::Four => encode_level_four(&self.state),
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

    /// Prefers the current holder of orders as leader, because another leader would have to wait before it may send
    /// orders.
    fn prefers(&self, replica: ReplicaId) -> bool {
        self.state.orders.holder() == Some(replica)
    }

    fn restore(&mut self, bytes: &[u8], level: FeatureLevel) {
        // Drops the old state first, to limit peak memory.
        self.state = ControlState::default();
        self.level = level;
        let restored = match level {
            FeatureLevel::One => ControlState::decode_level_one(bytes).ok(),
            FeatureLevel::Two => bitcode::decode(bytes).ok(),
            FeatureLevel::Three => decode_level_three(bytes),
            FeatureLevel::Four => decode_level_four(bytes),
        };
        self.state = restored.expect("a snapshot with a valid checksum decodes at its feature level");
    }
}
