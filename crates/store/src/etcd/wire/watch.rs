//! Messages for watches.

use serde::{Deserialize, Serialize};

use crate::etcd::wire::{Base64, Header, Int64, KeyValue, StreamError};

/// `POST /v3/watch`
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to open.
    #[serde(alias = "createRequest")]
    pub create_request: CreateRequest,
}

/// A watch to open.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CreateRequest {
    /// The key, or the first key of a range.
    pub key: Base64,
    /// First key after the range; empty for one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
    /// First revision to deliver; 0 for the next revision.
    #[serde(alias = "startRevision", skip_serializing_if = "Int64::is_zero")]
    pub start_revision: Int64,
    /// Whether the store periodically sends answers without events.
    #[serde(alias = "progressNotify", skip_serializing_if = "std::ops::Not::not")]
    pub progress_notify: bool,
}

/// One line of a stream: a result or the error that ends the stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamItem<T> {
    /// A result.
    Result(T),
    /// The error that ends the stream.
    Error(StreamError),
}

/// An answer of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// Whether this answers the request to open the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the store ended the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision that is still available, if the watch asked for an earlier revision.
    #[serde(alias = "compactRevision", skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// Why the store ended the watch.
    #[serde(alias = "cancelReason", skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// A change of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Whether the key was written or deleted.
    #[serde(rename = "type", skip_serializing_if = "EventKind::is_put")]
    pub kind: EventKind,
    /// The key; without a value after a deletion.
    pub kv: KeyValue,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

impl EventKind {
    /// Whether the key was written; JSON leaves out this kind.
    pub fn is_put(&self) -> bool {
        *self == EventKind::Put
    }
}
