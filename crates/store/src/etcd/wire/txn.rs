//! Messages for transactions.

use serde::{Deserialize, Serialize};

use crate::etcd::wire::{Base64, Header, Int64, RangeRequest, RangeResponse};

/// `POST /v3/kv/txn`
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<CompareRequest>,
    /// Operations to execute if all conditions hold.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<RequestOp>,
    /// Operations to execute if a condition does not hold.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<RequestOp>,
}

/// A condition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// Required relation of the two sides.
    pub result: CompareResult,
    /// Property of the key that is compared.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64,
    /// Required revision of the last write of the key; 0 requires that the key does not
    /// exist.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
}

/// Required relation of the two sides of a condition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// The two sides must be equal.
    #[default]
    Equal,
}

/// The property of a key that a condition compares. The default of the gateway is the
/// version, which this crate does not use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision of the last write.
    Mod,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(alias = "requestRange", skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(alias = "requestPut", skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(alias = "requestDeleteRange", skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// A write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    /// Lease to attach the key to; 0 for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// A deletion of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Base64,
}

/// Answer to a [`TxnRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// Answers to the executed operations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Answer to one operation; the answers to writes contain no details.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(alias = "responseRange", skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}
