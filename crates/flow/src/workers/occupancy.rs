//! What the attempts on a worker take of its capacity.

use vg_jobs::Resources;

use crate::jobs::attempt::Usage;

/// What the attempts on a worker take of its capacity. It is not known while there is an
/// attempt whose [`Usage`] is not known.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Occupancy {
    known: Resources,
    /// Number of attempts whose usage is not known.
    unknown: usize,
}

impl Occupancy {
    /// Adds an attempt.
    pub(crate) fn add(&mut self, usage: Option<&Usage>) {
        match usage {
            Some(usage) => self.known = self.known.plus(&usage.reserved),
            None => self.unknown += 1,
        }
    }

    /// Removes an attempt that was added with the same usage.
    pub(crate) fn remove(&mut self, usage: Option<&Usage>) {
        match usage {
            Some(usage) => self.known = self.known.minus(&usage.reserved),
            None => self.unknown -= 1,
        }
    }

    /// Returns what all attempts take; `None` if it is not known.
    pub(crate) fn total(&self) -> Option<Resources> {
        (self.unknown == 0).then_some(self.known)
    }

    /// Returns the number of attempts whose usage is not known.
    pub(crate) fn unknown(&self) -> usize {
        self.unknown
    }
}
