//! Header fields that the stand-ins read and write.

use http::HeaderMap;

/// Id of the request, given by the entry host that received it.
pub const REQUEST_ID: &str = "vg-request-id";

/// Team that the request counts against.
pub const TEAM: &str = "vg-team";

/// Absolute deadline, in milliseconds since the Unix epoch.
pub const DEADLINE: &str = "vg-deadline-at-ms";

/// The caller's key, the same for each try of one piece of work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// How long the request shall run, in milliseconds.
pub const RUN_MS: &str = "vg-stand-in-run-ms";

/// How a refused request ended.
pub const OUTCOME: &str = "vg-outcome";

/// Returns a header field as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as a number.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
