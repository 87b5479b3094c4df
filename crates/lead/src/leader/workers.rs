//! Looks at workers, which renew their leases.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::AttemptOutcome;

use super::Leader;
use crate::host::lock;
use crate::{Platform, PollError};

/// Longest time that a look waits for an end at a busy worker.
const WAIT_BUSY: Duration = Duration::from_millis(500);
/// Longest time that a look waits at an idle worker.
const WAIT_IDLE: Duration = Duration::from_millis(1500);
/// Time between two looks, in which ends gather.
const GAP: Duration = Duration::from_millis(15);
/// Longest time that a look waits for ends to be durable.
const SETTLE: Duration = Duration::from_millis(100);
/// Pause after a look without an answer.
const RETRY: Duration = Duration::from_millis(200);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Begins to look at a worker unless that is done already.
    pub(super) fn look_at(self: &Arc<Self>, id: HostId) {
        if lock(&self.watched).insert(id.clone()) {
            self.spawn(Arc::clone(self).look(id));
        }
    }

    async fn look(self: Arc<Self>, id: HostId) {
        let mut known = false;
        let mut silent = false;
        loop {
            let mut sent = self.host.inner.clock.now();
            let Some(mut renewal) = self.flow().renewal(&id, sent) else { break };
            if known && renewal.received > renewal.acknowledged {
                // The worker would list the same ends again at once.
                let _ = tokio::time::timeout(SETTLE, self.swept.notified()).await;
                sent = self.host.inner.clock.now();
                let Some(again) = self.flow().renewal(&id, sent) else { break };
                renewal = again;
            }
            let wait = match (known, renewal.busy) {
                (false, _) => Duration::ZERO,
                (true, true) => WAIT_BUSY,
                (true, false) => WAIT_IDLE,
            };
            let looked = self.host.inner.platform.poll(&renewal, wait).await;
            let now = self.host.inner.clock.now();
            match looked {
                Ok(report) => {
                    known = true;
                    if std::mem::take(&mut silent) {
                        self.host.record(Code::EndpointRestored, [Field::new("worker", &id)]);
                    }
                    self.log_ends(&id, &report.ended, renewal.received);
                    if self.flow().apply_report(&id, &report, sent, now) {
                        self.lives.notify_one();
                    }
                    self.wake.notify_one();
                    tokio::time::sleep(GAP).await;
                }
                Err(PollError::Fenced) => {
                    self.lose("a worker has seen a higher fence");
                    return;
                }
                Err(error) => {
                    known = false;
                    if !std::mem::replace(&mut silent, true) {
                        let fields = [Field::new("worker", &id), Field::new("cause", error)];
                        self.host.record(Code::EndpointEjected, fields);
                    }
                    self.flow().poll_failed(&id, now);
                    self.wake.notify_one();
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
        lock(&self.watched).remove(&id);
    }

    fn log_ends(&self, id: &HostId, ended: &[vg_flow::EndedAttempt], read: u64) {
        for row in ended.iter().filter(|row| row.number > read) {
            let code =
                if row.outcome == AttemptOutcome::Done { Code::TaskDone } else { Code::TaskEnded };
            let fields = [
                Field::new("task", row.task),
                Field::new("run", row.attempt),
                Field::new("worker", id),
                Field::new("how", row.outcome),
            ];
            self.host.record(code, fields);
        }
    }
}
