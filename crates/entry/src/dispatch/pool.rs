//! One pool's dispatch tables behind their lock.

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
use crate::dispatch::waiting::{Verdict, Waiting};
use crate::membership::{PermitGuard, SharedMembership};

/// A pool that this node owns.
///
/// Lock order: the table, then the membership. Verdicts are sent, and grants
/// dropped, only after the table is unlocked, since a dropped grant locks it.
#[derive(Debug)]
pub(crate) struct PoolDispatch<C: Clock> {
    pool: PoolId,
    zone: ZoneId,
    clock: C,
    units: SharedMembership<C>,
    events: Recorder<C>,
    table: Mutex<Table<C>>,
}

#[derive(Debug)]
struct Table<C: Clock> {
    scheduler: Scheduler,
    endpoints: Endpoints,
    retries: RetryBudget,
    waiting: SecondaryMap<Ticket, oneshot::Sender<Verdict<C>>>,
    closed: bool,
}

/// A verdict and where it is to be sent.
type Addressed<C> = (oneshot::Sender<Verdict<C>>, Verdict<C>);

/// Verdicts to be sent once the table is unlocked.
type Verdicts<C> = Vec<Addressed<C>>;

/// What an attempt to start a call came to.
enum Step<C: Clock> {
    /// It may run.
    Started(Addressed<C>),
    /// Its caller has gone.
    Gone,
    /// No slot is free, or nothing may start.
    Idle,
}

impl<C: Clock> PoolDispatch<C> {
    /// Makes the dispatch of a pool without endpoints.
    pub(crate) fn new(
        pool: PoolId,
        zone: ZoneId,
        clock: C,
        units: SharedMembership<C>,
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
        PoolDispatch { pool, zone, clock, units, events, table: Mutex::new(table) }
    }

    /// Returns the pool's name.
    pub(crate) fn pool(&self) -> &PoolId {
        &self.pool
    }

    pub(crate) fn clock(&self) -> &C {
        &self.clock
    }

