//! The grant to run one call.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_route::{CallResult, Slot};
use vg_share::Ticket;

use crate::dispatch::PoolDispatch;
use crate::membership::PermitGuard;

/// Time past a lost call's deadline during which its endpoint may still run it.
const LOST_GRACE: Duration = Duration::from_millis(250);

/// A slot, a permit and a turn in the scheduler for one call. Dropping an unused grant
/// releases all three.
#[derive(Debug)]
pub(crate) struct Grant<C: Clock> {
    pool: Arc<PoolDispatch<C>>,
    ticket: Ticket,
    slot: Option<Slot>,
    permit: Option<PermitGuard<C>>,
}

impl<C: Clock> Grant<C> {
    pub(crate) fn new(
        pool: Arc<PoolDispatch<C>>,
        ticket: Ticket,
        slot: Slot,
        permit: PermitGuard<C>,
    ) -> Grant<C> {
        Grant { pool, ticket, slot: Some(slot), permit: Some(permit) }
    }

    /// Returns the endpoint's slot.
    pub(crate) fn slot(&self) -> Option<&Slot> {
        self.slot.as_ref()
    }

    /// Ends a call that has provably finished or was never started.
    pub(crate) fn finish(mut self, result: CallResult) {
        self.release(result);
    }

    /// Ends a call that may still run until its deadline. The slot and the permit stay in
    /// use until [`LOST_GRACE`] after the deadline.
    pub(crate) fn mark_lost(mut self, deadline: Instant) {
        let until = deadline + LOST_GRACE;
        let now = self.pool.clock().now();
        if let Some(permit) = self.permit.take() {
            permit.release_after(until.saturating_duration_since(now));
        }
        self.release(CallResult::Lost { until });
    }

    /// Releases the permit and the slot, unless they were released before.
    fn release(&mut self, result: CallResult) {
        let Some(slot) = self.slot.take() else { return };
        // The permit is released first, because the next call for this slot may belong to
        // the same team.
        self.permit = None;
        self.pool.release(self.ticket, slot, result);
    }
}

impl<C: Clock> Drop for Grant<C> {
    fn drop(&mut self) {
        self.release(CallResult::Unused);
    }
}
