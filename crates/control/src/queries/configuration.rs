//! What a relay lacks of the configuration.

use crate::state::configuration::ConfigurationStore;
use saddlerelay_types::configuration::ConfigurationUpdate;
use saddlerelay_types::identity::Revision;

/// The changes after `known`, or everything when the changes are no longer all remembered.
pub fn update_after(store: &ConfigurationStore, known: Revision) -> ConfigurationUpdate {
    let revision = store.revision();
    match store.changed_after(known) {
        Some(objects) => ConfigurationUpdate { revision, whole: false, objects },
        None => ConfigurationUpdate { revision, whole: true, objects: store.live_objects().cloned().collect() },
    }
}
