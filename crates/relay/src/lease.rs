//! Renews the configuration lease. Each new configuration is stored on disk before it is used.

use crate::relay::Relay;
use bitcode::{Decode, Encode};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::{Disk, Runtime};
use saddlerelay_types::configuration::{ConfigurationUpdate, ObjectState};
use saddlerelay_types::identity::{Incarnation, Revision};
use saddlerelay_types::protocol::{RenewReply, RenewRequest};
use std::io;
use std::time::Duration;

/// Pause after a successful renewal.
const RENEWED_PAUSE: Duration = Duration::from_millis(10);

const CONFIGURATION_FILE: &str = "configuration";

/// The file format of the newest configuration.
#[derive(Clone, Debug, Encode, Decode)]
struct StoredConfiguration {
    revision: Revision,
    objects: Vec<ObjectState>,
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Loads the stored configuration, so that the relay does not use an older one after a restart.
    pub(crate) async fn load_configuration(&self) -> io::Result<()> {
        let Some(bytes) = self.inner.runtime.disk().read(CONFIGURATION_FILE).await? else {
            return Ok(());
        };
        let stored: StoredConfiguration = bitcode::decode(&bytes)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "file `configuration` is damaged"))?;
        let objects = stored.objects.into_iter().map(|object| (object.name.clone(), object)).collect();
        self.inner.view.borrow_mut().set_configuration(stored.revision, objects);
        Ok(())
    }

    /// Renews the lease until the process ends.
    pub(crate) async fn run_lease_renewal(self) {
        let config = self.inner.options.config.clone();
        loop {
            let sent_at = self.inner.runtime.monotonic();
            let renewal = self.renewal_request();
            let incarnation = renewal.relay.incarnation;
            let renewed = match self.inner.control.renew(renewal, config.renewal_timeout).await {
                Ok(reply) => self.apply_renewal(reply, sent_at, incarnation).await,
                Err(_) => false,
            };
            // Renewals are long polls: the control group replies immediately if there are changes, and later otherwise.
            let pause = if renewed { RENEWED_PAUSE } else { config.renewal_retry_delay };
            self.inner.runtime.sleep(pause).await;
        }
    }

    fn renewal_request(&self) -> RenewRequest {
        let view = self.inner.view.borrow();
        RenewRequest {
            relay: self.description(),
            configuration: view.revision(),
            engines: view.engine_revision(),
            targets: view.targets(),
            suspicion_revision: self.inner.suspicions.revision(),
        }
    }

    /// Applies a reply; returns `false` if the relay was fenced or the configuration could not be stored.
    async fn apply_renewal(&self, mut reply: RenewReply, sent_at: Duration, incarnation: Incarnation) -> bool {
        if let Some(list) = reply.suspicions.take() {
            self.inner.suspicions.apply_list(list);
        }
        if reply.fenced {
            self.start_new_incarnation(incarnation);
            return false;
        }
        let stored = self.store_configuration(&reply.configuration).await;
        if stored {
            self.inner.view.borrow_mut().renew(reply, sent_at);
        }
        stored
    }

    /// Stores and applies a configuration update. Returns `false` if it is older than the current revision or the write
    /// failed; the lease is not extended then.
    async fn store_configuration(&self, update: &ConfigurationUpdate) -> bool {
        let current = self.inner.view.borrow().revision();
        if update.revision == current && !update.whole {
            return true;
        }
        let Some(objects) = self.inner.view.borrow().updated_objects(update) else {
            return false;
        };
        let stored = StoredConfiguration { revision: update.revision, objects: objects.values().cloned().collect() };
        let bytes = bitcode::encode(&stored);
        if self.inner.runtime.disk().replace(CONFIGURATION_FILE, bytes).await.is_err() {
            return false;
        }
        self.inner.view.borrow_mut().set_configuration(update.revision, objects);
        true
    }
}
