//! Executes the actions that the shard requests.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_jobs::{Action, Cores, JobState, Limits, Report, Task};

use super::{Completion, JobController};
use crate::jobs::pool::ChangeOutcome;
use crate::jobs::worker::WorkerClient;
use crate::platform::Platform;

impl<P: Platform> JobController<P> {
    /// Executes one action of the shard.
    pub(super) fn execute(&mut self, action: Action, now: Instant) {
        match action {
            Action::Accepted { job } | Action::CancelAccepted { job } => {
                self.notify_waiters(job, ChangeOutcome::Durable);
            }
            Action::Unconfirmed { jobs } => {
                for (job, durability) in jobs {
                    self.notify_waiters(job, ChangeOutcome::Unconfirmed(durability));
                }
            }
            Action::Start(start) => {
                let ttl = Limits::default().worker_lease;
                let task = start.task.clone();
                self.record(Code::JobStarted, &task);
                self.send(task, |client| async move { client.start(&start, ttl).await });
            }
            Action::Query(task) => {
                let target = task.clone();
                self.send(task, |client| async move { client.query(&target).await });
            }
            Action::Checkpoint(task) => {
                let target = task.clone();
                self.send(task, |client| async move { client.stop(&target, true).await });
            }
            Action::Stop(task) => {
                let target = task.clone();
                self.send(task, |client| async move { client.stop(&target, false).await });
            }
            Action::Throttle { task, limit } => self.throttle(task, limit),
            Action::Forget(task) => self.forget(task),
            Action::PermitReleased { team } => {
                let mut state = self.jobs.lock();
                // An attempt that was taken over without a permit has none to release.
                if state.permits.get_mut(&team).and_then(Vec::pop).is_none() {
                    state.missing_permits.remove(&team);
                }
            }
            Action::StateDurable { job, state } => self.publish_state(job, state),
            Action::Transitioned { job, attempt, transition } => {
                if matches!(transition.to, JobState::Queued | JobState::Stopped) {
                    let fields = [Field::new("job", job), Field::new("attempt", attempt)];
                    self.node.events.record(Code::JobRequeued, fields);
                }
            }
            Action::WorkerQuarantined { worker, until } => {
                let time = until.saturating_duration_since(now).as_secs();
                let fields = [Field::new("host", worker), Field::new("seconds", time)];
                self.node.events.record(Code::WorkerQuarantined, fields);
            }
            Action::WorkerRestored { worker } => {
                self.node.events.record(Code::WorkerRestored, [Field::new("host", worker)]);
            }
            Action::Fenced => self.jobs.close(),
        }
    }

    /// Sends the outcome of a change to all requesters that wait for the job.
    fn notify_waiters(&self, job: JobId, outcome: ChangeOutcome) {
        let waiting = self.jobs.lock().waiting.remove(&job).unwrap_or_default();
        for sender in waiting {
            // Requesters that have disconnected are not notified.
            let _ = sender.send(outcome);
        }
    }

    /// Records the event of a final state and wakes the requests that wait for state
    /// changes.
    fn publish_state(&self, job: JobId, state: JobState) {
        let code = match state {
            JobState::Done { .. } => Some(Code::JobDone),
            JobState::Failed { .. } => Some(Code::JobFailed),
            JobState::Cancelled => Some(Code::JobCancelled),
            JobState::Unknown => Some(Code::JobUnknown),
            JobState::CannotRun => Some(Code::JobCannotRun),
            _ => None,
        };
        if let Some(code) = code {
            self.node.events.record(code, [Field::new("job", job)]);
        }
        self.jobs.note_change();
    }

    /// Records an event about a task.
    fn record(&self, code: Code, task: &Task) {
        let fields = [
            Field::new("job", task.job),
            Field::new("attempt", task.attempt),
            Field::new("host", &task.instance.worker),
        ];
        self.node.events.record(code, fields);
    }

    /// Sends a request about a task to its worker, and collects the worker's report.
    fn send<F, R>(&mut self, task: Task, message: F)
    where
        F: FnOnce(WorkerClient) -> R,
        R: Future<Output = Option<Report>> + Send + 'static,
    {
        let Some(client) = self.client(&task) else { return };
        let report = message(client);
        self.pending.spawn(async move {
            let report = report.await;
            Completion::Report { task, report }
        });
    }

    /// Limits a task to `limit`, sent as a percentage of the declared cores, or lifts the
    /// limit if it is `None`.
    fn throttle(&mut self, task: Task, limit: Option<Cores>) {
        let Some(client) = self.client(&task) else { return };
        let state = self.jobs.lock();
        let job = state.shard.as_ref().and_then(|shard| shard.job(task.job));
        let declared = job.map_or(1, |job| job.spec().size.cores.0.max(1));
        drop(state);
        let percent = limit.map_or(100, |limit| limit.0.saturating_mul(100) / declared);
        self.pending.spawn(async move {
            client.throttle(&task, percent.clamp(1, 100)).await;
            Completion::Sent
        });
    }

    /// Tells the worker that it may forget a finished task.
    fn forget(&mut self, task: Task) {
        let Some(client) = self.client(&task) else { return };
        self.pending.spawn(async move {
            client.forget(&task).await;
            Completion::Sent
        });
    }

    /// Returns a client for the worker of a task, or `None` if the worker is no longer
    /// listed.
    fn client(&self, task: &Task) -> Option<WorkerClient> {
        let known = self.workers.get(&task.instance.worker)?;
        Some(WorkerClient::new(self.node.client.clone(), self.node.metrics.clone(), known.addr))
    }
}
