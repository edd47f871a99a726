//! Templates, tenants and their typed parameters, as set by operators.

use crate::identity::{IdempotencyKey, ModelName, Revision, TemplateId, TenantId, WeightVersion};
use crate::request::Priority;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A tenant's parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterName {
    /// Text: the model that serves the tenant.
    Model,
    /// Text: the adapter to apply; empty for none.
    Adapter,
    /// Integer: the weight version to serve; zero for the newest published.
    WeightVersion,
    /// Integer: how many versions a delivered sample may be behind the published one.
    StalenessBound,
    /// Text, `interactive` or `batch`: the class of the tenant's callers.
    CallerClass,
    /// Integer: maximum requests in flight for the tenant at one relay.
    MaxInFlight,
    /// Integer: maximum requests queued for the tenant at one relay.
    MaxQueued,
    /// Integer: percentage of an engine's slots that rollouts may use.
    RolloutSharePercent,
    /// Integer, 0 to 100: weight of trainer idle time relative to staleness.
    IdleWeight,
    /// Integer, 0 to 100: weight of staleness relative to trainer idle time.
    StalenessWeight,
    /// Text: SHA-256 of the callers' secret, hexadecimal; empty for none.
    CallerSecretDigest,
}

/// A parameter's value.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ParameterValue {
    /// An integer.
    Integer(i64),
    /// A string.
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
    /// An integer within an inclusive range.
    Integer {
        /// Lowest value.
        minimum: i64,
        /// Highest value.
        maximum: i64,
        /// Value if the tenant sets none.
        default: i64,
    },
    /// A string, one of a list unless the list is empty.
    Text {
        /// The allowed values; empty if any value is allowed.
        allowed: Vec<String>,
        /// Value if the tenant sets none.
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

    /// The reason why `value` is not allowed, or `None` if it is.
    pub fn validation_error(&self, value: &ParameterValue) -> Option<String> {
        match (self, value) {
            (Self::Integer { minimum, maximum, .. }, ParameterValue::Integer(number)) => {
                let is_allowed = (*minimum..=*maximum).contains(number);
                (!is_allowed).then(|| format!("{number} is outside {minimum} to {maximum}"))
            }
            (Self::Text { allowed, .. }, ParameterValue::Text(text)) => {
                let is_allowed = allowed.is_empty() || allowed.contains(text);
                (!is_allowed).then(|| format!("\"{text}\" is not one of {allowed:?}"))
            }
            (Self::Integer { .. }, _) => Some(format!("{value} is not a whole number")),
            (Self::Text { .. }, _) => Some(format!("{value} is not a text")),
        }
    }
}

const PERCENT_RANGE: (i64, i64) = (0, 100);

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

    /// The most permissive rule that a template may set; also the default rule.
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
            Self::RolloutSharePercent => integer(PERCENT_RANGE, 75),
            Self::IdleWeight => integer(PERCENT_RANGE, 50),
            Self::StalenessWeight => integer(PERCENT_RANGE, 50),
        }
    }
}

/// A set of parameter rules for tenants.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The rules; a parameter that is not listed has its widest rule.
    pub parameters: BTreeMap<ParameterName, ParameterRule>,
}

/// A tenant's configuration: its template and parameter values.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The template whose rules apply.
    pub template: TemplateId,
    /// Values set by the tenant; other parameters have the template's defaults.
    pub values: BTreeMap<ParameterName, ParameterValue>,
}

/// An invalid value or rule.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ParameterError {
    /// The tenant whose values a template change would make invalid.
    pub tenant: Option<TenantId>,
    /// The parameter whose value or rule is invalid.
    pub parameter: ParameterName,
    /// Human-readable reason.
    pub reason: String,
}

impl Template {
    /// The effective rule for `name`.
    pub fn rule(&self, name: ParameterName) -> ParameterRule {
        self.parameters.get(&name).cloned().unwrap_or_else(|| name.widest_rule())
    }

    /// All validation errors of this template.
    pub fn errors(&self) -> Vec<ParameterError> {
        let rules = self.parameters.iter();
        rules.filter_map(|(name, rule)| template_rule_error(*name, rule)).collect()
    }

    /// All validation errors of `tenant` under this template.
    pub fn tenant_errors(&self, tenant: &Tenant) -> Vec<ParameterError> {
        let value_error = |(name, value): (&ParameterName, &ParameterValue)| {
            let reason = self.rule(*name).validation_error(value)?;
            Some(ParameterError { tenant: None, parameter: *name, reason })
        };
        tenant.values.iter().filter_map(value_error).collect()
    }
}

