//! Configuration updates for relays.

use crate::state::configuration::ConfigurationStore;
use saddlerelay_types::configuration::ConfigurationUpdate;
use saddlerelay_types::identity::Revision;

/// The changes after revision `since`, or the whole configuration if a needed tombstone was dropped or `since` is
/// higher than the current revision.
pub fn update_after(store: &ConfigurationStore, since: Revision) -> ConfigurationUpdate {
    let revision = store.revision();
    match store.changed_after(since) {
        Some(objects) => ConfigurationUpdate { revision, whole: false, objects },
        None => ConfigurationUpdate { revision, whole: true, objects: store.live_objects().cloned().collect() },
    }
}
