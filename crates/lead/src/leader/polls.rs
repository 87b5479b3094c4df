//! Polls workers for their attempts and renews their leases.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::AttemptOutcome;

use super::Leader;
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
        let mut unreachable = false;
        loop {
            if !self.may_act() {
                // The next leader counts on leases that this one no longer renews.
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let mut sent = self.host.inner.clock.now();
            let Some(mut renewal) = self.scheduler().renewal(&id, sent) else { break };
            if has_answered && renewal.received > renewal.acknowledged {
                // The worker reports ended attempts again until they are
                // acknowledged, which happens once their effects are durable.
                // Without this wait the worker would repeat them at once.
                let _ = tokio::time::timeout(COMMIT_WAIT_MAX, self.committed.notified()).await;
                sent = self.host.inner.clock.now();
                let Some(updated) = self.scheduler().renewal(&id, sent) else { break };
                renewal = updated;
            }
            let wait = match (has_answered, renewal.busy) {
                (false, _) => Duration::ZERO,
                (true, true) => BUSY_WAIT_MAX,
                (true, false) => IDLE_WAIT_MAX,
            };
            let result = self.host.inner.platform.poll(&renewal, wait).await;
            let now = self.host.inner.clock.now();
            match result {
                Ok(report) => {
                    has_answered = true;
                    if std::mem::take(&mut unreachable) {
                        self.host.record(Code::EndpointRestored, [Field::new("worker", &id)]);
                    }
                    self.record_ended_attempts(&id, &report.ended, renewal.received);
                    if self.scheduler().apply_report(&id, &report, sent, now) {
                        self.record_needed.notify_one();
                    }
                    self.wake.notify_one();
                    tokio::time::sleep(POLL_DELAY).await;
                }
                Err(PollError::StaleToken) => {
                    self.end_leadership("a worker has seen a higher fence");
                    return;
                }
                Err(error) => {
                    has_answered = false;
                    if !std::mem::replace(&mut unreachable, true) {
                        let fields = [Field::new("worker", &id), Field::new("cause", error)];
                        self.host.record(Code::EndpointEjected, fields);
                    }
                    self.scheduler().poll_failed(&id, now);
                    self.wake.notify_one();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        lock(&self.polled_workers).remove(&id);
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
