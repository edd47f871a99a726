//! Feature level of the group: how it is raised, and at which level messages are encoded.
//!
//! A replica's level is that of its state. Once all members support a newer level, the leader raises the group to it
//! with a log entry, and each replica changes to it when it applies that entry: earlier entries are decoded at the old
//! level, later ones at the new level. Until then members encode their messages at the old level, which older builds
//! understand. Members negotiate the supported levels when they connect.

use crate::calls::Channel;
use crate::log::EntryPayload;
use crate::replica::{Proposal, ProposeError, Replica};
use crate::state::{State, StateMachine};
use crate::storage::{Storage, StorageError};
use saddlerelay_rpc::client::LevelSelection;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;

/// Prefix of a command that raises the level. Distinct from all other commands, which begin with a few bytes of packed
/// integers.
const RAISE_PREFIX: &[u8] = b"saddlerelay raises its feature level to ";

/// Command that raises the group to `level`.
pub fn raise_command(level: FeatureLevel) -> Vec<u8> {
    [RAISE_PREFIX, &level.number().to_le_bytes()].concat()
}

/// Level that the command raises the group to; `None` for other commands. Panics if this build does not support the
/// level.
pub fn raised_to(command: &[u8]) -> Option<FeatureLevel> {
    let number = command.strip_prefix(RAISE_PREFIX)?.try_into().ok().map(u32::from_le_bytes);
    let level = number.and_then(FeatureLevel::from_number);
    Some(level.expect("the group raised its feature level to one that this build does not support"))
}

/// Level that an entry raises the group to; `None` for other entries.
pub(crate) fn raised_level(payload: &EntryPayload) -> Option<FeatureLevel> {
    match payload {
        EntryPayload::Command(command) => raised_to(command),
        EntryPayload::Empty | EntryPayload::Membership(_) => None,
    }
}

impl<S: StateMachine> State<S> {
    /// Whether the log contains at most the entry that formed the group, so that the level may still be chosen.
    fn has_only_first_entry(&self) -> bool {
        self.log.last_index() <= 1 && self.snapshot_index == 0
    }

    /// Level of the next entry, taking into account unapplied entries that raise the level.
    pub(crate) fn level_at_end(&self) -> FeatureLevel {
        let unapplied = self.log.entries_from(self.applied + 1, usize::MAX).unwrap_or_default();
        let raised = unapplied.iter().filter_map(|entry| raised_level(&entry.payload)).next_back();
        raised.unwrap_or(self.level.unwrap_or(FeatureLevel::NEWEST))
    }

    /// Level at which an append after `previous_index` is encoded. A peer that receives the log from its first entry
    /// starts at the level of that entry.
    pub(crate) fn level_of_append(&self, previous_index: u64) -> FeatureLevel {
        let own = self.level.unwrap_or(FeatureLevel::NEWEST);
        if previous_index == 0 { self.first_entry_level.unwrap_or(own) } else { own }
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Level of this replica's state, once it belongs to a group.
    pub fn level(&self) -> Option<FeatureLevel> {
        self.inner.state.borrow().level
    }

    /// Whether open connections to all other members have negotiated support for `level`.
    pub fn members_support(&self, level: FeatureLevel) -> bool {
        let own = self.inner.state.borrow().identity.id;
        let members = self.inner.state.borrow().membership().members.clone();
        let supports = |address| self.client(Channel::Log, address).newest_level_of_peer() >= Some(level);
        members.iter().filter(|member| member.id != own).all(|member| supports(member.address))
    }

    /// Proposes to raise the group to `level`. Later proposals are encoded at that level.
    pub fn raise_level(&self, level: FeatureLevel) -> Result<(), ProposeError> {
        let mut state = self.inner.state.borrow_mut();
        let Some(leadership) = state.leadership_mut().filter(|leadership| leadership.next_level < level) else {
            return Ok(());
        };
        let payload = EntryPayload::Command(raise_command(level));
        let proposal = Proposal { payload, sender: None, based_on_index: None };
        // The queue is ordered: proposals already in it are of the old level and precede the raise in the log.
        self.inner.proposals.borrow_mut().try_send(proposal).map_err(|_| ProposeError::Overloaded)?;
        leadership.next_level = level;
        spdlog::info!("feature level proposed", kv: { feature_level = level.number() });
        Ok(())
    }

    /// Level at which messages to members are encoded. It is negotiated until the group has committed more than its
    /// first entry.
    pub(crate) fn level_selection(&self) -> LevelSelection {
        let state = self.inner.state.borrow();
        match state.level.filter(|_| !state.has_only_first_entry()) {
            Some(level) => LevelSelection::Fixed(level),
            None => LevelSelection::Negotiated,
        }
    }

    /// Adopts the level of the leader's messages if the log is still empty or contains only the entry that formed the
    /// group.
    pub(crate) async fn adopt_level(
        &self,
        storage: &mut Storage<P::Disk>,
        level: FeatureLevel,
    ) -> Result<(), StorageError> {
        let must_adopt = {
            let state = self.inner.state.borrow();
            state.has_only_first_entry() && state.level != Some(level)
        };
        if must_adopt {
            storage.set_single_level(level).await?;
            let mut state = self.inner.state.borrow_mut();
            state.level = Some(level);
            state.first_entry_level = Some(level);
            state.state_machine.enter_level(level);
            spdlog::info!("feature level taken", kv: { feature_level = level.number() });
        }
        Ok(())
    }

    /// Chooses the level of a new group as its leader: the newest that all connected members support, at most
    /// `first_level`.
    pub(crate) async fn choose_first_level(&self) -> Result<(), StorageError> {
        let (has_only_first_entry, own, members) = {
            let state = self.inner.state.borrow();
            (state.has_only_first_entry(), state.identity.id, state.membership().members.clone())
        };
        if !has_only_first_entry {
            return Ok(());
        }
        let others = members.iter().filter(|member| member.id != own);
        let supported = others.filter_map(|member| self.client(Channel::Log, member.address).newest_level_of_peer());
        let level = supported.fold(self.inner.options.config.first_level, FeatureLevel::min);
        let mut storage = self.inner.storage.lock().await;
        self.adopt_level(&mut storage, level).await
    }
}
