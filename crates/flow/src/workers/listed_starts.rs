//! Starts on workers whose durable record names all that may run on them.
//!
//! Load that this module handles: workers start again under their ids, are cut off soon
//! after, and the leader is lost. A late call may have renewed the lease of such a worker for as
//! long as workers permit, so the next leader waits that long for what may run there. If the
//! record named no tasks, it would have to hold back all earlier jobs of the worker's pool, and
//! a few such workers would leave most of the work standing, takeover after takeover. So while
//! the lease of a worker may be longer than leaders ask for ([`Worker::late_lease`]), its
//! record names its tasks: an attempt is kept for the worker, is named in the next record, and
//! is sent once that is durable. It costs one write to the store.

use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::workers::proof::Proof;
use crate::workers::unresolved::IncarnationRecord;
use crate::workers::worker::{Worker, WorkerKey};
use crate::{Scheduler, TaskId};

/// Longest time for which an attempt waits to be named. Its task may start elsewhere then.
const LISTING_TIME_MAX: Duration = Duration::from_millis(400);
/// Time for which a worker gets no other one after that.
const LISTING_BACKOFF: Duration = Duration::from_secs(1);

impl Worker {
    /// Whether its record is to name all that may run on it.
    pub(crate) fn names_tasks(&self) -> bool {
        self.late_lease.is_some()
    }
}

impl Scheduler {
    /// Notes that the record of a worker is durable. Attempts that it names, or that need not
    /// be named, are sent in the next round.
    pub(crate) fn note_listed(&mut self, worker: WorkerKey, record: &IncarnationRecord) {
        let state = &mut self.workers[worker];
        state.listed = record.tasks.is_some();
        let is_named = |task: &TaskId| record.tasks.as_ref().is_none_or(|all| all.contains(task));
        let attempts = state.attempts.iter().copied();
        self.named_starts.extend(attempts.filter(|&key| {
            let attempt = &self.attempts[key];
            attempt.phase == Phase::Listing && is_named(&attempt.task)
        }));
    }

    /// Sends the attempts that have been named, and gives up those that can't be: their worker
    /// takes no work any more, they are not wanted, or the store is away.
    pub(crate) fn send_named_starts(&mut self, now: Instant) {
        let named = std::mem::take(&mut self.named_starts);
        if named.is_empty() && !self.workers.values().any(|worker| worker.listed) {
            return;
        }
        let listing: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Listing)
            .map(|(key, _)| key)
            .collect();
        for key in listing {
            if !self.may_be_sent(key, now) {
                self.remove_unsent(key, now);
            } else if named.contains(&key) {
                self.send_start(key, now);
            } else {
                self.give_up_listing(key, now);
            }
        }
    }

    /// Whether an attempt that waits to be named is still to run on its worker.
    fn may_be_sent(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        let task = self.job_of(attempt.task).filter(|job| job.is_open());
        let is_wanted = task.and_then(|job| job.task(attempt.task)).is_some_and(|task| !task.done);
        is_wanted && attempt.stop_sent.is_none() && self.workers[attempt.worker].is_usable(now)
    }

    /// Removes an attempt that waits for long, as the store may be away.
    fn give_up_listing(&mut self, key: AttemptKey, now: Instant) {
        let (worker, since) = (self.attempts[key].worker, self.attempts[key].started);
        if now.saturating_duration_since(since) >= LISTING_TIME_MAX {
            self.back_off(worker, now + LISTING_BACKOFF);
            self.remove_unsent(key, now);
        }
    }

    /// Removes the attempts of a task that wait to be named, as it has been found running,
    /// unless its step permits several at a time.
    pub(crate) fn withdraw_unsent(&mut self, task: TaskId, now: Instant) {
        if self.spec_of(task).is_some_and(|spec| spec.speculative) {
            return;
        }
        let attempts = self.job_of(task).and_then(|job| job.task(task));
        let attempts = attempts.map(|task| task.attempts.clone()).unwrap_or_default();
        let is_unsent = |key: &AttemptKey| self.attempts[*key].phase == Phase::Listing;
        let unsent: Vec<_> = attempts.into_iter().filter(is_unsent).collect();
        unsent.into_iter().for_each(|key| self.remove_unsent(key, now));
    }

    /// Removes an attempt whose start command is still to be sent.
    pub(crate) fn remove_unsent(&mut self, key: AttemptKey, now: Instant) {
        let attempt = &self.attempts[key];
        let proof = Proof::unsent(attempt, &self.workers[attempt.worker], now);
        self.remove_proven(key, proof, now);
    }
}
