//! Who may ask for what: checks the key of a request or of a call about batch jobs.

use crate::gateway::{ChosenRoute, Gateway};
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::tenancy::Caller;

impl Gateway {
    /// Checks the key of a request on `chosen`, and replaces what the client says of its tenant by what the key tells. The
    /// key goes no further.
    pub fn admit(&self, chosen: &ChosenRoute, request: &mut ClientRequest) -> Result<(), Refusal> {
        let names = self.names();
        let key = request.headers.remove(&names.key);
        request.headers.remove(&names.tenant);
        let caller = self.caller(chosen, key.as_ref());
        if caller.is_err() {
            self.tell_unknown_key(&request.id, key.as_ref());
        }
        request.caller = caller?;
        if let Some(tenant) = request.caller.tenant() {
            let tenant = HeaderValue::from_str(tenant.as_str()).map_err(|_| Refusal::Malformed)?;
            request.headers.insert(names.tenant.clone(), tenant);
        }
        Ok(())
    }

    fn caller(&self, chosen: &ChosenRoute, key: Option<&HeaderValue>) -> Result<Caller, Refusal> {
        let Some(keys) = chosen.table.keys() else {
            return Ok(Caller::Anyone);
        };
        let tenant = key.and_then(|key| keys.tenant(key.as_bytes()));
        match tenant {
            Some(tenant) => Ok(Caller::Tenant(tenant.clone())),
            None if chosen.route().public => Ok(Caller::Public),
            None => Err(Refusal::UnknownKey),
        }
    }

    /// Checks the key of a call about batch jobs, which no route is chosen for.
    pub fn job_caller(&self, id: &str, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let table = {
            let view = self.inner.view.borrow();
            if !view.is_leased(self.now()) {
                return Err(Refusal::NoLease);
            }
            view.table().ok_or(Refusal::NoLease)?
        };
        let Some(keys) = table.keys() else {
            return Ok(Caller::Anyone);
        };
        let key = headers.get(&self.names().key);
        match key.map(|key| keys.tenant(key.as_bytes())) {
            Some(Some(tenant)) => Ok(Caller::Tenant(tenant.clone())),
            // Jobs that were handed in on a public route belong to nobody.
            None if table.has_public_routes() => Ok(Caller::Public),
            _ => {
                self.tell_unknown_key(id, key);
                Err(Refusal::UnknownKey)
            }
        }
    }

    /// Logs show the beginning of a key's digest, never the key.
    fn tell_unknown_key(&self, id: &str, key: Option<&HeaderValue>) {
        self.inner.metrics.keys_refused.inc();
        let digest = key.map(|key| SecretDigest::of(key.as_bytes()).shown()).unwrap_or_default();
        let view = self.inner.view.borrow();
        spdlog::warn!("key refused", kv: {
            request = id,
            key_given = key.is_some(),
            key_digest = digest.as_str(),
            routing_version = view.routing_version().unwrap_or_default(),
            view_age_ms = view.age(self.now()).as_millis() as u64
        });
    }
}
