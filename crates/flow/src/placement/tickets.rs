//! Tickets, by which the adviser permits a worker to run a step.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::workers::worker::WorkerKey;

/// A ticket is not used any more within this time before its end, to allow for
/// the transmission to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Tickets for one step by worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tickets {
    /// Ticket and its end; `None` if the adviser gave no permission.
    known: HashMap<WorkerKey, Option<(SmolStr, Instant)>>,
    /// Whether the last query has brought no answer.
    pub(crate) has_failed: bool,
    /// When the step was last found to need no query.
    pub(crate) reviewed: Option<Instant>,
}

impl Tickets {
    /// Whether there has been no answer for the step.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the ticket for a worker if it is valid.
    pub(crate) fn get(&self, worker: WorkerKey, now: Instant) -> Option<&SmolStr> {
        let (ticket, until) = self.known.get(&worker)?.as_ref()?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Whether a query about a worker can bring a new answer. The adviser's
    /// answer about a worker does not change for a step.
    pub(crate) fn may_ask(&self, worker: WorkerKey, now: Instant) -> bool {
        match self.known.get(&worker) {
            None => true,
            Some(None) => false,
            Some(Some((_, until))) => now + TICKET_MARGIN >= *until,
        }
    }

    /// Whether a worker is permitted: the adviser's answer does not change for a step, so
    /// that it outlives the ticket.
    pub(crate) fn is_known(&self, worker: WorkerKey) -> bool {
        self.known.get(&worker).is_some_and(Option::is_some)
    }

    /// Records the adviser's answer about a worker.
    pub(crate) fn set(&mut self, worker: WorkerKey, ticket: Option<(SmolStr, Instant)>) {
        self.known.insert(worker, ticket);
    }

    /// Drops a ticket that a worker refused.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.known.remove(&worker);
    }
}
