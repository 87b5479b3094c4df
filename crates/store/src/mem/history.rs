//! Past changes, kept for watches that start from an earlier revision.

use std::collections::VecDeque;

use crate::{Entry, Error, Key, StoreRevision, WatchBatch};

/// Maximum number of changes kept. Above this number the oldest revisions are compacted.
const HISTORY_MAX_CHANGES: usize = 10_000;

/// Maximum size of all values kept, in bytes. Above this size the oldest revisions are
/// compacted.
const HISTORY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A past change of one key.
#[derive(Debug)]
struct PastChange {
    revision: StoreRevision,
    key: Key,
    entry: Option<Entry>,
}

impl PastChange {
    /// Returns the size of the value, in bytes.
    fn bytes(&self) -> usize {
        self.entry.as_ref().map_or(0, |entry| entry.value.len())
    }
}

/// The past changes in the order of their revisions, which watches read.
#[derive(Debug)]
pub(crate) struct History {
    changes: VecDeque<PastChange>,
    /// Size of the values of all `changes`, in bytes.
    bytes: usize,
    /// Oldest revision from which a watch can start.
    oldest: StoreRevision,
}

impl History {
    /// Creates an empty history that starts at revision `oldest`.
    pub(crate) fn new(oldest: StoreRevision) -> History {
        History { changes: VecDeque::new(), bytes: 0, oldest }
    }

    /// Adds a change; `entry` is `None` for a deletion.
    pub(crate) fn push(&mut self, revision: StoreRevision, key: Key, entry: Option<Entry>) {
        let change = PastChange { revision, key, entry };
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.exceeds_limits() {
            // All changes of a revision are removed together, so that a watch never sees only
            // some of them.
            let front = self.changes.front().map_or(revision, |each| each.revision);
            self.compact(StoreRevision(front.0 + 1));
        }
    }

    /// Removes the revisions below `oldest`.
    pub(crate) fn compact(&mut self, oldest: StoreRevision) {
        self.oldest = self.oldest.max(oldest);
        let compacted = self.changes.partition_point(|each| each.revision < self.oldest);
        let bytes: usize = self.changes.drain(..compacted).map(|change| change.bytes()).sum();
        self.bytes -= bytes;
    }

    fn exceeds_limits(&self) -> bool {
        self.changes.len() > HISTORY_MAX_CHANGES || self.bytes > HISTORY_MAX_BYTES
    }

    /// Returns the changes of keys that start with `prefix`, from revision `from` on. The
    /// revision of the returned batch is not set.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if `from` is below the oldest revision.
    pub(crate) fn since(&self, prefix: &Key, from: StoreRevision) -> Result<WatchBatch, Error> {
        if from < self.oldest {
            return Err(Error::Compacted { oldest: self.oldest });
        }
        let start = self.changes.partition_point(|each| each.revision < from);
        let changes = self
            .changes
            .range(start..)
            .filter(|each| each.key.is_under(prefix))
            .map(|each| (each.key.clone(), each.entry.clone()))
            .collect();
        Ok(WatchBatch { revision: StoreRevision::default(), changes })
    }
}
