//! Complete answers of endpoints, kept to answer repeated requests.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Memory that an answer uses besides its headers and body, in bytes.
const OVERHEAD_BYTES: usize = 96;

/// A header field of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: SmolStr,
    /// Value, as the endpoint sent it.
    #[serde(with = "octets")]
    pub value: Vec<u8>,
}

/// The complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields that are returned to the caller.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "octets")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the memory that the answer uses, in bytes. Each header counts with 48
    /// bytes besides its name and value.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|each| each.name.len() + each.value.len() + 48);
        OVERHEAD_BYTES + self.body.len() + headers.sum::<usize>()
    }
}

/// Serializes octets as one binary value in codecs that have binary values, and
/// deserializes them from a list of numbers too, as other codecs write them.
mod octets {
    use std::fmt;

    use serde::de::{SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(octets: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(octets)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Octets)
    }

    struct Octets;

    impl<'de> Visitor<'de> for Octets {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("octets")
        }

        fn visit_bytes<E>(self, octets: &[u8]) -> Result<Vec<u8>, E> {
            Ok(octets.to_vec())
        }

        fn visit_byte_buf<E>(self, octets: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(octets)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<u8>, A::Error> {
            let mut octets = Vec::new();
            while let Some(octet) = list.next_element()? {
                octets.push(octet);
            }
            Ok(octets)
        }
    }
}
