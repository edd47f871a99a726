//! The group's feature level: which one a replica is at, how it is raised, and how messages are written meanwhile.
//!
//! A replica's level is that of its state. The leader raises it by one entry of the log once every member knows the newer
//! one, and each replica goes to the new level when it applies that entry: the entries before it are read at the old
//! level, those behind it at the new one. Until then members speak the old level with each other, so that older builds among
//! them notice nothing; a member says in its welcome which level it knows.

use crate::calls::Channel;
use crate::log::EntryPayload;
use crate::replica::{Proposal, ProposeError, Replica};
use crate::state::{State, StateMachine};
use crate::storage::{Storage, StorageError};
use saddlerelay_rpc::client::Speech;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;

/// How an entry that raises the level begins. No command does: each begins with a few bytes of packed numbers.
const RAISE_MARK: &[u8] = b"saddlerelay raises its feature level to ";

/// The command that raises the level.
pub fn raise_command(level: FeatureLevel) -> Vec<u8> {
    [RAISE_MARK, &level.number().to_le_bytes()].concat()
}

/// The level that a command raises the group to, if it does.
pub fn raised_to(command: &[u8]) -> Option<FeatureLevel> {
    let number = command.strip_prefix(RAISE_MARK)?.try_into().ok().map(u32::from_le_bytes);
    let level = number.and_then(FeatureLevel::of_number);
    Some(level.expect("a level is raised only when every member knows it"))
}

fn raises(payload: &EntryPayload) -> Option<FeatureLevel> {
    match payload {
        EntryPayload::Command(command) => raised_to(command),
        EntryPayload::Empty | EntryPayload::Membership(_) => None,
    }
}

/// Whether an entry raises the level.
pub(crate) fn is_raise(payload: &EntryPayload) -> bool {
    raises(payload).is_some()
}

impl<S: StateMachine> State<S> {
    /// Whether nothing has been committed but the founding of the group: the level may still be chosen.
    fn is_blank(&self) -> bool {
        self.log.last_index() <= 1 && self.snapshot_index == 0
    }

    /// The level of the next entry: an entry that raises it may wait at the end of the log.
    pub(crate) fn level_at_end(&self) -> FeatureLevel {
        let waiting = self.log.entries_from(self.applied + 1, usize::MAX).unwrap_or_default();
        let raised = waiting.iter().filter_map(|entry| raises(&entry.payload)).next_back();
        raised.unwrap_or(self.level.unwrap_or(FeatureLevel::NEWEST))
    }

    /// The level at which a message is written that begins with the entry behind `previous_index`. A replica that is
    /// sent the log from its first entry on begins at the level of that entry.
    pub(crate) fn level_of_append(&self, previous_index: u64) -> FeatureLevel {
        let own = self.level.unwrap_or(FeatureLevel::NEWEST);
        if previous_index == 0 { self.began_at.unwrap_or(own) } else { own }
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// The level of this replica's state, once it belongs to a group.
    pub fn level(&self) -> Option<FeatureLevel> {
        self.inner.state.borrow().level
    }

    /// Whether every other member is known, by a connection that stands, to understand `level`.
    pub fn members_know(&self, level: FeatureLevel) -> bool {
        let own = self.inner.state.borrow().identity.id;
        let members = self.inner.state.borrow().membership().members.clone();
        let knows = |address| self.client(Channel::Log, address).newest_of_peer() >= Some(level);
        members.iter().filter(|member| member.id != own).all(|member| knows(member.address))
    }

    /// Proposes that the group goes to `level`; what is proposed after it is written at that level.
    pub fn raise_level(&self, level: FeatureLevel) -> Result<(), ProposeError> {
        let mut state = self.inner.state.borrow_mut();
        let Some(leadership) = state.leadership_mut().filter(|leadership| leadership.next_level < level) else {
            return Ok(());
        };
        let payload = EntryPayload::Command(raise_command(level));
        let proposal = Proposal { payload, sender: None, made_from: None };
        // The queue keeps the order: what waits there already is of the old level and stands before it in the log.
        self.inner.proposals.borrow_mut().try_send(proposal).map_err(|_| ProposeError::Overloaded)?;
        leadership.next_level = level;
        spdlog::info!("feature level proposed", kv: { feature_level = level.number() });
        Ok(())
    }

    /// How members speak with each other. Nobody else knows the level of a group that has only been founded.
    pub(crate) fn speech(&self) -> Speech {
        let state = self.inner.state.borrow();
        match state.level.filter(|_| !state.is_blank()) {
            Some(level) => Speech::Fixed(level),
            None => Speech::Negotiated,
        }
    }

    /// A replica that has nothing yet takes the level at which a leader speaks to it.
    pub(crate) async fn adopt_level(
        &self,
        storage: &mut Storage<P::Disk>,
        level: FeatureLevel,
    ) -> Result<(), StorageError> {
        let adopts = {
            let state = self.inner.state.borrow();
            state.is_blank() && state.level != Some(level)
        };
        if adopts {
            storage.begin_at(level).await?;
            let mut state = self.inner.state.borrow_mut();
            state.level = Some(level);
            state.began_at = Some(level);
            state.machine.enter_level(level);
            spdlog::info!("feature level taken", kv: { feature_level = level.number() });
        }
        Ok(())
    }

    /// The leader of a group that has only been founded begins at the newest level that the others know.
    pub(crate) async fn choose_first_level(&self) -> Result<(), StorageError> {
        let (is_blank, own, members) = {
            let state = self.inner.state.borrow();
            (state.is_blank(), state.identity.id, state.membership().members.clone())
        };
        if !is_blank {
            return Ok(());
        }
        let others = members.iter().filter(|member| member.id != own);
        let known = others.filter_map(|member| self.client(Channel::Log, member.address).newest_of_peer());
        let level = known.fold(self.inner.options.config.first_level, FeatureLevel::min);
        let mut storage = self.inner.storage.lock().await;
        self.adopt_level(&mut storage, level).await
    }
}
