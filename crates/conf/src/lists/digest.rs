//! Digests of callers' keys. The keys themselves are never stored or logged.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a random key of 256 bits.
///
/// The keys are random, so that no search can recover a key from its plain
/// digest. A slow salted hash would cost time in every request and gain nothing.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a key digest is `sha256:` and 64 hexadecimal digits"))]
pub struct DigestError;

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two digests in constant time, so that the time taken reveals
    /// nothing about them.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<KeyDigest, DigestError> {
        let digits = text.strip_prefix("sha256:").ok_or(DigestError)?;
        if digits.len() != 2 * DIGEST_BYTES || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).map_err(|_| DigestError)?;
        }
        Ok(KeyDigest(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<KeyDigest, DigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
