//! The messages of the etcd v3 JSON gateway that this crate uses.
//!
//! The gateway writes 64-bit numbers as strings and bytes in base64, and leaves out fields
//! with their default value. It accepts field names in snake case and in camel case.

mod error;
mod kv;
mod lease;
mod scalar;
mod txn;
mod watch;

pub use error::{Code, ErrorBody, LEASE_NOT_FOUND, StreamError, TOO_MANY_REQUESTS};
pub use kv::{Header, KeyValue, RangeRequest, RangeResponse};
pub use lease::{
    GrantRequest, GrantResponse, KeepAliveRequest, KeepAliveResponse, RevokeRequest, RevokeResponse,
};
pub use scalar::{Base64, Int64};
pub use txn::{
    CompareRequest, CompareResult, CompareTarget, DeleteRequest, PutRequest, RequestOp, ResponseOp,
    TxnRequest, TxnResponse,
};
pub use watch::{CreateRequest, EventKind, StreamItem, WatchEvent, WatchRequest, WatchResponse};
