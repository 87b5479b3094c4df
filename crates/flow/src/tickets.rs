//! Permissions of the adviser for a step.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::worker::WorkerKey;

/// Time before its end from which a permission is not used any more, for the
/// way to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Permissions for one step by worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tickets {
    /// Permission and its end, or no permission.
    known: HashMap<WorkerKey, Option<(SmolStr, Instant)>>,
    /// When an answer is expected; none if no question is under way.
    pub(crate) answer_due: Option<Instant>,
}

impl Tickets {
    /// Returns the permission for a worker if it is valid.
    pub(crate) fn get(&self, worker: WorkerKey, now: Instant) -> Option<&SmolStr> {
        let (ticket, until) = self.known.get(&worker)?.as_ref()?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Whether asking about a worker can bring something new. What the adviser
    /// says of a worker doesn't change for a step.
    pub(crate) fn may_ask(&self, worker: WorkerKey, now: Instant) -> bool {
        match self.known.get(&worker) {
            None => true,
            Some(None) => false,
            Some(Some((_, until))) => now + TICKET_MARGIN >= *until,
        }
    }

    /// Whether a question is under way.
    pub(crate) fn is_asking(&self, now: Instant) -> bool {
        self.answer_due.is_some_and(|until| now < until)
    }

    /// Notes what the adviser said of a worker.
    pub(crate) fn set(&mut self, worker: WorkerKey, ticket: Option<(SmolStr, Instant)>) {
        self.known.insert(worker, ticket);
    }

    /// Forgets a permission that a worker refused.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.known.remove(&worker);
    }
}
