//! Fences the present life of a worker against calls to its earlier lives.
//!
//! Load that this module handles: workers crash and are back under their ids while calls are
//! on their way, and are cut off soon after. A later life knows no fencing token, and carries
//! out what was sent to the one before: starts, also refused ones, and polls renew its lease
//! by a time on the earlier life's clock, and polls acknowledge ends by that life's numbers.
//! So calls to each later life carry a higher token than those to the earlier ones: the
//! revision of the store at which its record became durable. It gets work once it has answered
//! a poll with that token, as it refuses all earlier calls from then on. Before that, a call
//! may have renewed its lease for as long as workers permit ([`Worker::late_lease`]), and the
//! record tells the next leader so.

use vg_base::prelude::*;

use crate::rules::clock_bound;
use crate::workers::unresolved::IncarnationRecord;
use crate::workers::worker::{MESSAGE_DELAY_MAX, Worker, WorkerKey};
use crate::{FencingToken, Scheduler};

/// Whether calls to earlier lives of a worker take effect in the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fence {
    /// They may: the worker gets a higher token once its record is durable.
    Open,
    /// Calls carry a higher token, and the worker has answered no poll that carries it.
    Raised {
        /// When the last poll with the lower token was sent.
        last_earlier: Option<Instant>,
    },
    /// They do not, as it has seen the higher token, or has no earlier life.
    Closed,
}

impl Worker {
    /// Notes that calls to an earlier life may take effect until the fence is closed. None
    /// arrives after `last_arrival`.
    pub(crate) fn open_fence(&mut self, lease_max: Duration, last_arrival: Instant) {
        self.fence = Fence::Open;
        self.late_lease = Some(last_arrival + clock_bound(lease_max));
        // The poll that closes the fence is sent as soon as the record is durable.
        self.lease_capped = true;
    }

    /// Uses a higher token from now on, as the record of the present life is durable.
    fn raise_token(&mut self, token: FencingToken) {
        if self.fence == Fence::Open && token > self.token {
            self.token = token;
            self.fence = Fence::Raised { last_earlier: self.poll_sent };
        }
    }

    /// Notes an answer to a poll that was sent at `sent`.
    fn close_fence(&mut self, lease_max: Duration, sent: Instant, now: Instant) {
        if let Fence::Raised { last_earlier } = self.fence
            && last_earlier.is_none_or(|last| sent > last)
        {
            self.fence = Fence::Closed;
            self.bound_late_lease(lease_max, now);
        }
    }

    /// Notes that no call to an earlier life takes effect after `last_arrival`.
    fn bound_late_lease(&mut self, lease_max: Duration, last_arrival: Instant) {
        let until = last_arrival + clock_bound(lease_max);
        self.late_lease = Some(self.late_lease.map_or(until, |late| late.min(until)));
    }

    /// Whether a record is that of the present life, and tells of a lease that may be longer.
    pub(crate) fn is_recorded_in(&self, record: &IncarnationRecord) -> bool {
        let tells_lease = record.lengthened || self.late_lease.is_none();
        self.incarnation == record.incarnation && tells_lease
    }

    /// Whether no call to an earlier life takes effect.
    pub(crate) fn is_fenced(&self) -> bool {
        self.fence == Fence::Closed
    }
}

impl Scheduler {
    /// Whether a call with a token was meant for an earlier life of a worker, so that its
    /// refusal does not show that another host leads. It may have been, if the worker has been
    /// dropped since.
    pub fn is_superseded(&self, id: &HostId, token: FencingToken) -> bool {
        let worker = self.worker_ids.get(id).map(|&key| &self.workers[key]);
        token < worker.map_or(self.latest_token, |worker| worker.token)
    }

    /// Returns the token by which a worker refuses calls to its earlier lives; `None` if it is
    /// unknown, or may still carry them out.
    pub fn fence_of(&self, id: &HostId) -> Option<FencingToken> {
        let worker = self.worker_ids.get(id).map(|&key| &self.workers[key])?;
        worker.is_fenced().then_some(worker.token)
    }

    /// Notes that a worker was dropped, at which calls may still arrive.
    pub(crate) fn note_dropped(&mut self, id: HostId, now: Instant) {
        let lease_max = clock_bound(self.rules.lease_max);
        self.dropped_workers.retain(|_, last_arrival| now < *last_arrival + lease_max);
        self.dropped_workers.insert(id, now + MESSAGE_DELAY_MAX);
    }

    /// Reckons with calls to a worker that was dropped and is registered again: each renews
    /// its lease until the fence is closed.
    pub(crate) fn fence_returned(&mut self, worker: &mut Worker, now: Instant) {
        let lease_max = self.rules.lease_max;
        let dropped = self.dropped_workers.remove(&worker.incarnation.id);
        if let Some(last_arrival) = dropped
            && now < last_arrival + clock_bound(lease_max)
        {
            worker.open_fence(lease_max, last_arrival);
        }
    }

    /// Uses higher tokens for a worker whose record has become durable at the revision
    /// `token` of the store.
    pub(crate) fn raise_token(&mut self, key: WorkerKey, token: FencingToken) {
        self.latest_token = self.latest_token.max(token);
        self.workers[key].raise_token(token);
    }

    /// Notes what an answer to a poll that was sent at `sent` shows: earlier calls are
    /// refused from now on.
    pub(crate) fn note_fence(&mut self, key: WorkerKey, sent: Instant, now: Instant) {
        let lease_max = self.rules.lease_max;
        let is_first = !self.workers[key].polled && self.workers[key].is_fenced();
        // Calls of earlier leaders arrive until then, but none after this answer.
        let last_call = self.predecessor_until.unwrap_or(self.leader_since);
        let last_arrival = now.min(last_call + MESSAGE_DELAY_MAX);
        let may_last = now < last_arrival + clock_bound(lease_max);
        if is_first && may_last && self.may_have_late_lease(key) {
            self.workers[key].bound_late_lease(lease_max, last_arrival);
            self.workers[key].require_record();
        }
        self.workers[key].close_fence(lease_max, sent, now);
    }

    /// Whether an earlier leader may have called an earlier life of a worker that answers
    /// this one for the first time, so that the call has renewed the present one's lease.
    fn may_have_late_lease(&self, key: WorkerKey) -> bool {
        let incarnation = &self.workers[key].incarnation;
        match self.unresolved.is_lengthened(&incarnation.id, incarnation.start_ms) {
            Some(late) => late,
            // The record of a worker that is away is deleted once nothing can run there.
            None => self.predecessor_until.is_some(),
        }
    }

    /// Forgets late leases that have ended, and has the records written that mention them.
    /// Workers for whom no call to an earlier life can arrive any more need no fence.
    pub(crate) fn expire_late_leases(&mut self, now: Instant) {
        let lease_max = clock_bound(self.rules.lease_max);
        for worker in self.workers.values_mut() {
            if worker.late_lease.is_some_and(|until| until < now + lease_max) {
                worker.fence = Fence::Closed;
            }
            if worker.is_fenced() && worker.late_lease.is_some_and(|until| until < now) {
                worker.late_lease = None;
                self.records_changed = true;
            }
        }
    }
}