    /// Puts a call in line.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; nothing ran. `None` inside: the pool has another owner.
    pub(crate) fn offer(self: &Arc<Self>, item: WorkItem) -> Result<Waiting<C>, Option<Refusal>> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut table = self.lock();
        if table.closed {
            return Err(None);
        }
        let ticket = table.scheduler.offer(item, now).map_err(Some)?;
        table.waiting.insert(ticket, sender);
        let verdicts = self.pump_locked(&mut table, now);
        drop(table);
        send(verdicts);
        Ok(Waiting::new(Arc::clone(self), ticket, receiver))
    }

    /// Gives free slots to waiting calls and refuses those that are too late.
    pub(crate) fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut table = self.lock();
        let verdicts = self.pump_locked(&mut table, now);
        drop(table);
        send(verdicts);
    }

    /// Puts other rules in force.
    pub(crate) fn configure(self: &Arc<Self>, rules: PoolRules) {
        self.lock().scheduler.configure(rules);
        self.pump();
    }

    /// Takes in the host list.
    pub(crate) fn apply_hosts(
        self: &Arc<Self>,
        revision: ListRevision,
        list: &[EndpointInfo],
    ) -> ListUpdate {
        let applied = self.lock().endpoints.apply(revision, list, self.clock.now());
        self.pump();
        applied
    }

    /// Takes over from an owner that was lost, see [`Endpoints::assume_busy`].
    pub(crate) fn adopt(&self, until: Instant) {
        self.lock().endpoints.assume_busy(until);
    }

    /// Takes over from an owner that told its slots in use.
    pub(crate) fn import(&self, busy: &[BusySlots]) {
        self.lock().endpoints.import(busy, self.clock.now());
    }

    /// Takes in what an earlier owner's calls still use.
    pub(crate) fn settle_earlier(self: &Arc<Self>, busy: &[BusySlots]) {
        self.lock().endpoints.update_inherited(busy);
        self.pump();
    }

    /// Asks whether a call whose try failed may be tried again.
    pub(crate) fn ask_retry(&self, request: &RetryRequest) -> RetryDecision {
        self.lock().retries.try_retry(request, self.clock.now())
    }

    /// Notes an answered call, which earns a part of a retry.
    pub(crate) fn note_success(&self) {
        self.lock().retries.record_success(self.clock.now());
    }

    /// Returns a summary of the waiting and running work.
    pub(crate) fn stats(&self) -> SchedulerStats {
        self.lock().scheduler.stats()
    }

    /// Returns the slots in use, for the next owner. `longest` is the longest
    /// time that a running call can still take.
    pub(crate) fn busy(&self, longest: Duration) -> Vec<BusySlots> {
        self.lock().endpoints.export(longest, self.clock.now())
    }

    /// Stops dispatch for good: what waits is told that the pool has moved,
    /// what runs goes on.
    pub(crate) fn close(&self) {
        let mut table = self.lock();
        table.closed = true;
        let tickets: Vec<Ticket> = table.waiting.keys().collect();
        let mut verdicts = Vec::new();
        for ticket in tickets {
            table.scheduler.cancel(ticket);
            let sender = table.waiting.remove(ticket);
            verdicts.extend(sender.map(|sender| (sender, Verdict::Moved)));
        }
        drop(table);
        send(verdicts);
    }

    /// Returns the number of running calls.
    pub(crate) fn running(&self) -> usize {
        self.lock().scheduler.running()
    }

    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut table = self.lock();
        if table.waiting.remove(ticket).is_some() {
            table.scheduler.cancel(ticket);
        }
    }

    /// Ends a run and gives its slot to the next call.
    pub(super) fn release(self: &Arc<Self>, ticket: Ticket, slot: Slot, result: CallResult) {
        let now = self.clock.now();
        let host = slot.host.clone();
        let mut table = self.lock();
        table.scheduler.finish(ticket, now);
        let health = table.endpoints.release(slot, result, now);
        let verdicts = self.pump_locked(&mut table, now);
        drop(table);
        send(verdicts);
        let code = match health {
            Some(Health::Ejected { .. }) => Code::EndpointEjected,
            Some(_) => Code::EndpointRestored,
            None => return,
        };
        self.events.record(code, [Field::new("host", host), Field::new("pool", &self.pool)]);
    }

    fn pump_locked(self: &Arc<Self>, table: &mut Table<C>, now: Instant) -> Verdicts<C> {
        let mut verdicts = Vec::new();
        if table.closed {
            return verdicts;
        }
        table.endpoints.expire(now);
        let capacity = table.endpoints.capacity(now);
        table.scheduler.resize(capacity);
        while table.scheduler.waiting() > 0 {
            match self.start_next(table, now) {
                Step::Started(addressed) => verdicts.push(addressed),
                Step::Gone => {}
                Step::Idle => break,
            }
        }
        for (ticket, refusal) in table.scheduler.expire(now) {
            let sender = table.waiting.remove(ticket);
            verdicts.extend(sender.map(|sender| (sender, Verdict::Refused(refusal))));
        }
        verdicts
    }

    /// Starts one call.
    fn start_next(self: &Arc<Self>, table: &mut Table<C>, now: Instant) -> Step<C> {
        let acquired = table.endpoints.acquire(now, Some(&self.zone), ProbePolicy::Avoided);
        let Some(slot) = acquired else { return Step::Idle };
        let mut unit: Option<PermitGuard<C>> = None;
        let chosen = table.scheduler.start_next(now, |team| {
            unit = self.units.acquire_permits(team, Permits(1)).ok();
            unit.is_some()
        });
        let (Some((ticket, _)), Some(unit)) = (chosen, unit) else {
            table.endpoints.release(slot, CallResult::Unused, now);
            return Step::Idle;
        };
        let Some(sender) = table.waiting.remove(ticket) else {
            // A grant would lock the table when it is dropped here.
            table.scheduler.finish(ticket, now);
            table.endpoints.release(slot, CallResult::Unused, now);
            return Step::Gone;
        };
        let grant = Grant::new(Arc::clone(self), ticket, slot, unit);
        Step::Started((sender, Verdict::Start(grant)))
    }

    fn lock(&self) -> MutexGuard<'_, Table<C>> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Sends verdicts. A call that has gone away gives its grant back by dropping
/// it, which may pump the pool again.
fn send<C: Clock>(verdicts: Verdicts<C>) {
    for (sender, verdict) in verdicts {
        drop(sender.send(verdict));
    }
}
