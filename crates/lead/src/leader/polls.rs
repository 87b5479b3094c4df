//! Polls workers for their attempts and renews their leases.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{AttemptOutcome, DeadlyTask, Renewal, Report};

use super::Leader;
use super::grounds::loss_fields;
use crate::host::lock;
use crate::{Platform, PollError};

/// Time for which a busy worker may hold back its answer until an attempt ends.
const BUSY_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time for which an idle worker may hold back its answer.
const IDLE_WAIT_MAX: Duration = Duration::from_millis(1500);
/// Delay between two polls, in which ended attempts accumulate.
const POLL_DELAY: Duration = Duration::from_millis(15);
/// Maximum time for which a poll is delayed until the effects of reported ended
/// attempts are durable.
const COMMIT_WAIT_MAX: Duration = Duration::from_millis(100);
/// Maximum time for which a poll is delayed until the worker's record permits a longer
/// lease.
const RECORD_WAIT_MAX: Duration = Duration::from_millis(200);
/// Delay after a poll without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Starts to poll a worker unless it is being polled already.
    pub(super) fn start_polling(self: &Arc<Self>, id: HostId) {
        if lock(&self.polled_workers).insert(id.clone()) {
            self.spawn(Arc::clone(self).poll_worker(id));
        }
    }

    /// Polls a worker until the scheduler forgets it or the leadership ends.
    async fn poll_worker(self: Arc<Self>, id: HostId) {
        let mut has_answered = false;
        let mut unreachable = None;
        let mut renewing = false;
        loop {
            if !self.may_act() {
                // The next leader counts on leases that this one no longer renews.
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let Some((renewal, sent)) = self.next_renewal(&id, has_answered).await else { break };
            let was_renewing = std::mem::replace(&mut renewing, renewal.deadline_ms.is_some());
            if renewing && !was_renewing {
                // The worker can be given work from now on.
                self.wake.notify_one();
            }
            let wait = match (has_answered && renewing && renewal.fenced, renewal.busy) {
                // A poll that renews nothing must not delay the one that does, and the
                // answer to a raised token is what a worker waits for.
                (false, _) => Duration::ZERO,
                (true, true) => BUSY_WAIT_MAX,
                (true, false) => IDLE_WAIT_MAX,
            };
            self.scheduler().poll_opened(&renewal);
            let result = self.host.inner.platform.poll(&renewal, wait).await;
            let now = self.host.inner.clock.now();
            match result {
                Ok(report) => {
                    let read =
                        self.read_unknown_jobs(&report, renewal.received, !has_answered).await;
                    if let Err(error) = read {
                        // The worker reports the same again.
                        log::debug!(target: "store", "cannot read a reported job: {error}");
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    let is_first = !std::mem::replace(&mut has_answered, true);
                    if unreachable.take().is_some() {
                        self.host.record(Code::EndpointRestored, [Field::new("worker", &id)]);
                    }
                    self.record_ended_attempts(&id, &report.ended, renewal.received);
                    self.apply_report(&renewal, &report, sent, now);
                    self.wake.notify_one();
                    if !is_first {
                        tokio::time::sleep(POLL_DELAY).await;
                    }
                }
                Err(PollError::StaleToken) => {
                    if self.is_stale(&id, renewal.token) {
                        return;
                    }
                }
                Err(error) => {
                    has_answered = false;
                    self.scheduler().poll_failed(&renewal, error.into(), now);
                    if unreachable.replace(error) != Some(error) {
                        self.record_ejection(&id, error, now);
                    }
                    self.wake.notify_one();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        lock(&self.polled_workers).remove(&id);
    }

    /// Applies the report to a poll that was sent at `sent`.
    fn apply_report(&self, poll: &Renewal, report: &Report, sent: Instant, now: Instant) {
        let id = &poll.incarnation.id;
        if self.scheduler().apply_report(id, report, sent, now) {
            self.record_needed.notify_one();
        }
        let fence = self.scheduler().fence_of(id).filter(|_| !poll.fenced);
        if let Some(fence) = fence {
            let born = Field::new("born", poll.incarnation.start_ms);
            let fields = [Field::new("worker", id), born, Field::new("fence", fence)];
            self.host.record(Code::EndpointFenced, fields);
        }
    }

    /// Returns what to send in the next poll of a worker, and when it is sent; `None`
    /// if the scheduler has forgotten the worker. Waits for a short time for what the
    /// last answer requires to be durable: the effects of ended attempts, or a record
    /// that permits a longer lease.
    async fn next_renewal(&self, id: &HostId, has_answered: bool) -> Option<(Renewal, Instant)> {
        let (committed, recorded) = (self.committed.notified(), self.recorded.notified());
        let (renewal, sent) = self.renewal(id)?;
        if has_answered && renewal.received > renewal.acknowledged {
            // The worker reports ended attempts again until they are acknowledged.
            let _ = tokio::time::timeout(COMMIT_WAIT_MAX, committed).await;
        } else if has_answered && renewal.deadline_ms.is_none() {
            let _ = tokio::time::timeout(RECORD_WAIT_MAX, recorded).await;
        } else {
            return Some((renewal, sent));
        }
        self.renewal(id)
    }

    /// Returns what to send in a poll that is sent now, and the time.
    fn renewal(&self, id: &HostId) -> Option<(Renewal, Instant)> {
        let now = self.host.inner.clock.now();
        let limit = self.lease_limit(now);
        let mut scheduler = self.scheduler();
        scheduler.limit_leases(limit);
        Some((scheduler.renewal(id, now)?, now))
    }

    /// Records an event for a worker whose polls fail.
    fn record_ejection(&self, id: &HostId, error: PollError, now: Instant) {
        let (runs, lease) = {
            let scheduler = self.scheduler();
            (scheduler.attempts_on(id), scheduler.lease_of(id, now))
        };
        let mut fields =
            vec![Field::new("worker", id), Field::new("cause", error), Field::new("runs", runs)];
        if let Some(lease) = lease {
            fields.push(Field::new("born", lease.start_ms));
            fields.push(Field::new("lease-ms", lease.remaining.as_millis()));
            fields.push(Field::new("lease", lease.cause));
        }
        self.host.record(Code::EndpointEjected, fields);
    }

    /// Records an event for each attempt that was lost with its worker, and for each task
    /// that was given up because workers crash under it.
    pub(super) fn record_losses(&self) {
        let deadly = self.scheduler().take_deadly_tasks();
        for DeadlyTask { task, crashes } in deadly {
            let fields = [Field::new("task", task), Field::new("crashes", crashes)];
            self.host.record(Code::TaskDeadly, fields);
        }
        let now = self.host.inner.clock.now();
        let losses = self.scheduler().take_losses();
        for lost in losses {
            self.host.record(Code::TaskLost, loss_fields(&lost, now));
        }
    }

    /// Records an event for each ended attempt that was not reported before;
    /// `received` is the number of the last ended attempt that was.
    fn record_ended_attempts(&self, id: &HostId, ended: &[vg_flow::EndedAttempt], received: u64) {
        for end in ended.iter().filter(|end| end.number > received) {
            let code =
                if end.outcome == AttemptOutcome::Done { Code::TaskDone } else { Code::TaskEnded };
            let fields = [
                Field::new("task", end.task),
                Field::new("run", end.attempt),
                Field::new("worker", id),
                Field::new("how", end.outcome),
            ];
            self.host.record(code, fields);
        }
    }
}
