//! Renews the configuration lease and stores each new configuration before it is acted on.

use crate::relay::Relay;
use bitcode::{Decode, Encode};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::{Disk, Runtime};
use saddlerelay_types::configuration::{ConfigurationUpdate, ObjectState};
use saddlerelay_types::identity::{Incarnation, Revision};
use saddlerelay_types::protocol::{RenewReply, RenewRequest};
use std::io;
use std::time::Duration;

/// Pause between renewals that each bring something new.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

const CONFIGURATION_FILE: &str = "configuration";

/// The newest configuration acted on, as stored.
#[derive(Clone, Debug, Encode, Decode)]
struct StoredConfiguration {
    revision: Revision,
    objects: Vec<ObjectState>,
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Reads the stored configuration: the relay never acts on an older one.
    pub(crate) async fn load_configuration(&self) -> io::Result<()> {
        let Some(bytes) = self.inner.platform.disk().read(CONFIGURATION_FILE).await? else {
            return Ok(());
        };
        let stored: StoredConfiguration = bitcode::decode(&bytes)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "file `configuration` is damaged"))?;
        let objects = stored.objects.into_iter().map(|object| (object.name.clone(), object)).collect();
        self.inner.view.borrow_mut().set_configuration(stored.revision, objects);
        Ok(())
    }

    /// Renews the lease until the process ends.
    pub(crate) async fn keep_lease(self) {
        let config = self.inner.options.config.clone();
        loop {
            let sent_at = self.inner.platform.monotonic();
            let renewal = self.renewal();
            let incarnation = renewal.relay.incarnation;
            let renewed = match self.inner.control.renew(renewal, config.renew_limit).await {
                Ok(reply) => self.take_renewal(reply, sent_at, incarnation).await,
                Err(_) => false,
            };
            // The control group sets the pace: it answers at once when there is something new, and later when not.
            let pause = if renewed { SHORTEST_PAUSE } else { config.renew_interval };
            self.inner.platform.sleep(pause).await;
        }
    }

    fn renewal(&self) -> RenewRequest {
        let view = self.inner.view.borrow();
        RenewRequest {
            relay: self.description(),
            configuration: view.revision(),
            engines: view.engine_revision(),
            targets: view.targets(),
            suspicion_revision: self.inner.suspicions.revision(),
        }
    }

    /// Acts on an answer from now on; `false` when it cannot.
    async fn take_renewal(&self, mut reply: RenewReply, sent_at: Duration, incarnation: Incarnation) -> bool {
        if let Some(list) = reply.suspicions.take() {
            self.inner.suspicions.take(list);
        }
        if reply.fenced {
            self.start_anew(incarnation);
            return false;
        }
        let stored = self.store_configuration(&reply.configuration).await;
        if stored {
            self.inner.view.borrow_mut().renew(reply, sent_at);
        }
        stored
    }

    /// Stores and adopts a configuration. `false` when it would go back or the disk refuses: the lease then runs out.
    async fn store_configuration(&self, update: &ConfigurationUpdate) -> bool {
        let known = self.inner.view.borrow().revision();
        if update.revision == known && !update.whole {
            return true;
        }
        let Some(objects) = self.inner.view.borrow().updated_objects(update) else {
            return false;
        };
        let stored = StoredConfiguration { revision: update.revision, objects: objects.values().cloned().collect() };
        let bytes = bitcode::encode(&stored);
        if self.inner.platform.disk().replace(CONFIGURATION_FILE, bytes).await.is_err() {
            return false;
        }
        self.inner.view.borrow_mut().set_configuration(update.revision, objects);
        true
    }
}
