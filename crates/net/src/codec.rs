//! MessagePack encoding of the messages between processes of the system.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes a message. Field names are included, so that fields can be added
/// later.
///
/// # Errors
///
/// [`Error::Decode`] if the value can't be represented in MessagePack.
pub fn to_msgpack<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let bytes = rmp_serde::to_vec_named(message);
    bytes.map(Bytes::from).map_err(|e| Error::Decode { reason: e.to_string() })
}

/// Decodes a message.
///
/// # Errors
///
/// [`Error::Decode`] if the bytes are not a complete message of the type `T`.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|e| Error::Decode { reason: e.to_string() })
}
