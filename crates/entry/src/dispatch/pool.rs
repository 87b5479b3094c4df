//! The dispatch tables of one pool behind a lock.

use std::sync::{Arc, Mutex, MutexGuard};

use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder};
use vg_route::{
    BusySlots, CallResult, EndpointInfo, Endpoints, Health, ListRevision, ListUpdate, ProbePolicy,
    RetryBudget, RetryDecision, RetryRequest, Slot,
};
use vg_share::{PoolRules, Refusal, Scheduler, SchedulerStats, Ticket, WorkItem};

use crate::dispatch::Grant;
use crate::dispatch::waiting::{Decision, Waiting};
use crate::membership::{PermitGuard, SharedMembership};

/// The dispatch of a pool that this node owns.
///
/// Lock order: the table, then the membership. Decisions are sent and grants are dropped
/// only after the table is unlocked, because dropping a grant locks the table.
#[derive(Debug)]
pub(crate) struct PoolDispatch<C: Clock> {
    pool: PoolId,
    zone: ZoneId,
    clock: C,
    membership: SharedMembership<C>,
    events: Recorder<C>,
    table: Mutex<Table<C>>,
}

#[derive(Debug)]
struct Table<C: Clock> {
    scheduler: Scheduler,
    endpoints: Endpoints,
    retries: RetryBudget,
    waiting: SecondaryMap<Ticket, oneshot::Sender<Decision<C>>>,
    closed: bool,
}

/// A decision and the channel to send it through.
type Addressed<C> = (oneshot::Sender<Decision<C>>, Decision<C>);

/// Decisions to send after the table is unlocked.
type Decisions<C> = Vec<Addressed<C>>;

/// Result of trying to start a call.
enum StartOutcome<C: Clock> {
    /// The call may run.
    Started(Addressed<C>),
    /// The caller has disconnected.
    CallerGone,
    /// No slot is free, or no waiting call may start.
    Idle,
}

impl<C: Clock> PoolDispatch<C> {
    /// Creates the dispatch of a pool without endpoints.
    pub(crate) fn new(
        pool: PoolId,
        zone: ZoneId,
        clock: C,
        membership: SharedMembership<C>,
        events: Recorder<C>,
        rules: PoolRules,
    ) -> PoolDispatch<C> {
        let table = Table {
            scheduler: Scheduler::new(rules),
            endpoints: Endpoints::new(),
            retries: RetryBudget::new(),
            waiting: SecondaryMap::new(),
            closed: false,
        };
        PoolDispatch { pool, zone, clock, membership, events, table: Mutex::new(table) }
    }

    /// Returns the pool's name.
    pub(crate) fn pool(&self) -> &PoolId {
        &self.pool
    }

    pub(crate) fn clock(&self) -> &C {
        &self.clock
    }

