//! Names of receipts, and fingerprints of the requests.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Digest of the content of a request. If a repeated key has another digest, the
/// sender has used the key for two different requests by mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, From)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the digest of the parts of a request.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut digest = Xxh3::new();
        for part in parts {
            // The length distinguishes ("ab", "c") from ("a", "bc").
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Fingerprint(digest.digest128())
    }
}

/// The key under which a request runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
pub enum RequestKey {
    /// The caller's idempotency key.
    #[display("{_0}")]
    Caller(SmolStr),
    /// The caller gave no key, so the request is its own key.
    #[display("{_0}")]
    Request(RequestId),
}

/// The name of a receipt. The same key of another team or queue is another name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{team}/{queue}/{key}")]
pub struct ReceiptName {
    /// The team that sent the request.
    pub team: TeamId,
    /// The queue to which the request was sent.
    pub queue: QueueId,
    /// The key of the request.
    pub key: RequestKey,
}
