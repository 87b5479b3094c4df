//! Attempts that were answered as *not run*.

use std::collections::{BTreeSet, HashSet};

use vg_base::prelude::*;

/// Attempts that were answered as *not run*, until their deadlines have
/// passed, so that a message that comes twice does not run after all.
///
/// When there are too many, the one with the earliest deadline is dropped.
#[derive(Debug, Default)]
pub(crate) struct Spent {
    attempts: HashSet<RequestId>,
    ends: BTreeSet<(Instant, RequestId)>,
}

impl Spent {
    pub(crate) fn insert(&mut self, attempt: RequestId, deadline: Instant, most: usize) {
        if self.attempts.insert(attempt) {
            self.ends.insert((deadline, attempt));
        }
        while self.ends.len() > most {
            self.drop_first();
        }
    }

    pub(crate) fn contains(&self, attempt: RequestId) -> bool {
        self.attempts.contains(&attempt)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while self.ends.first().is_some_and(|(deadline, _)| *deadline < now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, attempt)) = self.ends.pop_first() {
            self.attempts.remove(&attempt);
        }
    }
}
