//! What happens as time passes.

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::journal::Record;
use crate::workers::WorkerKey;
use crate::{Action, JobState, Now};

/// Most jobs that one tick forgets, so that batches stay free for others.
const PURGE_MAX: usize = 256;

impl Shard {
    /// Acts upon what is due: lapsed leases, messages without an answer,
    /// overloaded and leaving workers, misfits and the retention period.
    pub fn tick(&mut self, now: Now) {
        if self.journal.is_fenced() {
            return;
        }
        self.lapse_workers(now);
        self.clear_leaving(now);
        self.ask_silent(now);
        self.relieve(now);
        self.park_misfits(now);
        self.purge(now);
    }

    fn lapse_workers(&mut self, now: Now) {
        let margin = self.limits.lease_margin;
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.jobs.is_empty())
            .filter(|(_, worker)| worker.lease.is_none_or(|until| now.mono >= until + margin))
            .map(|(key, _)| key)
            .collect();
        for worker in lapsed {
            self.lose_all(worker, now);
        }
    }

    /// Sends messages again that got no answer, but for starts: a second copy
    /// could come after its job has ended on a worker that has restarted since.
    fn ask_silent(&mut self, now: Now) {
        let live: Vec<JobKey> = self.live.iter().copied().collect();
        for key in live {
            let job = &self.jobs[key];
            let wait = self.silence(key);
            if !job.sent || now.mono < job.heard + wait {
                continue;
            }
            let Some(task) = self.task(key) else { continue };
            let state = job.state;
            let action = match state {
                // A worker that does not know the attempt can't stop it: every
                // other time it is asked.
                _ if job.unanswered % 2 == 1 => Action::Query(task),
                _ if self.is_cancelled(key) => Action::Stop(task),
                JobState::Checkpointing => Action::Stop(task),
                _ => Action::Query(task),
            };
            self.jobs[key].heard = now.mono;
            self.jobs[key].unanswered += 1;
            self.actions.push(action);
        }
    }

    /// Returns how long a worker may stay silent on an attempt.
    fn silence(&self, key: JobKey) -> Duration {
        match self.jobs[key].state {
            _ if self.is_cancelled(key) => self.limits.start_timeout,
            JobState::Checkpointing => self.limits.checkpoint_timeout,
            JobState::Running => self.limits.report_timeout,
            _ => self.limits.start_timeout,
        }
    }

    /// Finds waiting jobs that no host can hold. A host list lags and hosts
    /// come back, so a job is parked only when it has not fitted for a while.
    fn park_misfits(&mut self, now: Now) {
        let wait = self.limits.unplaceable_delay;
        let mut due = Vec::new();
        for key in self.lanes.jobs() {
            if self.workers.could_hold(&self.jobs[key].spec.size) {
                if !self.misfits.is_empty() {
                    self.misfits.remove(&key);
                }
                continue;
            }
            let since = *self.misfits.entry(key).or_insert(now.mono);
            if now.mono >= since + wait {
                due.push(key);
            }
        }
        for key in due {
            if self.step(key, JobState::CannotRun, now) {
                self.persist(key, None, now);
            }
        }
    }

    /// Forgets jobs whose retention period has passed.
    fn purge(&mut self, now: Now) {
        for _ in 0..PURGE_MAX {
            let Some(&key) = self.ended.front() else { return };
            let job = &self.jobs[key];
            // A wall clock that was set back makes the job wait, no more.
            let age = now.wall.duration_since(job.changed).unwrap_or_default();
            let durable = job.shown == Some(job.state);
            if age < self.limits.retention || !durable {
                return;
            }
            let record = Record::Purged { job: job.id };
            if self.journal.stage(record, now.mono).is_err() {
                return;
            }
            self.ended.pop_front();
            if let Some(job) = self.jobs.remove(key) {
                self.ids.remove(&job.id);
            }
        }
    }
}
