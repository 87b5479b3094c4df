//! Messages for leases.

use serde::{Deserialize, Serialize};

use crate::etcd::wire::{Header, Int64};

/// `POST /v3/lease/grant`
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Answer to a [`GrantRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GrantResponse {
    /// Header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds, as granted.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
    /// Why no lease was granted.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub error: String,
}

/// `POST /v3/lease/keepalive`
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Answer to a [`KeepAliveRequest`], as an item of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// Header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds; 0, which JSON leaves out, if the lease has expired.
    #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
    pub ttl: Int64,
}

/// `POST /v3/lease/revoke`
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RevokeRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Answer to a [`RevokeRequest`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RevokeResponse {
    /// Header.
    pub header: Header,
}
