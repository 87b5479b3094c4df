//! A call that waits for its grant.

use std::sync::Arc;

use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_share::{Refusal, Ticket};

use crate::dispatch::{Grant, PoolDispatch};

/// What a waiting call is told.
#[derive(Debug)]
pub(crate) enum Verdict<C: Clock> {
    /// It may run.
    Start(Grant<C>),
    /// It never ran and won't.
    Refused(Refusal),
    /// The pool has another owner now; nothing ran here.
    Moved,
}

/// A place in the pool's order; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct Waiting<C: Clock> {
    pool: Arc<PoolDispatch<C>>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict<C>>,
}

impl<C: Clock> Waiting<C> {
    pub(crate) fn new(
        pool: Arc<PoolDispatch<C>>,
        ticket: Ticket,
        verdict: oneshot::Receiver<Verdict<C>>,
    ) -> Waiting<C> {
        Waiting { pool, ticket, verdict }
    }

    /// Waits for the verdict.
    pub(crate) async fn verdict(&mut self) -> Verdict<C> {
        (&mut self.verdict).await.unwrap_or(Verdict::Moved)
    }
}

impl<C: Clock> Drop for Waiting<C> {
    fn drop(&mut self) {
        // Has no effect once the call was granted or refused.
        self.pool.cancel(self.ticket);
    }
}
