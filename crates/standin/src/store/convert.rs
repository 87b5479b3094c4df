//! Messages of the gateway to calls of the store, and errors back.

use http::StatusCode;
use vg_store::wire::{
    Base64, Code, CompareRequest, CompareTarget, ErrorBody, Header, Int64, KeyValue,
    LEASE_NOT_FOUND, RangeRequest, RangeResponse, RequestOp, ResponseOp, TOO_MANY_REQUESTS,
    TxnRequest, TxnResponse,
};
use vg_store::{Change, Compare, Entry, Error, Key, LeaseId, Put, StoreRevision, Txn};

use crate::web::{Reply, json_as, torn};

/// What a range asks for.
pub(crate) enum Wanted {
    /// One key.
    One(Key),
    /// All keys with a prefix.
    Under(Key),
}

/// Returns what a range of keys stands for.
pub(crate) fn wanted(key: &Base64, end: &Base64) -> Result<Wanted, Error> {
    if end.is_empty() {
        return Ok(Wanted::One(text(key)?));
    }
    if key.0.as_ref() == b"\0" && end.0.as_ref() == b"\0" {
        return Ok(Wanted::Under(Key::from("")));
    }
    let mut expected = key.0.to_vec();
    if let Some(last) = expected.last_mut() {
        *last = last.wrapping_add(1);
    }
    if expected != end.0.as_ref() {
        return Err(refused("only single keys and prefixes can be read"));
    }
    Ok(Wanted::Under(text(key)?))
}

/// Reads a transaction.
pub(crate) fn txn(request: TxnRequest) -> Result<Txn, Error> {
    if request.failure.iter().any(|op| op.request_range.is_none()) {
        return Err(refused("a transaction that fails can only read"));
    }
    Ok(Txn {
        compares: request.compare.into_iter().map(compare).collect::<Result<_, _>>()?,
        changes: request.success.into_iter().map(change).collect::<Result<_, _>>()?,
    })
}

fn compare(request: CompareRequest) -> Result<Compare, Error> {
    if request.target != CompareTarget::Mod {
        return Err(refused("only revisions of the last write can be compared"));
    }
    let modified = (!request.mod_revision.is_zero()).then_some(request.mod_revision.0);
    Ok(Compare { key: text(&request.key)?, modified: modified.map(StoreRevision) })
}

fn change(op: RequestOp) -> Result<Change, Error> {
    match op {
        RequestOp { request_put: Some(put), request_range: None, request_delete_range: None } => {
            let lease = (!put.lease.is_zero()).then_some(LeaseId(put.lease.0));
            Ok(Change::Put(Put { key: text(&put.key)?, value: put.value.0, lease }))
        }
        RequestOp {
            request_delete_range: Some(delete),
            request_put: None,
            request_range: None,
        } => Ok(Change::Delete(text(&delete.key)?)),
        _ => Err(refused("a transaction that succeeds can only put and delete")),
    }
}

/// Answers a transaction that was applied.
pub(crate) fn done(revision: StoreRevision) -> TxnResponse {
    TxnResponse { header: header(revision), succeeded: true, responses: Vec::new() }
}

/// Answers a transaction whose conditions did not hold with the keys that its
/// failure branch reads.
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

/// Makes the head of an answer.
pub(crate) fn header(revision: StoreRevision) -> Header {
    Header { revision: Int64(revision.0) }
}

/// Answers with an error; a lost answer tears the connection.
pub(crate) fn failed(error: &Error) -> Reply {
    let (status, code) = match error {
        Error::AnswerLost { .. } => return Ok(torn(bytes::Bytes::from_static(b"{"))),
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
    json_as(status, &ErrorBody { code, error: message.clone(), message })
}

fn text(key: &Base64) -> Result<Key, Error> {
    match std::str::from_utf8(&key.0) {
        Ok("") => Err(refused("a key is empty")),
        Ok(text) => Ok(Key::from(text)),
        Err(_) => Err(refused("a key is not UTF-8")),
    }
}

fn refused(reason: &str) -> Error {
    Error::Refused { reason: reason.to_owned() }
}
