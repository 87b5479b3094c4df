//! The right to run one call.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_route::{CallResult, Slot};
use vg_share::Ticket;

use crate::dispatch::PoolDispatch;
use crate::membership::PermitGuard;

/// Time past a lost call's deadline in which its endpoint may still run it.
const LOST_GRACE: Duration = Duration::from_millis(250);

/// A slot, a unit and a turn for one call. Dropping it unused gives all back.
#[derive(Debug)]
pub(crate) struct Grant<C: Clock> {
    pool: Arc<PoolDispatch<C>>,
    ticket: Ticket,
    slot: Option<Slot>,
    unit: Option<PermitGuard<C>>,
}

impl<C: Clock> Grant<C> {
    pub(crate) fn new(
        pool: Arc<PoolDispatch<C>>,
        ticket: Ticket,
        slot: Slot,
        unit: PermitGuard<C>,
    ) -> Grant<C> {
        Grant { pool, ticket, slot: Some(slot), unit: Some(unit) }
    }

    /// Returns the endpoint's slot.
    pub(crate) fn slot(&self) -> Option<&Slot> {
        self.slot.as_ref()
    }

    /// Ends a call that is proved to be over, or never began.
    pub(crate) fn finish(mut self, result: CallResult) {
        self.release(result);
    }

    /// Ends a call that may still run until its deadline: slot and unit stay
    /// in use until then.
    pub(crate) fn lose(mut self, deadline: Instant) {
        let until = deadline + LOST_GRACE;
        let now = self.pool.clock().now();
        if let Some(unit) = self.unit.take() {
            unit.release_after(until.saturating_duration_since(now));
        }
        self.release(CallResult::Lost { until });
    }

    fn release(&mut self, result: CallResult) {
        let Some(slot) = self.slot.take() else { return };
        // The unit goes first: the slot's next call may be the same team's.
        self.unit = None;
        self.pool.release(self.ticket, slot, result);
    }
}

impl<C: Clock> Drop for Grant<C> {
    fn drop(&mut self) {
        self.release(CallResult::Unused);
    }
}
