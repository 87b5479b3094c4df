//! Conversion of gateway requests into calls of the store, and of results and errors
//! into gateway responses.

use http::StatusCode;
use vg_store::wire::{
    Base64, Code, CompareRequest, CompareTarget, ErrorBody, Header, Int64, KeyValue,
    LEASE_NOT_FOUND, RangeRequest, RangeResponse, RequestOp, ResponseOp, TOO_MANY_REQUESTS,
    TxnRequest, TxnResponse,
};
use vg_store::{Change, Compare, Entry, Error, Key, LeaseId, Put, StoreRevision, Txn};

use crate::web::{Reply, aborted_response, json_with_status};

/// The keys that a range request or a watch selects.
pub(crate) enum RangeTarget {
    /// A single key.
    Single(Key),
    /// All keys with a prefix.
    Prefix(Key),
}

/// Returns the selection of the range from `key` to `end`.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the range is neither a single key nor a prefix, or
/// if the key is empty or not UTF-8.
pub(crate) fn range_target(key: &Base64, end: &Base64) -> Result<RangeTarget, Error> {
    if end.is_empty() {
        return Ok(RangeTarget::Single(parse_key(key)?));
    }
    if key.0.as_ref() == b"\0" && end.0.as_ref() == b"\0" {
        return Ok(RangeTarget::Prefix(Key::from("")));
    }
    let mut expected = key.0.to_vec();
    if let Some(last) = expected.last_mut() {
        *last = last.wrapping_add(1);
    }
    if expected != end.0.as_ref() {
        return Err(refused("only single keys and prefixes can be read"));
    }
    Ok(RangeTarget::Prefix(parse_key(key)?))
}

/// Parses a transaction.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the transaction uses a feature that this stand-in
/// does not support, or if a key is empty or not UTF-8.
pub(crate) fn parse_txn(request: TxnRequest) -> Result<Txn, Error> {
    if request.failure.iter().any(|op| op.request_range.is_none()) {
        return Err(refused("a transaction that fails can only read"));
    }
    Ok(Txn {
        compares: request.compare.into_iter().map(parse_compare).collect::<Result<_, _>>()?,
        changes: request.success.into_iter().map(parse_change).collect::<Result<_, _>>()?,
    })
}

fn parse_compare(request: CompareRequest) -> Result<Compare, Error> {
    if request.target != CompareTarget::Mod {
        return Err(refused("only revisions of the last write can be compared"));
    }
    let modified = (!request.mod_revision.is_zero()).then_some(request.mod_revision.0);
    Ok(Compare { key: parse_key(&request.key)?, modified: modified.map(StoreRevision) })
}

fn parse_change(op: RequestOp) -> Result<Change, Error> {
    match op {
        RequestOp { request_put: Some(put), request_range: None, request_delete_range: None } => {
            let lease = (!put.lease.is_zero()).then_some(LeaseId(put.lease.0));
            Ok(Change::Put(Put { key: parse_key(&put.key)?, value: put.value.0, lease }))
        }
        RequestOp {
            request_delete_range: Some(delete),
            request_put: None,
            request_range: None,
        } => Ok(Change::Delete(parse_key(&delete.key)?)),
        _ => Err(refused("a transaction that succeeds can only put and delete")),
    }
}

/// Returns the response to a committed transaction.
pub(crate) fn committed(revision: StoreRevision) -> TxnResponse {
    TxnResponse { header: header(revision), succeeded: true, responses: Vec::new() }
}

/// Returns the response to a transaction whose comparisons failed, with the entries
/// that its failure branch reads.
pub(crate) fn conflict(
    failure: &[RequestOp],
    found: &[Entry],
    revision: StoreRevision,
) -> TxnResponse {
    let read = |range: &RangeRequest| {
        let kvs = found.iter().find(|entry| entry.key.0.as_bytes() == range.key.0);
        let kvs = kvs.cloned().map(KeyValue::from).into_iter().collect();
        RangeResponse { header: header(revision), kvs, more: false }
    };
    let responses = failure
        .iter()
        .map(|op| ResponseOp { response_range: op.request_range.as_ref().map(read) })
        .collect();
    TxnResponse { header: header(revision), succeeded: false, responses }
}

/// Returns the header of a response.
pub(crate) fn header(revision: StoreRevision) -> Header {
    Header { revision: Int64(revision.0) }
}

/// Returns the response to a call that failed. [`Error::AnswerLost`] closes the
/// connection within the response, as a lost answer would.
pub(crate) fn error_response(error: &Error) -> Reply {
    let (status, code) = match error {
        Error::AnswerLost { .. } => return Ok(aborted_response(bytes::Bytes::from_static(b"{"))),
        Error::Unavailable { reason } if reason == TOO_MANY_REQUESTS => {
            (StatusCode::TOO_MANY_REQUESTS, Code::RESOURCE_EXHAUSTED)
        }
        Error::Unavailable { .. } | Error::Malformed { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, Code::UNAVAILABLE)
        }
        Error::LeaseExpired => (StatusCode::NOT_FOUND, Code::NOT_FOUND),
        Error::Compacted { .. } => (StatusCode::BAD_REQUEST, Code::OUT_OF_RANGE),
        Error::Refused { .. } => (StatusCode::BAD_REQUEST, Code::INVALID_ARGUMENT),
    };
    let message = match error {
        Error::LeaseExpired => LEASE_NOT_FOUND.to_owned(),
        Error::Unavailable { reason } => reason.clone(),
        other => other.to_string(),
    };
    json_with_status(status, &ErrorBody { code, error: message.clone(), message })
}

fn parse_key(key: &Base64) -> Result<Key, Error> {
    match std::str::from_utf8(&key.0) {
        Ok("") => Err(refused("a key is empty")),
        Ok(text) => Ok(Key::from(text)),
        Err(_) => Err(refused("a key is not UTF-8")),
    }
}

fn refused(reason: &str) -> Error {
    Error::Refused { reason: reason.to_owned() }
}
