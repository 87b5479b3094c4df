//! Keys, and messages for reads.

use serde::{Deserialize, Serialize};

use crate::etcd::wire::{Base64, Int64};
use crate::{Entry, Error, Key, LeaseId, StoreRevision};

/// Header of each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store at the time of the answer.
    pub revision: Int64,
}

impl Header {
    /// Returns the revision, which every answer of the store must have.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if there is no revision. All other fields of an answer are
    /// optional. Without this check any JSON object that another server sends would be
    /// accepted as an answer, for example as an answer that lists no keys.
    pub fn confirmed_revision(&self) -> Result<StoreRevision, Error> {
        match self.revision {
            Int64(revision @ 1..) => Ok(StoreRevision(revision)),
            _ => Err(Error::Malformed { reason: "the answer has no revision".to_owned() }),
        }
    }
}

/// A key with its value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    /// Revision of the last write.
    #[serde(alias = "modRevision", skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
    /// Lease that the key is attached to; 0 for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

impl KeyValue {
    /// Returns the key as text.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if it is not UTF-8.
    pub fn key_text(&self) -> Result<Key, Error> {
        let text = std::str::from_utf8(&self.key.0);
        text.map(Key::from).map_err(|e| Error::Malformed { reason: format!("a key: {e}") })
    }
}

impl From<Entry> for KeyValue {
    fn from(entry: Entry) -> KeyValue {
        KeyValue {
            key: Base64::from_text(&entry.key.0),
            value: Base64(entry.value),
            mod_revision: Int64(entry.modified.0),
            lease: Int64(entry.lease.map_or(0, |lease| lease.0)),
        }
    }
}

impl TryFrom<KeyValue> for Entry {
    type Error = Error;

    fn try_from(kv: KeyValue) -> Result<Entry, Error> {
        let key = kv.key_text()?;
        let lease = (!kv.lease.is_zero()).then_some(LeaseId(kv.lease.0));
        Ok(Entry { key, value: kv.value.0, modified: StoreRevision(kv.mod_revision.0), lease })
    }
}

/// `POST /v3/kv/range`
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The key, or the first key of a range.
    pub key: Base64,
    /// First key after the range; empty for one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
}

/// Answer to a [`RangeRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// The keys found.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the answer contains.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}
