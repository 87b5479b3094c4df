//! A call that waits for its grant.

use std::sync::Arc;

use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_share::{Refusal, Ticket};

use crate::dispatch::{Grant, PoolDispatch};

/// The decision on a waiting call.
#[derive(Debug)]
pub(crate) enum Decision<C: Clock> {
    /// The call may run.
    Start(Grant<C>),
    /// The call has not run and will not run.
    Refused(Refusal),
    /// The pool has another owner now. The call has not run here.
    Moved,
}

/// A place among the pool's waiting calls. Dropping it removes the call.
#[derive(Debug)]
pub(crate) struct Waiting<C: Clock> {
    pool: Arc<PoolDispatch<C>>,
    ticket: Ticket,
    decision: oneshot::Receiver<Decision<C>>,
}

impl<C: Clock> Waiting<C> {
    pub(crate) fn new(
        pool: Arc<PoolDispatch<C>>,
        ticket: Ticket,
        decision: oneshot::Receiver<Decision<C>>,
    ) -> Waiting<C> {
        Waiting { pool, ticket, decision }
    }

    /// Waits for the decision.
    pub(crate) async fn decision(&mut self) -> Decision<C> {
        (&mut self.decision).await.unwrap_or(Decision::Moved)
    }
}

impl<C: Clock> Drop for Waiting<C> {
    fn drop(&mut self) {
        // This has no effect if the call was already granted or refused.
        self.pool.cancel(self.ticket);
    }
}
