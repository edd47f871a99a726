//! Formation of a group, from a single replica or from the founders in the settings.

use crate::log::{EntryPayload, LogEntry};
use crate::membership::{Member, Membership};
use crate::replica::Replica;
use crate::state::StateMachine;
use crate::storage::{Identity, StorageError};
use crate::wal::WalRecord;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Forms a new group with this replica as its only member. Returns `false` if it already belongs to a group.
    pub async fn initialize(&self) -> Result<bool, StorageError> {
        let id = self.inner.state.borrow().identity.id;
        let own = Member { id, address: self.inner.options.address, voter: true };
        self.form_group(self.inner.platform.random(), vec![own]).await
    }

    /// Forms the group of the configured founders, if this replica is one of them and belongs to no group yet. All
    /// founders write an identical first entry, so the order of their starts does not matter.
    pub(crate) async fn form_founders_group(&self) -> Result<bool, StorageError> {
        let founders: BTreeSet<SocketAddr> = self.inner.options.founders.iter().copied().collect();
        if !founders.contains(&self.inner.options.address) {
            return Ok(false);
        }
        let member = |address: &SocketAddr| Member { id: founder_id(*address), address: *address, voter: true };
        self.form_group(derive_group_id(founders.iter()), founders.iter().map(member).collect()).await
    }

    /// Completes the formation of a group that was interrupted between writing the first entry and the group's
    /// identifier. Without the identifier, founders would reject each other's votes.
    pub(crate) async fn finish_forming_group(&self) -> Result<(), StorageError> {
        let (identity, members) = {
            let state = self.inner.state.borrow();
            (state.identity, state.membership().clone())
        };
        if identity.group.is_some() || !members.is_voter(identity.id) {
            return Ok(());
        }
        let group = derive_group_id(members.voters().map(|voter| &voter.address));
        let identity = Identity { group: Some(group), ..identity };
        self.inner.storage.lock().await.write_identity(identity).await?;
        self.inner.state.borrow_mut().identity = identity;
        Ok(())
    }

    async fn form_group(&self, group: u64, members: Vec<Member>) -> Result<bool, StorageError> {
        let mut storage = self.inner.storage.lock().await;
        let identity = self.inner.state.borrow().identity;
        if identity.group.is_some() {
            return Ok(false);
        }
        let identity = Identity { group: Some(group), ..identity };
        let payload = EntryPayload::Membership(Membership { members });
        let entry = LogEntry { index: 1, term: 0, payload };
        self.adopt_level(&mut storage, self.inner.options.config.first_level).await?;
        storage.append(&[WalRecord::Entry(entry.clone())]).await?;
        storage.write_identity(identity).await?;
        let mut state = self.inner.state.borrow_mut();
        state.identity = identity;
        state.log.push(entry);
        state.synced = 1;
        Ok(true)
    }
}

/// Identifier of the founder at `address`, derived from the address alone.
pub(crate) fn founder_id(address: SocketAddr) -> ReplicaId {
    ReplicaId(stable_hash(&(0, address.to_string())).max(1))
}

/// Identifier of the group founded at these addresses, derived from the addresses alone.
fn derive_group_id<'a>(addresses: impl Iterator<Item = &'a SocketAddr>) -> u64 {
    addresses.fold(0, |group, address| stable_hash(&(group, address.to_string())))
}

/// Hash that is identical in all processes and builds.
fn stable_hash(value: &(u64, String)) -> u64 {
    let bytes = bitcode::encode(value);
    let low = u64::from(crc32fast::hash(&bytes));
    let high = u64::from(crc32fast::hash(&[bytes.as_slice(), b"high"].concat()));
    high << 32 | low
}
