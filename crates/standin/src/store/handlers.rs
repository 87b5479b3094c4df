//! Request handlers of the stand-in for the store.

use std::io;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use vg_base::prelude::*;
use vg_store::wire::{
    GrantRequest, GrantResponse, Int64, KeepAliveRequest, KeepAliveResponse, KeyValue,
    RangeRequest, RangeResponse, RevokeRequest, RevokeResponse, StreamItem, TxnRequest,
    WatchRequest,
};
use vg_store::{Error, FaultyStore, LeaseId, Listing, MemStore, Store, StoreRevision, TxnOutcome};

use crate::store::convert::{self, RangeTarget, error_response, header};
use crate::store::faults::StoreFaultsRequest;
use crate::store::stream::watch_lines;
use crate::web::{Exchange, Problem, Reply, json};

type SharedStore<C> = FaultyStore<MemStore<C>>;

/// Handles `POST /v3/kv/range`.
pub(crate) async fn range<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: RangeRequest = exchange.read_json().await?;
    match read_range(&exchange.context, &request).await {
        Ok(listing) => json(&RangeResponse {
            header: header(listing.revision),
            kvs: listing.entries.into_iter().map(KeyValue::from).collect(),
            more: false,
        }),
        Err(e) => error_response(&e),
    }
}

async fn read_range<C: Clock>(
    store: &SharedStore<C>,
    request: &RangeRequest,
) -> Result<Listing, Error> {
    match convert::range_target(&request.key, &request.range_end)? {
        RangeTarget::Prefix(prefix) => store.range(&prefix).await,
        RangeTarget::Single(key) => {
            let entries = store.get(&key).await?.into_iter().collect();
            Ok(Listing { revision: store.inner().revision(), entries })
        }
    }
}

/// Handles `POST /v3/kv/txn`.
pub(crate) async fn txn<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: TxnRequest = exchange.read_json().await?;
    let failure = request.failure.clone();
    let txn = match convert::parse_txn(request) {
        Ok(txn) => txn,
        Err(e) => return error_response(&e),
    };
    match exchange.context.commit(txn).await {
        Ok(TxnOutcome::Committed { revision }) => json(&convert::committed(revision)),
        Ok(TxnOutcome::Conflict { found }) => {
            let revision = exchange.context.inner().revision();
            json(&convert::conflict(&failure, &found, revision))
        }
        Err(e) => error_response(&e),
    }
}

/// Handles `POST /v3/lease/grant`.
pub(crate) async fn grant<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: GrantRequest = exchange.read_json().await?;
    let seconds = match u64::try_from(request.ttl.0) {
        Ok(seconds @ 1..) => seconds,
        _ => {
            return error_response(&Error::Refused {
                reason: "a lease has at least 1 s".to_owned(),
            });
        }
    };
    match exchange.context.grant(Duration::from_secs(seconds)).await {
        Ok(lease) => json(&GrantResponse {
            header: header(exchange.context.inner().revision()),
            id: Int64(lease.0),
            ttl: request.ttl,
            error: String::new(),
        }),
        Err(e) => error_response(&e),
    }
}

/// Handles `POST /v3/lease/keepalive`.
pub(crate) async fn keep_alive<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: KeepAliveRequest = exchange.read_json().await?;
    let ttl = match exchange.context.renew(LeaseId(request.id.0)).await {
        Ok(ttl) => i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX),
        Err(Error::LeaseExpired) => 0,
        Err(e) => return error_response(&e),
    };
    json(&StreamItem::Result(KeepAliveResponse {
        header: header(exchange.context.inner().revision()),
        id: request.id,
        ttl: Int64(ttl),
    }))
}

/// Handles `POST /v3/lease/revoke`.
pub(crate) async fn revoke<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: RevokeRequest = exchange.read_json().await?;
    match exchange.context.revoke(LeaseId(request.id.0)).await {
        Ok(()) => json(&RevokeResponse { header: header(exchange.context.inner().revision()) }),
        Err(e) => error_response(&e),
    }
}

/// Handles `POST /v3/watch`.
pub(crate) async fn watch<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: WatchRequest = exchange.read_json().await?;
    let create = request.create_request;
    let prefix = match convert::range_target(&create.key, &create.range_end) {
        Ok(RangeTarget::Prefix(prefix)) => prefix,
        Ok(RangeTarget::Single(_)) => {
            return error_response(&Error::Refused {
                reason: "only prefixes can be watched".to_owned(),
            });
        }
        Err(e) => return error_response(&e),
    };
    let store = &exchange.context;
    let opened = store.watch(&prefix, StoreRevision(create.start_revision.0)).await;
    if let Err(e @ (Error::Unavailable { .. } | Error::Refused { .. })) = &opened {
        return error_response(e);
    }
    Ok(stream_response(watch_lines(opened, store.inner().revision())))
}

fn stream_response(
    lines: impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
) -> Response<vg_net::Body> {
    let frames = futures_util::StreamExt::map(lines, |line| line.map(Frame::data));
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}

/// Handles `PUT /faults`.
pub(crate) async fn set_faults<C: Clock>(mut exchange: Exchange<SharedStore<C>>) -> Reply {
    let request: StoreFaultsRequest = exchange.read_json().await?;
    if request.odds.is_some_and(|odds| odds.total() > 1000) {
        return Err(Problem::new(StatusCode::BAD_REQUEST, "malformed", "odds above 1000"));
    }
    request.apply(exchange.context.faults());
    json(&request)
}

/// Handles `GET /counts`.
pub(crate) async fn counts<C: Clock>(exchange: Exchange<SharedStore<C>>) -> Reply {
    json(&exchange.context.faults().counts())
}
