//! A batch under way.

use std::collections::BTreeSet;

use super::Batch;
use super::head::Head;

/// A batch that was given out and not settled.
#[derive(Debug, Clone)]
pub(crate) struct Flight {
    pub(crate) batch: Batch,
    pub(crate) head: Head,
    pub(crate) shards: BTreeSet<usize>,
    /// Whether the store's last answer was that a condition did not hold.
    pub(crate) refused: bool,
}
