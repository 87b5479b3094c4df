//! Encodes and decodes the records in the store (MessagePack).

use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_net::{from_msgpack, to_msgpack};
use vg_store::{Entry, Value};

use crate::{Host, Platform};

/// Encodes a record. Returns `None` and logs an error if it cannot be encoded.
pub(crate) fn encode<T: Serialize>(record: &T) -> Option<Value> {
    let encoded = to_msgpack(record);
    if let Err(error) = &encoded {
        let kind = std::any::type_name::<T>();
        log::error!(target: "store", "cannot encode a record of type {kind}: {error}");
    }
    encoded.ok()
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Decodes a record. Returns `None` and records an event if it is
    /// malformed.
    pub(crate) fn decode<T: DeserializeOwned>(&self, entry: &Entry) -> Option<T> {
        let decoded = from_msgpack(&entry.value);
        if let Err(error) = &decoded {
            let fields = [Field::new("key", &entry.key), Field::new("cause", error)];
            self.record(Code::ValueUnreadable, fields);
        }
        decoded.ok()
    }
}
