//! Attempts that were answered as *not run*, so that they never run later.

use std::collections::{BTreeSet, HashSet};

use vg_base::prelude::*;

/// Attempts that were answered as *not run*.
///
/// Each is kept until its deadline has passed, so that a duplicate of its message
/// does not run the attempt after all. If there are too many, the attempt with the
/// earliest deadline is removed.
#[derive(Debug, Default)]
pub(crate) struct RejectedAttempts {
    attempts: HashSet<RequestId>,
    deadlines: BTreeSet<(Instant, RequestId)>,
}

impl RejectedAttempts {
    /// Adds an attempt, and removes others until there are at most `max_count`.
    pub(crate) fn insert(&mut self, attempt: RequestId, deadline: Instant, max_count: usize) {
        if self.attempts.insert(attempt) {
            self.deadlines.insert((deadline, attempt));
        }
        while self.deadlines.len() > max_count {
            self.remove_earliest();
        }
    }

    pub(crate) fn contains(&self, attempt: RequestId) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Removes the attempts whose deadlines have passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        while self.deadlines.first().is_some_and(|(deadline, _)| *deadline < now) {
            self.remove_earliest();
        }
    }

    fn remove_earliest(&mut self) {
        if let Some((_, attempt)) = self.deadlines.pop_first() {
            self.attempts.remove(&attempt);
        }
    }
}
