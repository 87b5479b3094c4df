//! Names of the HTTP header fields that the stand-ins read and write.

use http::HeaderMap;

/// Id of the request, assigned by the entry host that received it.
pub const REQUEST_ID: &str = "vg-request-id";

/// Team whose limit the request counts towards.
pub const TEAM: &str = "vg-team";

/// Absolute deadline of the request, in milliseconds since the Unix epoch.
pub const DEADLINE: &str = "vg-deadline-at-ms";

/// The caller's idempotency key, which is the same for each retry of the same work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Requested run time, in milliseconds.
pub const RUN_MS: &str = "vg-stand-in-run-ms";

/// Outcome of a refused request: `not-run`.
pub const OUTCOME: &str = "vg-outcome";

/// Returns a header field as text, if it is present and is visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as a number, if it is present and is a valid `u64`.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
