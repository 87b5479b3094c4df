//! Past changes, kept for watches that start from an earlier revision.

use std::collections::VecDeque;

use crate::{Entry, Error, Key, StoreRevision, WatchBatch};

/// Most changes kept; the oldest revisions are compacted beyond it.
const HISTORY_MAX_CHANGES: usize = 10_000;

#[derive(Debug)]
struct Past {
    revision: StoreRevision,
    key: Key,
    entry: Option<Entry>,
}

/// Changes in the order of their revisions.
#[derive(Debug)]
pub(crate) struct History {
    past: VecDeque<Past>,
    oldest: StoreRevision,
}

impl History {
    /// Makes an empty history that starts at `oldest`.
    pub(crate) fn new(oldest: StoreRevision) -> History {
        History { past: VecDeque::new(), oldest }
    }

    /// Adds a change; `entry` is `None` for a deletion.
    pub(crate) fn push(&mut self, revision: StoreRevision, key: Key, entry: Option<Entry>) {
        self.past.push_back(Past { revision, key, entry });
        if self.past.len() > HISTORY_MAX_CHANGES {
            // A revision is forgotten whole: a watch never sees half of one.
            let front = self.past.front().map_or(revision, |each| each.revision);
            self.compact(StoreRevision(front.0 + 1));
        }
    }

    /// Forgets the revisions below `oldest`.
    pub(crate) fn compact(&mut self, oldest: StoreRevision) {
        self.oldest = self.oldest.max(oldest);
        while self.past.front().is_some_and(|each| each.revision < self.oldest) {
            self.past.pop_front();
        }
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
