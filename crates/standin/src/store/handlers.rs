//! Handlers of the store's stand-in.

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

use crate::store::convert::{self, Wanted, failed, header};
use crate::store::faults::StoreFaultsRequest;
use crate::store::stream::lines;
use crate::web::{Exchange, Problem, Reply, json};

type Shared<C> = FaultyStore<MemStore<C>>;

/// `POST /v3/kv/range`
pub(crate) async fn range<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: RangeRequest = exchange.json().await?;
    match read(&exchange.context, &request).await {
        Ok(listing) => json(&RangeResponse {
            header: header(listing.revision),
            kvs: listing.entries.into_iter().map(KeyValue::from).collect(),
            more: false,
        }),
        Err(e) => failed(&e),
    }
}

async fn read<C: Clock>(store: &Shared<C>, request: &RangeRequest) -> Result<Listing, Error> {
    match convert::wanted(&request.key, &request.range_end)? {
        Wanted::Under(prefix) => store.range(&prefix).await,
        Wanted::One(key) => {
            let entries = store.get(&key).await?.into_iter().collect();
            Ok(Listing { revision: store.inner().revision(), entries })
        }
    }
}

/// `POST /v3/kv/txn`
pub(crate) async fn txn<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: TxnRequest = exchange.json().await?;
    let failure = request.failure.clone();
    let txn = match convert::txn(request) {
        Ok(txn) => txn,
        Err(e) => return failed(&e),
    };
    match exchange.context.commit(txn).await {
        Ok(TxnOutcome::Committed { revision }) => json(&convert::done(revision)),
        Ok(TxnOutcome::Conflict { found }) => {
            let revision = exchange.context.inner().revision();
            json(&convert::conflict(&failure, &found, revision))
        }
        Err(e) => failed(&e),
    }
}

/// `POST /v3/lease/grant`
pub(crate) async fn grant<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: GrantRequest = exchange.json().await?;
    let seconds = match u64::try_from(request.ttl.0) {
        Ok(seconds @ 1..) => seconds,
        _ => return failed(&Error::Refused { reason: "a lease has at least 1 s".to_owned() }),
    };
    match exchange.context.grant(Duration::from_secs(seconds)).await {
        Ok(lease) => json(&GrantResponse {
            header: header(exchange.context.inner().revision()),
            id: Int64(lease.0),
            ttl: request.ttl,
            error: String::new(),
        }),
        Err(e) => failed(&e),
    }
}

/// `POST /v3/lease/keepalive`
pub(crate) async fn keep_alive<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: KeepAliveRequest = exchange.json().await?;
    let ttl = match exchange.context.renew(LeaseId(request.id.0)).await {
        Ok(ttl) => i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX),
        Err(Error::LeaseExpired) => 0,
        Err(e) => return failed(&e),
    };
    json(&StreamItem::Result(KeepAliveResponse {
        header: header(exchange.context.inner().revision()),
        id: request.id,
        ttl: Int64(ttl),
    }))
}

/// `POST /v3/lease/revoke`
pub(crate) async fn revoke<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: RevokeRequest = exchange.json().await?;
    match exchange.context.revoke(LeaseId(request.id.0)).await {
        Ok(()) => json(&RevokeResponse { header: header(exchange.context.inner().revision()) }),
        Err(e) => failed(&e),
    }
}

/// `POST /v3/watch`
pub(crate) async fn watch<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: WatchRequest = exchange.json().await?;
    let create = request.create_request;
    let prefix = match convert::wanted(&create.key, &create.range_end) {
        Ok(Wanted::Under(prefix)) => prefix,
        Ok(Wanted::One(_)) => {
            return failed(&Error::Refused { reason: "only prefixes can be watched".to_owned() });
        }
        Err(e) => return failed(&e),
    };
    let store = &exchange.context;
    let opened = store.watch(&prefix, StoreRevision(create.start_revision.0)).await;
    if let Err(e @ (Error::Unavailable { .. } | Error::Refused { .. })) = &opened {
        return failed(e);
    }
    Ok(streamed(lines(opened, store.inner().revision())))
}

fn streamed(
    lines: impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
) -> Response<vg_net::Body> {
    let frames = futures_util::StreamExt::map(lines, |line| line.map(Frame::data));
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}

/// `PUT /faults`
pub(crate) async fn set_faults<C: Clock>(mut exchange: Exchange<Shared<C>>) -> Reply {
    let request: StoreFaultsRequest = exchange.json().await?;
    if request.odds.is_some_and(|odds| odds.total() > 1000) {
        return Err(Problem::new(StatusCode::BAD_REQUEST, "malformed", "odds above 1000"));
    }
    request.apply(exchange.context.faults());
    json(&request)
}

/// `GET /counts`
pub(crate) async fn counts<C: Clock>(exchange: Exchange<Shared<C>>) -> Reply {
    json(&exchange.context.faults().counts())
}
