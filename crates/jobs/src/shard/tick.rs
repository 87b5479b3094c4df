//! Periodic work of a shard.

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::journal::Record;
use crate::workers::WorkerKey;
use crate::{Action, JobState, Now};

/// Largest number of jobs that one tick purges, so that batches keep space for
/// other changes.
const PURGE_MAX: usize = 256;

impl Shard {
    /// Does everything that is due: handles expired leases, attempts without reports,
    /// messages without an answer, overloaded and leaving workers, jobs that fit no
    /// host, and the end of the retention period.
    pub fn tick(&mut self, now: Now) {
        if self.journal.is_fenced() {
            return;
        }
        self.expire_workers(now);
        self.drain_leaving(now);
        self.poll_silent_attempts(now);
        self.relieve_workers(now);
        self.park_unplaceable(now);
        self.purge(now);
    }

    /// Treats all attempts on a worker as lost once its lease has expired and
    /// [`Limits::lease_margin`](crate::Limits::lease_margin) has passed since.
    fn expire_workers(&mut self, now: Now) {
        let margin = self.limits.lease_margin;
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.jobs.is_empty())
            .filter(|(_, worker)| worker.lease_end.is_none_or(|until| now.mono >= until + margin))
            .map(|(key, _)| key)
            .collect();
        for worker in expired {
            self.lose_all_attempts(worker, now);
        }
    }

    /// Queries or stops each attempt about which no message was sent or received for
    /// its [`Shard::silence_limit`]. Messages without an answer are thereby sent again,
    /// except starts: the second copy of a start could arrive after its job has ended,
    /// on a worker that has restarted since.
    fn poll_silent_attempts(&mut self, now: Now) {
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            let job = &self.jobs[key];
            let wait = self.silence_limit(key);
            if !job.start_sent || now.mono < job.last_message + wait {
                continue;
            }
            let Some(task) = self.task(key) else { continue };
            let state = job.state;
            let action = match state {
                // A worker that does not know the attempt can't stop it, so every
                // second message is a query.
                _ if job.unanswered % 2 == 1 => Action::Query(task),
                _ if self.is_cancelled(key) => Action::Stop(task),
                JobState::Checkpointing => Action::Stop(task),
                _ => Action::Query(task),
            };
            self.jobs[key].last_message = now.mono;
            self.jobs[key].unanswered += 1;
            self.actions.push(action);
        }
    }

    /// Returns the time without a message about an attempt after which its worker is
    /// queried or told to stop it.
    fn silence_limit(&self, key: JobKey) -> Duration {
        match self.jobs[key].state {
            _ if self.is_cancelled(key) => self.limits.start_timeout,
            JobState::Checkpointing => self.limits.checkpoint_timeout,
            JobState::Running => self.limits.report_timeout,
            _ => self.limits.start_timeout,
        }
    }

    /// Parks waiting jobs that no host can hold. The host list lags behind and
    /// hosts come back, so a job is parked only when it has not fitted for
    /// [`Limits::unplaceable_delay`](crate::Limits::unplaceable_delay).
    fn park_unplaceable(&mut self, now: Now) {
        let wait = self.limits.unplaceable_delay;
        let mut due = Vec::new();
        for key in self.lanes.jobs() {
            if self.workers.could_hold(&self.jobs[key].spec.size) {
                if !self.unplaceable.is_empty() {
                    self.unplaceable.remove(&key);
                }
                continue;
            }
            let since = *self.unplaceable.entry(key).or_insert(now.mono);
            if now.mono >= since + wait {
                due.push(key);
            }
        }
        for key in due {
            if self.transition(key, JobState::CannotRun, now) {
                self.persist(key, None, now);
            }
        }
    }

    /// Purges jobs whose retention period has passed.
    fn purge(&mut self, now: Now) {
        for _ in 0..PURGE_MAX {
            let Some(&key) = self.finished.front() else { return };
            let job = &self.jobs[key];
            // A wall clock that was set back only delays the purge.
            let age = now.wall.duration_since(job.changed).unwrap_or_default();
            let durable = job.last_durable == Some(job.state);
            if age < self.limits.retention || !durable {
                return;
            }
            let record = Record::Purged { job: job.id };
            if self.journal.stage(record, now.mono).is_err() {
                return;
            }
            self.finished.pop_front();
            if let Some(job) = self.jobs.remove(key) {
                self.ids.remove(&job.id);
            }
        }
    }
}
