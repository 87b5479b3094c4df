//! Numbers and bytes in the JSON encoding of the gateway.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use derive_more::{From, Into};
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit number, which JSON contains as a string.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct Int64(pub i64);

impl Int64 {
    /// Whether the number is zero; JSON leaves out such a field.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&self.0)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit number or a string that contains one")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int64, E> {
        i64::try_from(value).map(Int64).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Int64, D::Error> {
        from.deserialize_any(Int64Visitor)
    }
}

/// Bytes, which JSON contains in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct Base64(pub Bytes);

impl Base64 {
    /// Creates bytes from text.
    pub fn from_text(text: &str) -> Base64 {
        Base64(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Whether there are no bytes; JSON leaves out such a field.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Base64, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map(|bytes| Base64(bytes.into())).map_err(de::Error::custom)
    }
}
