//! Transactions.

use serde::{Deserialize, Serialize};

use crate::etcd::wire::{Base64, Header, Int64, RangeRequest, RangeResponse};

/// `POST /v3/kv/txn`
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<CompareRequest>,
    /// What is done if all conditions hold.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<RequestOp>,
    /// What is done otherwise.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<RequestOp>,
}

/// A condition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// How the two sides must stand.
    pub result: CompareResult,
    /// What is compared.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64,
    /// Revision of the key's last write; 0 if it must not exist.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
}

/// How the two sides of a condition must stand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// They are equal.
    #[default]
    Equal,
}

/// What a condition compares. The gateway's default is the version, which
/// this crate does not use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision of the last write.
    Mod,
}

/// One operation; exactly one field is set.
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
    /// Lease that shall hold the key.
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
    /// Head.
    pub header: Header,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// Answers to the operations done.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Answer to one operation; writes are answered without details.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// What a read found.
    #[serde(alias = "responseRange", skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}
