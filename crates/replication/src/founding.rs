//! Forming a group: of one replica when told, or of the founders that the settings of the first start name.

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
    /// Forms a new group of this replica alone. Refused once the replica belongs to a group.
    pub async fn initialize(&self) -> Result<bool, StorageError> {
        let id = self.inner.state.borrow().identity.id;
        let own = Member { id, address: self.inner.options.address, voter: true };
        self.form_group(self.inner.platform.random(), vec![own]).await
    }

    /// Forms the group of the founders, if this replica is one of them and belongs to no group yet. All founders write
    /// the same first entry, so that it does not matter who starts when.
    pub(crate) async fn form_founders_group(&self) -> Result<bool, StorageError> {
        let founders: BTreeSet<SocketAddr> = self.inner.options.founders.iter().copied().collect();
        if !founders.contains(&self.inner.options.address) {
            return Ok(false);
        }
        let member = |address: &SocketAddr| Member { id: founder_id(*address), address: *address, voter: true };
        self.form_group(group_of(founders.iter()), founders.iter().map(member).collect()).await
    }

    /// Takes the group's name where power was lost between the first entry, which this replica has written, and the name.
    /// Founders that have all lost power there would otherwise refuse each other's votes for ever.
    pub(crate) async fn finish_forming_group(&self) -> Result<(), StorageError> {
        let (identity, members) = {
            let state = self.inner.state.borrow();
            (state.identity, state.membership().clone())
        };
        if identity.group.is_some() || !members.is_voter(identity.id) {
            return Ok(());
        }
        let group = group_of(members.voters().map(|voter| &voter.address));
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

/// The identifier of the replica that founds a group at `address`, the same for everyone who works it out.
pub(crate) fn founder_id(address: SocketAddr) -> ReplicaId {
    ReplicaId(stable_hash(&(0, address.to_string())).max(1))
}

/// The name of the group that is founded at these addresses, the same for everyone who works it out.
fn group_of<'a>(addresses: impl Iterator<Item = &'a SocketAddr>) -> u64 {
    addresses.fold(0, |group, address| stable_hash(&(group, address.to_string())))
}

/// A number that is the same in every process for the same value.
fn stable_hash(value: &(u64, String)) -> u64 {
    let bytes = bitcode::encode(value);
    let low = u64::from(crc32fast::hash(&bytes));
    let high = u64::from(crc32fast::hash(&[bytes.as_slice(), b"high"].concat()));
    high << 32 | low
}
