//! Encoding of stored values: a format version, a checksum and `MessagePack`.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::error::{EncodeSnafu, UnreadableSnafu};
use super::{RecordsError, Stored};

/// Version of the format, which is the first byte of each value.
const FORMAT_VERSION: u8 = 1;
/// Size of the checksum of the `MessagePack` body, which follows the version.
const CHECKSUM_BYTES: usize = 8;

pub(crate) fn encode<T: Serialize>(key: &SmolStr, value: &T) -> Result<Bytes, RecordsError> {
    let body = rmp_serde::to_vec(value)
        .map_err(|error| EncodeSnafu { key: key.clone(), reason: error.to_string() }.build())?;
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes.into())
}

pub(crate) fn decode<T: DeserializeOwned>(stored: &Stored) -> Result<T, RecordsError> {
    let unreadable = |reason: String| UnreadableSnafu { key: stored.key.clone(), reason }.build();
    let (version, rest) =
        stored.value.split_first().ok_or_else(|| unreadable("it is empty".to_owned()))?;
    if *version != FORMAT_VERSION {
        return Err(unreadable(format!("its format version is {version}")));
    }
    let (checksum, body) = rest
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or_else(|| unreadable("it is truncated".to_owned()))?;
    if checksum != xxh3_64(body).to_le_bytes() {
        return Err(unreadable("its checksum does not match".to_owned()));
    }
    rmp_serde::from_slice(body).map_err(|error| unreadable(error.to_string()))
}
