//! Templates, tenants and the typed parameters operators set.

use crate::identity::{IdempotencyKey, ModelName, Revision, TemplateId, TenantId, WeightVersion};
use crate::request::Priority;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Every parameter a tenant can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterName {
    /// Text: the model that serves the tenant.
    Model,
    /// Text: the adapter to apply; empty for none.
    Adapter,
    /// Integer: the weight version to serve; zero for the newest published.
    WeightVersion,
    /// Integer, versions: how far behind the published version a delivered sample may be.
    StalenessBound,
    /// Text, `interactive` or `batch`: the class of the tenant's callers.
    CallerClass,
    /// Integer, requests: the most a relay runs at once for the tenant.
    MaxInFlight,
    /// Integer, requests: the most a relay keeps waiting for the tenant.
    MaxQueued,
    /// Integer, percent: the share of an engine's slots that rollouts may fill.
    RolloutSharePercent,
    /// Integer, 0 to 100: how much trainer idle time counts against staleness.
    IdleWeight,
    /// Integer, 0 to 100: how much staleness counts against trainer idle time.
    StalenessWeight,
    /// Text: SHA-256 of the callers' secret in hexadecimal; empty for none.
    CallerSecretDigest,
}

/// A parameter's value.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ParameterValue {
    /// A whole number.
    Integer(i64),
    /// A text.
    Text(String),
}

impl fmt::Display for ParameterValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(value) => write!(formatter, "{value}"),
            Self::Text(value) => write!(formatter, "\"{value}\""),
        }
    }
}

/// What a template allows for one parameter.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum ParameterRule {
    /// A whole number in a closed range.
    Integer {
        /// Lowest value.
        minimum: i64,
        /// Highest value.
        maximum: i64,
        /// Value when the tenant gives none.
        default: i64,
    },
    /// A text, from a list unless the list is empty.
    Text {
        /// The allowed values; empty for any.
        allowed: Vec<String>,
        /// Value when the tenant gives none.
        default: String,
    },
}

impl ParameterRule {
    fn default_value(&self) -> ParameterValue {
        match self {
            Self::Integer { default, .. } => ParameterValue::Integer(*default),
            Self::Text { default, .. } => ParameterValue::Text(default.clone()),
        }
    }

    /// Why `value` is not allowed, or `None` when it is.
    pub fn refusal(&self, value: &ParameterValue) -> Option<String> {
        match (self, value) {
            (Self::Integer { minimum, maximum, .. }, ParameterValue::Integer(number)) => {
                let inside = (*minimum..=*maximum).contains(number);
                (!inside).then(|| format!("{number} is outside {minimum} to {maximum}"))
            }
            (Self::Text { allowed, .. }, ParameterValue::Text(text)) => {
                let inside = allowed.is_empty() || allowed.contains(text);
                (!inside).then(|| format!("\"{text}\" is not one of {allowed:?}"))
            }
            (Self::Integer { .. }, _) => Some(format!("{value} is not a whole number")),
            (Self::Text { .. }, _) => Some(format!("{value} is not a text")),
        }
    }
}

const PERCENT: (i64, i64) = (0, 100);

impl ParameterName {
    /// Every parameter.
    pub const ALL: [Self; 11] = [
        Self::Model,
        Self::Adapter,
        Self::WeightVersion,
        Self::StalenessBound,
        Self::CallerClass,
        Self::MaxInFlight,
        Self::MaxQueued,
        Self::RolloutSharePercent,
        Self::IdleWeight,
        Self::StalenessWeight,
        Self::CallerSecretDigest,
    ];

    /// The widest rule a template may give; also the rule when the template gives none.
    pub fn widest_rule(self) -> ParameterRule {
        let integer = |(minimum, maximum): (i64, i64), default| ParameterRule::Integer { minimum, maximum, default };
        let text = |allowed: &[&str], default: &str| ParameterRule::Text {
            allowed: allowed.iter().map(|value| value.to_string()).collect(),
            default: default.to_string(),
        };
        match self {
            Self::Model | Self::Adapter | Self::CallerSecretDigest => text(&[], ""),
            Self::WeightVersion => integer((0, i64::MAX), 0),
            Self::StalenessBound => integer((0, 64), 2),
            Self::CallerClass => text(&["interactive", "batch"], "interactive"),
            Self::MaxInFlight => integer((1, 100_000), 256),
            Self::MaxQueued => integer((0, 100_000), 256),
            Self::RolloutSharePercent => integer(PERCENT, 75),
            Self::IdleWeight => integer(PERCENT, 50),
            Self::StalenessWeight => integer(PERCENT, 50),
        }
    }
}

/// A set of rules that tenants fill in.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The rules; a parameter without one follows its widest rule.
    pub parameters: BTreeMap<ParameterName, ParameterRule>,
}

/// A tenant's values.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The template it fills in.
    pub template: TemplateId,
    /// Values that differ from the template's defaults.
    pub values: BTreeMap<ParameterName, ParameterValue>,
}

/// A value or rule that cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ParameterError {
    /// The tenant that would be broken, when a template change breaks it.
    pub tenant: Option<TenantId>,
    /// The parameter.
    pub parameter: ParameterName,
    /// Why.
    pub reason: String,
}

impl Template {
    /// The rule in force for `name`.
    pub fn rule(&self, name: ParameterName) -> ParameterRule {
        self.parameters.get(&name).cloned().unwrap_or_else(|| name.widest_rule())
    }

