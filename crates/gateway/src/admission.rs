//! Authenticates requests and batch job calls by their key.

use crate::gateway::{ChosenRoute, Gateway};
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::tenancy::Caller;

impl Gateway {
    /// Authenticates a request on `chosen` and sets its caller. The key and any tenant header from the client are
    /// removed; engines receive the tenant that the key belongs to.
    pub fn admit(&self, chosen: &ChosenRoute, request: &mut ClientRequest) -> Result<(), Refusal> {
        let names = self.names();
        let key = request.headers.remove(&names.key);
        request.headers.remove(&names.tenant);
        let caller = self.caller(chosen, key.as_ref());
        if caller.is_err() {
            self.log_unknown_key(&request.id, key.as_ref());
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

    /// Authenticates a batch job call, which has no route.
    pub fn authenticate_job_call(&self, id: &str, headers: &HeaderMap) -> Result<Caller, Refusal> {
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
            // Jobs submitted on a public route have no owner.
            None if table.has_public_routes() => Ok(Caller::Public),
            _ => {
                self.log_unknown_key(id, key);
                Err(Refusal::UnknownKey)
            }
        }
    }

    /// Logs a prefix of the key's digest, never the key.
    fn log_unknown_key(&self, id: &str, key: Option<&HeaderValue>) {
        self.inner.metrics.keys_refused.inc();
        let digest = key.map(|key| SecretDigest::of(key.as_bytes()).log_prefix()).unwrap_or_default();
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
