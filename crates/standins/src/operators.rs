//! Operators, which configure the deployment and make concurrent changes, and a probe of the configuration that each
//! relay applies.

use crate::access::Access;
use crate::recorder::Recorder;
use saddlerelay_checker::check::is_accepted;
use saddlerelay_checker::record::Record;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectValue, ParameterName, ParameterValue, Template, Tenant,
};
use saddlerelay_types::identity::{IdempotencyKey, Revision, TemplateId, TenantId};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of one attempt at a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before a change is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The template that stand-in operators use.
pub const TEMPLATE: &str = "standard";

/// The tenant whose model name is the probe value.
pub const PROBE_TENANT: &str = "probe";

const PROBE_PREFIX: &str = "probe-";

/// An operator, who changes the configuration through the administration API.
#[derive(Clone)]
pub struct Operator<P, A> {
    /// Runtime that provides the clock, timers and random numbers.
    pub platform: P,
    /// Client for the administration API.
    pub access: A,
    /// Recorder for the outcomes of changes.
    pub recorder: Recorder,
    /// Name of the operator, used as prefix of its idempotency keys.
    pub name: String,
}

/// Parameter values of a tenant.
pub type TenantValues = BTreeMap<ParameterName, ParameterValue>;

impl<P: Runtime, A: Access> Operator<P, A> {
    fn new_key(&self) -> IdempotencyKey {
        IdempotencyKey(format!("{}-{:016x}", self.name, self.platform.random()))
    }

    /// Sends a change with one idempotency key, retries it until it has an outcome, and records the outcome.
    pub async fn change(
        &self,
        name: ObjectName,
        value: Option<ObjectValue>,
        expected: Option<Revision>,
    ) -> ConfigurationOutcome {
        let key = self.new_key();
        let change = ConfigurationChange { name, value, expected, idempotency_key: Some(key.clone()) };
        let from = self.platform.unix_milliseconds();
        loop {
            let response =
                timeout(&self.platform, CHANGE_TIMEOUT, self.access.change_configuration(&change)).await.flatten();
            if let Some(outcome) = response {
                self.record(&change, &key, from, &outcome);
                return outcome;
            }
            self.platform.sleep(RETRY_DELAY).await;
        }
    }

    fn record(&self, change: &ConfigurationChange, key: &IdempotencyKey, from: u64, outcome: &ConfigurationOutcome) {
        self.recorder.record(Record::Change {
            from,
            to: self.platform.unix_milliseconds(),
            object: format!("{:?}", change.name),
            key: key.to_string(),
            expected: change.expected,
            outcome: outcome.clone(),
            staleness_bound: staleness_bound(change),
            probe: probe_value(change),
        });
    }

    /// Writes the template and a tenant unconditionally.
    pub async fn set_up(&self, tenant: &TenantId, values: TenantValues) {
        let template = Template { parameters: BTreeMap::new() };
        let name = ObjectName::Template(TemplateId::new(TEMPLATE));
        self.change(name, Some(ObjectValue::Template(template)), None).await;
        self.put_tenant(tenant, values, None).await;
    }

    /// Writes a tenant; with `expected`, only if that is its revision.
    pub async fn put_tenant(
        &self,
        tenant: &TenantId,
        values: TenantValues,
        expected: Option<Revision>,
    ) -> ConfigurationOutcome {
        let value = ObjectValue::Tenant(Tenant { template: TemplateId::new(TEMPLATE), values });
        self.change(ObjectName::Tenant(tenant.clone()), Some(value), expected).await
    }

    /// Writes a probe value; with `expected`, only if that is the revision of the probe tenant.
    pub async fn put_probe(&self, value: u64, expected: Option<Revision>) -> ConfigurationOutcome {
        let model = ParameterValue::Text(format!("{PROBE_PREFIX}{value}"));
        let values = BTreeMap::from([(ParameterName::Model, model)]);
        self.put_tenant(&TenantId::new(PROBE_TENANT), values, expected).await
    }
}

fn staleness_bound(change: &ConfigurationChange) -> Option<(TenantId, u64)> {
    let (ObjectName::Tenant(id), Some(ObjectValue::Tenant(tenant))) = (&change.name, &change.value) else {
        return None;
    };
    match tenant.values.get(&ParameterName::StalenessBound)? {
        ParameterValue::Integer(bound) => Some((id.clone(), *bound as u64)),
        ParameterValue::Text(_) => None,
    }
}

fn probe_value(change: &ConfigurationChange) -> Option<u64> {
    let (ObjectName::Tenant(id), Some(ObjectValue::Tenant(tenant))) = (&change.name, &change.value) else {
        return None;
    };
    match tenant.values.get(&ParameterName::Model)? {
        ParameterValue::Text(model) if id.as_str() == PROBE_TENANT => model.strip_prefix(PROBE_PREFIX)?.parse().ok(),
        _ => None,
    }
}

/// Repeatedly makes two operators change the probe concurrently with the same expected revision, until `stop` is set.
pub async fn race_changes<P: Runtime, A: Access>(
    first: Operator<P, A>,
    second: Operator<P, A>,
    interval: Duration,
    stop: Rc<Cell<bool>>,
) {
    let mut value = 1;
    let mut revision = match first.put_probe(value, None).await {
        ConfigurationOutcome::Accepted(revision) => revision,
        _ => return,
    };
    while !stop.get() {
        first.platform.sleep(interval / 2 + first.platform.jitter(interval)).await;
        value += 1;
        let changes =
            futures::future::join(first.put_probe(value, Some(revision)), second.put_probe(value, Some(revision)));
        let (first_outcome, second_outcome) = changes.await;
        for outcome in [first_outcome, second_outcome] {
            if let ConfigurationOutcome::Accepted(accepted) = outcome {
                revision = revision.max(accepted);
            } else if let ConfigurationOutcome::RevisionMismatch(current) = outcome {
                revision = revision.max(current.revision);
            }
        }
    }
}

/// Reads the probe value of every relay at each `interval`, until `stop` is set.
pub async fn probe_relays<P: Runtime, A: Access>(
    platform: P,
    access: A,
    recorder: Recorder,
    interval: Duration,
    stop: Rc<Cell<bool>>,
) {
    while !stop.get() {
        platform.sleep(interval).await;
        for relay in 0..access.relays() {
            let task = probe(platform.clone(), access.clone(), recorder.clone(), relay);
            platform.spawn(task);
        }
    }
}

async fn probe<P: Runtime, A: Access>(platform: P, access: A, recorder: Recorder, relay: usize) {
    let from = platform.unix_milliseconds();
    let Some(models) = timeout(&platform, PROBE_TIMEOUT, access.models(relay)).await else {
        return;
    };
    let value = models.and_then(|models| {
        let mut names = models.iter().filter_map(|model| model.as_str().strip_prefix(PROBE_PREFIX));
        names.next().and_then(|value| value.parse().ok())
    });
    let to = platform.unix_milliseconds();
    recorder.record(Record::Probe { from, to, relay: format!("relay-{relay}"), value });
}

/// Whether the outcome of a change is [`ConfigurationOutcome::Accepted`].
pub fn accepted(outcome: &ConfigurationOutcome) -> bool {
    is_accepted(outcome)
}