    /// Adds a call to the waiting calls.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the scheduler does not take the call, or `None` if dispatch has
    /// stopped because the pool moves to another owner. The call has not run in either case.
    pub(crate) fn enqueue(self: &Arc<Self>, item: WorkItem) -> Result<Waiting<C>, Option<Refusal>> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut table = self.lock();
        if table.closed {
            return Err(None);
        }
        let ticket = table.scheduler.offer(item, now).map_err(Some)?;
        table.waiting.insert(ticket, sender);
        let decisions = self.dispatch_locked(&mut table, now);
        drop(table);
        send(decisions);
        Ok(Waiting::new(Arc::clone(self), ticket, receiver))
    }

    /// Starts waiting calls on free slots, and refuses those that can no longer meet
    /// their deadlines.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut table = self.lock();
        let decisions = self.dispatch_locked(&mut table, now);
        drop(table);
        send(decisions);
    }

    /// Applies new scheduling rules.
    pub(crate) fn configure(self: &Arc<Self>, rules: PoolRules) {
        self.lock().scheduler.configure(rules);
        self.dispatch_waiting();
    }

    /// Applies the pool's part of the host list.
    pub(crate) fn apply_hosts(
        self: &Arc<Self>,
        revision: ListRevision,
        list: &[EndpointInfo],
    ) -> ListUpdate {
        let update = self.lock().endpoints.apply(revision, list, self.clock.now());
        self.dispatch_waiting();
        update
    }

    /// Assumes that a lost owner's calls use slots until a given time, see
    /// [`Endpoints::assume_busy`].
    pub(crate) fn assume_busy(&self, until: Instant) {
        self.lock().endpoints.assume_busy(until);
    }

    /// Imports the slots that the previous owner reported as in use.
    pub(crate) fn import_busy(&self, busy: &[BusySlots]) {
        self.lock().endpoints.import(busy, self.clock.now());
    }

    /// Updates the slots that a previous owner's calls still use.
    pub(crate) fn update_inherited(self: &Arc<Self>, busy: &[BusySlots]) {
        self.lock().endpoints.update_inherited(busy);
        self.dispatch_waiting();
    }

    /// Decides whether a call may be tried again after a failed attempt.
    pub(crate) fn decide_retry(&self, request: &RetryRequest) -> RetryDecision {
        self.lock().retries.try_retry(request, self.clock.now())
    }

    /// Records an answered call, which adds a fraction of a retry to the retry budget.
    pub(crate) fn record_success(&self) {
        self.lock().retries.record_success(self.clock.now());
    }

    /// Returns a summary of the waiting and running work.
    pub(crate) fn stats(&self) -> SchedulerStats {
        self.lock().scheduler.stats()
    }

    /// Returns the slots in use, for the next owner. `longest` is the longest time that a
    /// running call can still take.
    pub(crate) fn busy_slots(&self, longest: Duration) -> Vec<BusySlots> {
        self.lock().endpoints.export(longest, self.clock.now())
    }

    /// Stops dispatch for good. Waiting calls are told that the pool has moved, and
    /// running calls continue.
    pub(crate) fn close(&self) {
        let mut table = self.lock();
        table.closed = true;
        let tickets: Vec<Ticket> = table.waiting.keys().collect();
        let mut decisions = Vec::new();
        for ticket in tickets {
            table.scheduler.cancel(ticket);
            let sender = table.waiting.remove(ticket);
            decisions.extend(sender.map(|sender| (sender, Decision::Moved)));
        }
        drop(table);
        send(decisions);
    }

    /// Returns the number of running calls.
    pub(crate) fn running(&self) -> usize {
        self.lock().scheduler.running()
    }

    /// Removes a waiting call. This has no effect on a call that was granted or refused.
    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut table = self.lock();
        if table.waiting.remove(ticket).is_some() {
            table.scheduler.cancel(ticket);
        }
    }

    /// Ends a call, releases its slot and starts waiting calls on free slots.
    pub(super) fn release(self: &Arc<Self>, ticket: Ticket, slot: Slot, result: CallResult) {
        let now = self.clock.now();
        let host = slot.host.clone();
        let mut table = self.lock();
        table.scheduler.finish(ticket, now);
        let health = table.endpoints.release(slot, result, now);
        let decisions = self.dispatch_locked(&mut table, now);
        drop(table);
        send(decisions);
        let code = match health {
            Some(Health::Ejected { .. }) => Code::EndpointEjected,
            Some(_) => Code::EndpointRestored,
            None => return,
        };
        self.events.record(code, [Field::new("host", host), Field::new("pool", &self.pool)]);
    }

    /// Starts waiting calls while slots are free, expires calls that can no longer meet
    /// their deadlines, and returns the decisions to send.
    fn dispatch_locked(self: &Arc<Self>, table: &mut Table<C>, now: Instant) -> Decisions<C> {
        let mut decisions = Vec::new();
        if table.closed {
            return decisions;
        }
        table.endpoints.expire(now);
        let capacity = table.endpoints.capacity(now);
        table.scheduler.resize(capacity);
        while table.scheduler.waiting() > 0 {
            match self.start_next(table, now) {
                StartOutcome::Started(addressed) => decisions.push(addressed),
                StartOutcome::CallerGone => {}
                StartOutcome::Idle => break,
            }
        }
        for (ticket, refusal) in table.scheduler.expire(now) {
            let sender = table.waiting.remove(ticket);
            decisions.extend(sender.map(|sender| (sender, Decision::Refused(refusal))));
        }
        decisions
    }

    /// Tries to start one call.
    fn start_next(self: &Arc<Self>, table: &mut Table<C>, now: Instant) -> StartOutcome<C> {
        let acquired = table.endpoints.acquire(now, Some(&self.zone), ProbePolicy::Avoided);
        let Some(slot) = acquired else { return StartOutcome::Idle };
        let mut permit: Option<PermitGuard<C>> = None;
        let chosen = table.scheduler.start_next(now, |team| {
            permit = self.membership.acquire_permits(team, Permits(1)).ok();
            permit.is_some()
        });
        let (Some((ticket, _)), Some(permit)) = (chosen, permit) else {
            table.endpoints.release(slot, CallResult::Unused, now);
            return StartOutcome::Idle;
        };
        let Some(sender) = table.waiting.remove(ticket) else {
            // No grant is created here, because dropping one would lock the table again.
            table.scheduler.finish(ticket, now);
            table.endpoints.release(slot, CallResult::Unused, now);
            return StartOutcome::CallerGone;
        };
        let grant = Grant::new(Arc::clone(self), ticket, slot, permit);
        StartOutcome::Started((sender, Decision::Start(grant)))
    }

    fn lock(&self) -> MutexGuard<'_, Table<C>> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Sends decisions. If the caller of a granted call has disconnected, the grant is
/// dropped, which may dispatch further calls of the pool.
fn send<C: Clock>(decisions: Decisions<C>) {
    for (sender, decision) in decisions {
        drop(sender.send(decision));
    }
}
