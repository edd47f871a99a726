//! Bearer tokens of callers, trainers and operators.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::{CallerId, TenantId};

/// Credentials of a caller or trainer, sent as `tenant:caller:secret`; caller and secret are optional.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCredentials {
    /// The tenant.
    pub tenant: TenantId,
    /// The calling application; `default` if omitted.
    pub caller: CallerId,
    /// The secret; empty if omitted.
    pub secret: String,
}

/// The bearer token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Parses a caller's credentials; `None` if the header or the tenant is missing.
pub fn caller_credentials(headers: &HeaderMap) -> Option<CallerCredentials> {
    let mut parts = bearer_token(headers)?.splitn(3, ':');
    let tenant = TenantId::new(parts.next().filter(|tenant| !tenant.is_empty())?);
    let caller = CallerId::new(parts.next().unwrap_or("default"));
    Some(CallerCredentials { tenant, caller, secret: parts.next().unwrap_or_default().to_string() })
}

/// Whether `digest`, in hexadecimal, is the SHA-256 digest of `secret`.
pub fn secret_matches(secret: &str, digest: &str) -> bool {
    SecretDigest::from_hexadecimal(digest).is_some_and(|digest| digest.matches(secret.as_bytes()))
}

/// Compares in a time that does not depend on the position of the first difference.
pub fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    let same_length = left.len() == right.len();
    let difference = left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b));
    same_length && difference == 0
}
