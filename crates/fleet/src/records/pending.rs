//! The pending batch.

use std::collections::BTreeSet;

use super::Batch;
use super::head::Head;

/// A batch that was returned for commit and whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingBatch {
    pub(crate) batch: Batch,
    /// The head that the batch writes.
    pub(crate) head: Head,
    /// Shards that the batch writes.
    pub(crate) shards: BTreeSet<usize>,
    /// Whether the store's last answer was [`Commit::Conflict`](super::Commit).
    pub(crate) conflicted: bool,
}
