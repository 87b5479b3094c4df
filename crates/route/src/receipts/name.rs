//! What a receipt is kept under.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Digest of a request's method, path and body. A repeated key with another
/// digest is another request by mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, From)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Digests the parts of a request.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut digest = Xxh3::new();
        for part in parts {
            // The length keeps ("ab", "c") apart from ("a", "bc").
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Fingerprint(digest.digest128())
    }
}

/// The key of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
pub enum RequestKey {
    /// The caller's idempotency key.
    #[display("{_0}")]
    Caller(SmolStr),
    /// The caller gave none: the request stands for itself.
    #[display("{_0}")]
    Request(RequestId),
}

/// What a receipt is kept under. Keys of different teams or queues never meet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{team}/{queue}/{key}")]
pub struct ReceiptName {
    /// The team that sent the request.
    pub team: TeamId,
    /// The queue that it was sent to.
    pub queue: QueueId,
    /// Its key.
    pub key: RequestKey,
}
