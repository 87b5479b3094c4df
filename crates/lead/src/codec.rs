//! Records in the store, as bytes and back.

use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_net::{from_msgpack, to_msgpack};
use vg_store::{Entry, Value};

use crate::{Host, Platform};

/// Encodes a record; `None`, with a log line, if it has no encoding.
pub(crate) fn encode<T: Serialize>(record: &T) -> Option<Value> {
    let encoded = to_msgpack(record);
    if let Err(error) = &encoded {
        let kind = std::any::type_name::<T>();
        log::error!(target: "store", "a record of type {kind} can't be encoded: {error}");
    }
    encoded.ok()
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Decodes a record; `None`, with an event, if it can't be read.
    pub(crate) fn decode<T: DeserializeOwned>(&self, entry: &Entry) -> Option<T> {
        let decoded = from_msgpack(&entry.value);
        if let Err(error) = &decoded {
            let fields = [Field::new("key", &entry.key), Field::new("cause", error)];
            self.record(Code::ValueUnreadable, fields);
        }
        decoded.ok()
    }
}
