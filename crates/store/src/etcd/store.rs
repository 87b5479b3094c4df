//! The store over the etcd v3 JSON gateway.

use std::time::Duration;

use crate::etcd::classify::{Effect, classify};
use crate::etcd::settings::EtcdSettings;
use crate::etcd::transport::{Transport, decode};
use crate::etcd::watch::EtcdWatch;
use crate::etcd::wire::{
    Base64, CompareRequest, CompareResult, CompareTarget, DeleteRequest, GrantRequest,
    GrantResponse, Int64, KeepAliveRequest, KeepAliveResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOp, RevokeRequest, RevokeResponse, StreamItem, TxnRequest, TxnResponse,
};
use crate::limits;
use crate::{
    Change, Compare, Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome,
};

/// Maximum size of an answer with one key: a value of a megabyte, encoded in base64.
const GET_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of an answer that may have many keys: to a range or a transaction.
const RANGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Maximum size of an answer to a lease call.
const LEASE_MAX_BYTES: usize = 64 * 1024;

/// The platform's key-value service over the etcd v3 JSON gateway.
///
/// Clones share connections. Reads are linearizable.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    transport: Transport,
}

impl EtcdStore {
    /// Creates a store, which connects at the first call.
    pub fn new(settings: EtcdSettings) -> EtcdStore {
        EtcdStore { transport: Transport::new(settings) }
    }

    /// Reads the keys of a range, which must all be in one answer.
    async fn read(&self, request: RangeRequest, max_bytes: usize) -> Result<Listing, Error> {
        let path = "/v3/kv/range";
        let response: RangeResponse =
            self.transport.call(path, &request, Effect::ReadOnly, max_bytes).await?;
        if response.more {
            return Err(Error::Malformed { reason: "keys are missing".to_owned() });
        }
        let revision = response.header.confirmed_revision()?;
        Ok(Listing { revision, entries: entries(response.kvs)? })
    }
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        let request = RangeRequest { key: Base64::from_text(&key.0), ..RangeRequest::default() };
        Ok(self.read(request, GET_MAX_BYTES).await?.entries.pop())
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        let request = RangeRequest { key: first_key(prefix), range_end: range_end(prefix) };
        self.read(request, RANGE_MAX_BYTES).await
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        limits::check(&txn)?;
        let request = TxnRequest::from(txn);
        let path = "/v3/kv/txn";
        let response: TxnResponse =
            self.transport.call(path, &request, Effect::MayWrite, RANGE_MAX_BYTES).await?;
        let revision = response.header.confirmed_revision()?;
        if response.succeeded {
            return Ok(TxnOutcome::Committed { revision });
        }
        let ranges = response.responses.into_iter().filter_map(|each| each.response_range);
        Ok(TxnOutcome::Conflict { found: entries(ranges.flat_map(|range| range.kvs))? })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let request = GrantRequest { ttl: Int64(ceil_seconds(ttl)) };
        let path = "/v3/lease/grant";
        let response: GrantResponse =
            self.transport.call(path, &request, Effect::MayWrite, LEASE_MAX_BYTES).await?;
        if !response.error.is_empty() {
            return Err(Error::Refused { reason: response.error });
        }
        response.header.confirmed_revision()?;
        if response.id.is_zero() {
            return Err(Error::Malformed { reason: "the lease has no id".to_owned() });
        }
        Ok(LeaseId(response.id.0))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        let request = KeepAliveRequest { id: Int64(lease.0) };
        let path = "/v3/lease/keepalive";
        let body = self.transport.post(path, &request, Effect::MayWrite, LEASE_MAX_BYTES).await?;
        let line = body.split(|&byte| byte == b'\n').next().unwrap_or_default();
        match decode::<StreamItem<KeepAliveResponse>>(line)? {
            StreamItem::Result(response) => {
                response.header.confirmed_revision()?;
                match u64::try_from(response.ttl.0) {
                    Ok(seconds @ 1..) => Ok(Duration::from_secs(seconds)),
                    _ => Err(Error::LeaseExpired),
                }
            }
            StreamItem::Error(e) => Err(classify(e.grpc_code, &e.message, Effect::MayWrite)),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let request = RevokeRequest { id: Int64(lease.0) };
        let path = "/v3/lease/revoke";
        let response: RevokeResponse =
            self.transport.call(path, &request, Effect::MayWrite, LEASE_MAX_BYTES).await?;
        response.header.confirmed_revision().map(|_| ())
    }

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<EtcdWatch, Error> {
        EtcdWatch::open(self.transport.clone(), prefix.clone(), from).await
    }
}

/// Returns the first key of the range for `prefix`. The empty prefix covers all keys, and its
/// range starts at the smallest key.
pub(crate) fn first_key(prefix: &Key) -> Base64 {
    if prefix.0.is_empty() { Base64::from_text("\0") } else { Base64::from_text(&prefix.0) }
}

/// Returns the first key after all those that start with `prefix`.
pub(crate) fn range_end(prefix: &Key) -> Base64 {
    // Bytes of UTF-8 text are below 255, so incrementing the last byte can't overflow.
    let mut end = prefix.0.as_bytes().to_vec();
    match end.last_mut() {
        Some(last) => *last += 1,
        // In the gateway a zero byte as the end of a range means all keys from the first
        // key on.
        None => end.push(0),
    }
    Base64(end.into())
}

fn entries(
    kvs: impl IntoIterator<Item = crate::etcd::wire::KeyValue>,
) -> Result<Vec<Entry>, Error> {
    kvs.into_iter().map(Entry::try_from).collect()
}

/// Rounds a time to live up to whole seconds, at least 1. The result is never shorter than
/// `ttl`, since the store must not end a lease before its holder does.
fn ceil_seconds(ttl: Duration) -> i64 {
    let up = u64::from(ttl.subsec_nanos() > 0);
    i64::try_from(ttl.as_secs().saturating_add(up)).unwrap_or(i64::MAX).max(1)
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> TxnRequest {
        TxnRequest {
            failure: txn.compares.iter().map(read_compared_key).collect(),
            compare: txn.compares.into_iter().map(CompareRequest::from).collect(),
            success: txn.changes.into_iter().map(RequestOp::from).collect(),
        }
    }
}

/// Returns a read of the compared key, for the answer to a transaction whose conditions
/// don't hold.
fn read_compared_key(compare: &Compare) -> RequestOp {
    let key = Base64::from_text(&compare.key.0);
    let range = RangeRequest { key, ..RangeRequest::default() };
    RequestOp { request_range: Some(range), ..RequestOp::default() }
}

impl From<Compare> for CompareRequest {
    fn from(compare: Compare) -> CompareRequest {
        CompareRequest {
            result: CompareResult::Equal,
            target: CompareTarget::Mod,
            key: Base64::from_text(&compare.key.0),
            mod_revision: Int64(compare.modified.map_or(0, |revision| revision.0)),
        }
    }
}

impl From<Change> for RequestOp {
    fn from(change: Change) -> RequestOp {
        match change {
            Change::Put(put) => {
                let request = PutRequest {
                    key: Base64::from_text(&put.key.0),
                    value: Base64(put.value),
                    lease: Int64(put.lease.map_or(0, |lease| lease.0)),
                };
                RequestOp { request_put: Some(request), ..RequestOp::default() }
            }
            Change::Delete(key) => {
                let request = DeleteRequest { key: Base64::from_text(&key.0) };
                RequestOp { request_delete_range: Some(request), ..RequestOp::default() }
            }
        }
    }
}
