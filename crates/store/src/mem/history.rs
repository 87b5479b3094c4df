//! Past changes, kept for watches that start from an earlier revision.

use std::collections::VecDeque;

use crate::{Entry, Error, Key, StoreRevision, WatchBatch};

/// Most changes kept; the oldest revisions are compacted beyond it.
const HISTORY_MAX_CHANGES: usize = 10_000;

/// Most bytes of values kept; the oldest revisions are compacted beyond it.
const HISTORY_MAX_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug)]
struct Past {
    revision: StoreRevision,
    key: Key,
    entry: Option<Entry>,
}

impl Past {
    fn bytes(&self) -> usize {
        self.entry.as_ref().map_or(0, |entry| entry.value.len())
    }
}

/// Changes in the order of their revisions.
#[derive(Debug)]
pub(crate) struct History {
    past: VecDeque<Past>,
    /// Sum over `past`.
    bytes: usize,
    oldest: StoreRevision,
}

impl History {
    /// Makes an empty history that starts at `oldest`.
    pub(crate) fn new(oldest: StoreRevision) -> History {
        History { past: VecDeque::new(), bytes: 0, oldest }
    }

    /// Adds a change; `entry` is `None` for a deletion.
    pub(crate) fn push(&mut self, revision: StoreRevision, key: Key, entry: Option<Entry>) {
        let past = Past { revision, key, entry };
        self.bytes += past.bytes();
        self.past.push_back(past);
        while self.is_full() {
            // A revision is forgotten whole: a watch never sees half of one.
            let front = self.past.front().map_or(revision, |each| each.revision);
            self.compact(StoreRevision(front.0 + 1));
        }
    }

    /// Forgets the revisions below `oldest`.
    pub(crate) fn compact(&mut self, oldest: StoreRevision) {
        self.oldest = self.oldest.max(oldest);
        let gone = self.past.partition_point(|each| each.revision < self.oldest);
        let bytes: usize = self.past.drain(..gone).map(|past| past.bytes()).sum();
        self.bytes -= bytes;
    }

    fn is_full(&self) -> bool {
        self.past.len() > HISTORY_MAX_CHANGES || self.bytes > HISTORY_MAX_BYTES
    }

    /// Returns the changes under `prefix` from revision `from` on.
    pub(crate) fn since(&self, prefix: &Key, from: StoreRevision) -> Result<WatchBatch, Error> {
        if from < self.oldest {
            return Err(Error::Compacted { oldest: self.oldest });
        }
        let start = self.past.partition_point(|each| each.revision < from);
        let changes = self
            .past
            .range(start..)
            .filter(|each| each.key.is_under(prefix))
            .map(|each| (each.key.clone(), each.entry.clone()))
            .collect();
        Ok(WatchBatch { revision: StoreRevision::default(), changes })
    }
}