fn template_rule_error(parameter: ParameterName, rule: &ParameterRule) -> Option<ParameterError> {
    let widest = parameter.widest_rule();
    let default_value = rule.default_value();
    let limits_error = match rule {
        ParameterRule::Integer { minimum, maximum, .. } => {
            [minimum, maximum].into_iter().find_map(|limit| widest.validation_error(&ParameterValue::Integer(*limit)))
        }
        ParameterRule::Text { allowed, .. } => {
            let mut values = allowed.iter();
            values.find_map(|value| widest.validation_error(&ParameterValue::Text(value.clone())))
        }
    };
    let reason = limits_error
        .or_else(|| widest.validation_error(&default_value))
        .or_else(|| rule.validation_error(&default_value))?;
    Some(ParameterError { tenant: None, parameter, reason })
}

/// A tenant's effective parameters, defaults included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantParameters {
    /// The model that serves the tenant.
    pub model: ModelName,
    /// The weight version to serve; `None` for the newest published one.
    pub pinned_version: Option<WeightVersion>,
    /// How many versions a delivered sample may be behind the published one.
    pub staleness_bound: u64,
    /// The class of the tenant's callers.
    pub caller_class: Priority,
    /// Maximum requests in flight for the tenant at one relay.
    pub max_in_flight: usize,
    /// Maximum requests queued for the tenant at one relay.
    pub max_queued: usize,
    /// Percentage of an engine's slots that rollouts may use.
    pub rollout_share_percent: u32,
    /// Weight of trainer idle time, 0 to 100.
    pub idle_weight: u32,
    /// Weight of staleness, 0 to 100.
    pub staleness_weight: u32,
    /// SHA-256 of the callers' secret in hexadecimal, if one is set.
    pub caller_secret_digest: Option<String>,
}

impl TenantParameters {
    /// Resolves the tenant's values and the template's defaults.
    pub fn resolve(template: &Template, tenant: &Tenant) -> Self {
        let value = |name: ParameterName| {
            let tenant_value = tenant.values.get(&name).cloned();
            tenant_value.unwrap_or_else(|| template.rule(name).default_value())
        };
        let integer = |name| match value(name) {
            ParameterValue::Integer(number) => number.max(0) as u64,
            ParameterValue::Text(_) => 0,
        };
        let text = |name| match value(name) {
            ParameterValue::Text(text) => text,
            ParameterValue::Integer(number) => number.to_string(),
        };
        let pinned_version = integer(ParameterName::WeightVersion);
        let secret_digest = text(ParameterName::CallerSecretDigest);
        let is_batch = text(ParameterName::CallerClass) == "batch";
        Self {
            model: ModelName(text(ParameterName::Model)),
            pinned_version: (pinned_version > 0).then_some(WeightVersion(pinned_version)),
            staleness_bound: integer(ParameterName::StalenessBound),
            caller_class: if is_batch { Priority::Batch } else { Priority::Interactive },
            max_in_flight: integer(ParameterName::MaxInFlight) as usize,
            max_queued: integer(ParameterName::MaxQueued) as usize,
            rollout_share_percent: integer(ParameterName::RolloutSharePercent) as u32,
            idle_weight: integer(ParameterName::IdleWeight) as u32,
            staleness_weight: integer(ParameterName::StalenessWeight) as u32,
            caller_secret_digest: (!secret_digest.is_empty()).then_some(secret_digest),
        }
    }
}

/// Identifies a configuration object.
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

/// An object at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ObjectState {
    /// The object's name.
    pub name: ObjectName,
    /// The configuration revision of the last write.
    pub revision: Revision,
    /// The content; `None` if the object is deleted.
    pub value: Option<ObjectValue>,
}

/// A configuration change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The object to write.
    pub name: ObjectName,
    /// The new content; `None` to delete the object.
    pub value: Option<ObjectValue>,
    /// Expected revision for optimistic concurrency; zero if the object must not exist; `None` to skip the check.
    pub expected: Option<Revision>,
    /// A resend with the same key gets the first response.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Result of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationOutcome {
    /// Committed at this revision.
    Accepted(Revision),
    /// The object has another revision than expected; this is its current state.
    RevisionMismatch(ObjectState),
    /// Values or rules are invalid.
    Invalid(Vec<ParameterError>),
    /// The object, or the template that it refers to, does not exist.
    NotFound(ObjectName),
    /// Tenants still use the template.
    InUse(Vec<TenantId>),
    /// The idempotency key was already used with another change.
    KeyReused,
}

/// Configuration changes sent to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// The revision after the update is applied.
    pub revision: Revision,
    /// Whether this is the full configuration, so that objects not listed are deleted.
    pub whole: bool,
    /// The changed objects, or all objects if `whole`.
    pub objects: Vec<ObjectState>,
}
