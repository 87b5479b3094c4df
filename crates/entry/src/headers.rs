//! Header fields of the interfaces for callers and for peers.

use http::{HeaderMap, HeaderName, header};
use snafu::Snafu;
use vg_base::prelude::*;

/// The caller's time limit in milliseconds, counted from the receipt of the request.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("vg-deadline-ms");
/// The absolute deadline in Unix milliseconds, sent to endpoints.
pub(crate) const DEADLINE_AT: HeaderName = HeaderName::from_static("vg-deadline-at-ms");
/// Id of the request, unique across all entry hosts.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("vg-request-id");
/// The team, as the ingress derived it from the key.
pub(crate) const TEAM: HeaderName = HeaderName::from_static("vg-team");
/// Epoch of the pool's ownership as the sender knows it.
pub(crate) const OWNER_EPOCH: HeaderName = HeaderName::from_static("vg-owner-epoch");
/// The entry host that forwards a call.
pub(crate) const VIA_NODE: HeaderName = HeaderName::from_static("vg-via-node");
/// Marks an answer that is repeated for an idempotency key.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("vg-replayed");
/// Digest of the caller's key, sent from the ingress to the owner.
pub(crate) const KEY_DIGEST: HeaderName = HeaderName::from_static("vg-key-digest");
/// The request's outcome, set on every answer to a caller, because an endpoint may answer
/// with a problem document of its own.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("vg-outcome");
/// Marks an answer between entry hosts as the owner's own problem.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("vg-verdict");
/// Processor share of a job in thousandths of a core.
pub(crate) const JOB_CORES: HeaderName = HeaderName::from_static("vg-job-cores");
/// A job's memory in bytes.
pub(crate) const JOB_MEMORY: HeaderName = HeaderName::from_static("vg-job-memory");
/// Number of accelerators of a job.
pub(crate) const JOB_ACCELERATORS: HeaderName = HeaderName::from_static("vg-job-accelerators");
/// Declared run time of a job in milliseconds.
pub(crate) const JOB_RUN_MS: HeaderName = HeaderName::from_static("vg-job-run-ms");
/// The caller's idempotency key, which makes a request safe to repeat.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest idempotency key in bytes.
pub(crate) const IDEMPOTENCY_KEY_MAX_BYTES: usize = 200;

/// Error for a header that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum HeaderError {
    /// The header is missing, repeated or malformed.
    #[snafu(display("header `{name}`: {expected}"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
        /// Description of the accepted values.
        expected: &'static str,
    },
}

/// Returns the text of a header that may occur at most once.
///
/// # Errors
///
/// [`HeaderError::Malformed`] if the header occurs twice or is not ASCII text.
pub(crate) fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, HeaderError> {
    let malformed = HeaderError::Malformed {
        name: static_name(name),
        expected: "one line of ASCII text, once",
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed);
    }
    value.to_str().map(Some).map_err(|_| malformed)
}

/// Parses the value of a header that may occur at most once.
///
/// # Errors
///
/// [`HeaderError::Malformed`] with `expected` as the accepted values.
pub(crate) fn parsed<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    expected: &'static str,
) -> Result<Option<T>, HeaderError> {
    let malformed = HeaderError::Malformed { name: static_name(name), expected };
    let Some(text) = text(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|_| malformed)
}

/// Returns the caller's time limit.
///
/// # Errors
///
/// [`HeaderError::Malformed`] unless the value is a whole number of milliseconds from 1
/// to 86,400,000 (one day).
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, HeaderError> {
    let expected = "milliseconds, a whole number from 1 to 86400000";
    let Some(ms) = parsed::<u64>(headers, &DEADLINE_MS, expected)? else { return Ok(None) };
    if !(1..=86_400_000).contains(&ms) {
        return Err(HeaderError::Malformed { name: "vg-deadline-ms", expected });
    }
    Ok(Some(Duration::from_millis(ms)))
}

/// Returns the caller's idempotency key.
///
/// # Errors
///
/// [`HeaderError::Malformed`] if it is empty, too long, repeated or not ASCII text.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, HeaderError> {
    let Some(key) = text(headers, &IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        let expected = "1 to 200 characters of ASCII";
        return Err(HeaderError::Malformed { name: "idempotency-key", expected });
    }
    Ok(Some(key.into()))
}

/// Returns the caller's key from `Authorization: Bearer`.
///
/// # Errors
///
/// [`HeaderError::Malformed`] for another scheme, an empty key or a header that is repeated
/// or not ASCII text.
pub(crate) fn bearer(headers: &HeaderMap) -> Result<Option<&str>, HeaderError> {
    let malformed =
        HeaderError::Malformed { name: "authorization", expected: "`Bearer` and the team's key" };
    let Some(value) = text(headers, &header::AUTHORIZATION).map_err(|_| malformed.clone())? else {
        return Ok(None);
    };
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") && !key.trim().is_empty() => {
            Ok(Some(key.trim()))
        }
        _ => Err(malformed),
    }
}

/// Returns the name of a header as a static string, for error texts.
fn static_name(name: &HeaderName) -> &'static str {
    match name.as_str() {
        "vg-deadline-ms" => "vg-deadline-ms",
        "vg-deadline-at-ms" => "vg-deadline-at-ms",
        "vg-request-id" => "vg-request-id",
        "vg-team" => "vg-team",
        "vg-owner-epoch" => "vg-owner-epoch",
        "vg-via-node" => "vg-via-node",
        "vg-key-digest" => "vg-key-digest",
        "vg-job-cores" => "vg-job-cores",
        "vg-job-memory" => "vg-job-memory",
        "vg-job-accelerators" => "vg-job-accelerators",
        "vg-job-run-ms" => "vg-job-run-ms",
        "idempotency-key" => "idempotency-key",
        "authorization" => "authorization",
        _ => "(other)",
    }
}
