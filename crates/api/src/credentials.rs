//! Who asks: bearer tokens of callers, trainers and operators.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::{CallerId, TenantId};

/// A caller's or trainer's credentials: `tenant:caller:secret`, the secret being optional.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCredentials {
    /// The tenant.
    pub tenant: TenantId,
    /// The application.
    pub caller: CallerId,
    /// The secret; empty when none was given.
    pub secret: String,
}

/// The bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Reads a caller's credentials.
pub fn caller_credentials(headers: &HeaderMap) -> Option<CallerCredentials> {
    let mut parts = bearer(headers)?.splitn(3, ':');
    let tenant = TenantId::new(parts.next().filter(|tenant| !tenant.is_empty())?);
    let caller = CallerId::new(parts.next().unwrap_or("default"));
    Some(CallerCredentials { tenant, caller, secret: parts.next().unwrap_or_default().to_string() })
}

/// Whether `secret` has the SHA-256 `digest`, in hexadecimal.
pub fn secret_matches(secret: &str, digest: &str) -> bool {
    SecretDigest::from_hexadecimal(digest).is_some_and(|digest| digest.matches(secret.as_bytes()))
}

/// Compares without telling by its time where the difference is.
pub fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    let same_length = left.len() == right.len();
    let difference = left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b));
    same_length && difference == 0
}