    /// Every reason why this template cannot be accepted.
    pub fn errors(&self) -> Vec<ParameterError> {
        let rules = self.parameters.iter();
        rules.filter_map(|(name, rule)| template_rule_error(*name, rule)).collect()
    }

    /// Every reason why `tenant` cannot be accepted under this template.
    pub fn tenant_errors(&self, tenant: &Tenant) -> Vec<ParameterError> {
        let refused = |(name, value): (&ParameterName, &ParameterValue)| {
            let reason = self.rule(*name).refusal(value)?;
            Some(ParameterError { tenant: None, parameter: *name, reason })
        };
        tenant.values.iter().filter_map(refused).collect()
    }
}

fn template_rule_error(parameter: ParameterName, rule: &ParameterRule) -> Option<ParameterError> {
    let widest = parameter.widest_rule();
    let own_default = rule.default_value();
    let limits_refusal = match rule {
        ParameterRule::Integer { minimum, maximum, .. } => {
            [minimum, maximum].into_iter().find_map(|limit| widest.refusal(&ParameterValue::Integer(*limit)))
        }
        ParameterRule::Text { allowed, .. } => {
            let mut values = allowed.iter();
            values.find_map(|value| widest.refusal(&ParameterValue::Text(value.clone())))
        }
    };
    let reason = limits_refusal.or_else(|| widest.refusal(&own_default)).or_else(|| rule.refusal(&own_default))?;
    Some(ParameterError { tenant: None, parameter, reason })
}

/// A tenant's parameters with every default filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantParameters {
    /// The model that serves the tenant.
    pub model: ModelName,
    /// The weight version to serve, or `None` for the newest published.
    pub pinned_version: Option<WeightVersion>,
    /// Versions a delivered sample may be behind the published one.
    pub staleness_bound: u64,
    /// The class of the tenant's callers.
    pub caller_class: Priority,
    /// The most requests a relay runs at once for the tenant.
    pub max_in_flight: usize,
    /// The most requests a relay keeps waiting for the tenant.
    pub max_queued: usize,
    /// The percentage of an engine's slots that rollouts may fill.
    pub rollout_share_percent: u32,
    /// How much trainer idle time counts, 0 to 100.
    pub idle_weight: u32,
    /// How much staleness counts, 0 to 100.
    pub staleness_weight: u32,
    /// SHA-256 of the callers' secret in hexadecimal, if one is set.
    pub caller_secret_digest: Option<String>,
}

impl TenantParameters {
    /// Fills in `tenant` under `template`.
    pub fn resolve(template: &Template, tenant: &Tenant) -> Self {
        let value = |name: ParameterName| {
            let own = tenant.values.get(&name).cloned();
            own.unwrap_or_else(|| template.rule(name).default_value())
        };
        let integer = |name| match value(name) {
            ParameterValue::Integer(number) => number.max(0) as u64,
            ParameterValue::Text(_) => 0,
        };
        let text = |name| match value(name) {
            ParameterValue::Text(text) => text,
            ParameterValue::Integer(number) => number.to_string(),
        };
        let pinned = integer(ParameterName::WeightVersion);
        let secret = text(ParameterName::CallerSecretDigest);
        let batch = text(ParameterName::CallerClass) == "batch";
        Self {
            model: ModelName(text(ParameterName::Model)),
            pinned_version: (pinned > 0).then_some(WeightVersion(pinned)),
            staleness_bound: integer(ParameterName::StalenessBound),
            caller_class: if batch { Priority::Batch } else { Priority::Interactive },
            max_in_flight: integer(ParameterName::MaxInFlight) as usize,
            max_queued: integer(ParameterName::MaxQueued) as usize,
            rollout_share_percent: integer(ParameterName::RolloutSharePercent) as u32,
            idle_weight: integer(ParameterName::IdleWeight) as u32,
            staleness_weight: integer(ParameterName::StalenessWeight) as u32,
            caller_secret_digest: (!secret.is_empty()).then_some(secret),
        }
    }
}

/// Names a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectName {
    /// A template.
    Template(TemplateId),
    /// A tenant.
    Tenant(TenantId),
}

/// A configuration object's content.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectValue {
    /// A template's rules.
    Template(Template),
    /// A tenant's values.
    Tenant(Tenant),
}

/// An object at a revision; `value` is absent once the object is deleted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ObjectState {
    /// The object's name.
    pub name: ObjectName,
    /// The configuration revision that wrote it.
    pub revision: Revision,
    /// Its content.
    pub value: Option<ObjectValue>,
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The object to write.
    pub name: ObjectName,
    /// Its new content; absent to delete it.
    pub value: Option<ObjectValue>,
    /// The revision the operator saw; zero when the object must not exist; absent for any.
    pub expected: Option<Revision>,
    /// Under which a resend gets its first answer.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationOutcome {
    /// Committed at this revision.
    Accepted(Revision),
    /// Another change came first; this is the object now.
    RevisionMismatch(ObjectState),
    /// Values out of range.
    Invalid(Vec<ParameterError>),
    /// The object or the template it names does not exist.
    NotFound(ObjectName),
    /// Tenants still use the template.
    InUse(Vec<TenantId>),
    /// The idempotency key was used with another change.
    KeyReused,
}

/// Configuration as sent to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// The revision reached by applying this update.
    pub revision: Revision,
    /// Whether objects not named here are gone.
    pub whole: bool,
    /// The objects that changed, or all of them when `whole`.
    pub objects: Vec<ObjectState>,
}
