//! Handles the reports of workers about their attempts.

use bytes::Bytes;
use vg_base::prelude::*;

use super::Shard;
use crate::health::HealthChange;
use crate::job::JobKey;
use crate::report::{FinishedSnafu, StaleAttemptSnafu, UnknownJobSnafu};
use crate::workers::WorkerKey;
use crate::{Action, Attempt, FailureCause, JobState, Now, Report, ReportError, WorkerIncarnation};

/// Largest checkpoint reference in bytes. A larger one is treated as no checkpoint.
const CHECKPOINT_MAX_BYTES: usize = 4096;

impl Shard {
    /// Handles a worker's report about an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the report is not about the
    /// current attempt or the job has finished. A job therefore never gets a second
    /// result.
    pub fn report(
        &mut self,
        instance: &WorkerIncarnation,
        id: JobId,
        attempt: Attempt,
        report: Report,
        now: Now,
    ) -> Result<(), ReportError> {
        let Some(key) = self.current(instance, id, attempt) else {
            return self.reject(id, attempt);
        };
        let job = &mut self.jobs[key];
        // No start of this attempt was sent, so the report can't be about it.
        if !job.start_sent {
            return StaleAttemptSnafu { attempt }.fail();
        }
        job.last_message = now.mono;
        job.unanswered = 0;
        match report {
            Report::Running => self.running(key, now),
            Report::NeverStarted => self.never_started(key, now),
            Report::UnknownAttempt => self.handle_lost_attempt(key, now),
            Report::StartFailed => self.start_failed(key, now),
            Report::InsufficientCapacity => self.insufficient_capacity(key, now),
            Report::Exited { exit } => self.exited(key, exit, now),
            Report::Stopped { checkpoint } => self.stopped(key, checkpoint, now),
            Report::CheckpointFailed => self.checkpoint_failed(key, now),
        }
        Ok(())
    }

    /// Returns the reason for rejecting a report that is not about the current
    /// attempt.
    fn reject(&self, id: JobId, attempt: Attempt) -> Result<(), ReportError> {
        match self.job(id) {
            None => UnknownJobSnafu.fail(),
            Some(job) if job.state.is_final() => FinishedSnafu.fail(),
            Some(_) => StaleAttemptSnafu { attempt }.fail(),
        }
    }

    fn running(&mut self, key: JobKey, now: Now) {
        if matches!(self.jobs[key].state, JobState::Placed | JobState::Starting) {
            self.transition(key, JobState::Running, now);
        }
    }

    /// Handles an attempt that its worker has not started and never will.
    fn never_started(&mut self, key: JobKey, now: Now) {
        match self.jobs[key].state {
            JobState::Placed | JobState::Starting => self.requeue(key, now),
            // The worker reported before that the attempt runs, so one of the two
            // reports is wrong.
            _ => self.handle_lost_attempt(key, now),
        }
    }

    /// Handles an attempt whose worker has insufficient capacity, because the worker
    /// counts its resources differently from the owner. Neither the job nor the worker is
    /// at fault, but they do not fit each other for now.
    fn insufficient_capacity(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        let worker = job.worker.and_then(|worker| self.workers.get_mut(worker));
        if let Some(worker) = worker {
            worker.full_until = Some(now.mono + self.limits.capacity_backoff);
            if !job.failed_on.contains(&worker.host) {
                job.failed_on.push(worker.host.clone());
            }
        }
        self.never_started(key, now);
    }

    /// Handles an attempt whose start failed before any part of the task ran.
    fn start_failed(&mut self, key: JobKey, now: Now) {
        // The worker reported before that the attempt runs, so one of the two reports
        // is wrong.
        if !matches!(self.jobs[key].state, JobState::Placed | JobState::Starting) {
            return self.handle_lost_attempt(key, now);
        }
        self.record_failure(key, now);
        self.retry(key, FailureCause::Attempts, now);
    }

    /// Handles an attempt whose task exited. Only idempotent jobs are tried again
    /// after a failure, and then from the beginning.
    fn exited(&mut self, key: JobKey, exit: i32, now: Now) {
        self.record_estimate(key, now);
        if exit == 0 {
            self.record_success(key);
            return self.finish(key, JobState::Done { exit }, now);
        }
        self.record_failure(key, now);
        let cause = FailureCause::Exit(exit);
        if !self.jobs[key].spec.idempotent {
            return self.finish(key, JobState::Failed { cause }, now);
        }
        self.jobs[key].checkpoint = None;
        self.retry(key, cause, now);
    }

    /// Queues a failed job for another attempt, or ends it if its attempts are used
    /// up.
    fn retry(&mut self, key: JobKey, cause: FailureCause, now: Now) {
        if self.jobs[key].failures >= self.limits.max_attempts {
            return self.finish(key, JobState::Failed { cause }, now);
        }
        self.requeue(key, now);
    }

    /// Handles an attempt whose task was stopped.
    fn stopped(&mut self, key: JobKey, checkpoint: Option<Bytes>, now: Now) {
        let job = &mut self.jobs[key];
        let checkpoint = checkpoint.filter(|bytes| bytes.len() <= CHECKPOINT_MAX_BYTES);
        if job.cancel_requested {
            return self.finish(key, JobState::Cancelled, now);
        }
        // Without a checkpoint the job has run in part and starts from the
        // beginning.
        if checkpoint.is_none() && !job.spec.idempotent {
            return self.finish(key, JobState::Unknown, now);
        }
        job.checkpoint = checkpoint;
        self.requeue(key, now);
    }

    /// Handles an attempt that could not write a checkpoint and continues to run.
    fn checkpoint_failed(&mut self, key: JobKey, now: Now) {
        self.jobs[key].no_checkpoint = true;
        if self.jobs[key].state == JobState::Checkpointing {
            self.transition(key, JobState::Running, now);
        }
    }

    /// Records the usage and run time of a job that exited.
    fn record_estimate(&mut self, key: JobKey, now: Now) {
        let job = &self.jobs[key];
        // Without any measured usage there is nothing to learn from.
        if job.peak_usage.cores.0 > 0 {
            let run_time = now.mono.saturating_duration_since(job.state_since);
            self.estimates.record(&job.lane(), &job.spec.size, &job.peak_usage, run_time);
        }
    }

    /// Counts a success for the worker and the lane of a job.
    fn record_success(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let Some(worker) = job.worker.and_then(|worker| self.workers.get_mut(worker)) else {
            return;
        };
        self.lane_health.record(&job.lane(), &worker.host, true);
        if worker.health.record_success() == HealthChange::Restored {
            let worker = worker.host.clone();
            self.actions.push(Action::WorkerRestored { worker });
        }
    }

    /// Counts a failure against the job, and against its worker unless the jobs of
    /// the lane fail everywhere.
    fn record_failure(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        job.failures = job.failures.saturating_add(1);
        let (id, lane) = (job.id, job.lane());
        let Some(worker_key) = job.worker else { return };
        let Some(worker) = self.workers.get_mut(worker_key) else { return };
        if !job.failed_on.contains(&worker.host) {
            job.failed_on.push(worker.host.clone());
        }
        self.lane_health.record(&lane, &worker.host, false);
        if self.lane_health.is_failing(&lane) {
            return;
        }
        if let HealthChange::Quarantined { until } =
            worker.health.record_failure(&self.limits, id, &lane, now.mono)
        {
            self.handle_quarantine(worker_key, until);
        }
    }

    /// Handles the quarantine of a worker: one failure less counts against each open
    /// job that has the worker in its `failed_on`, because the worker caused the
    /// failure and not the job.
    fn handle_quarantine(&mut self, worker_key: WorkerKey, until: Instant) {
        let Some(worker) = self.workers.get(worker_key).map(|worker| worker.host.clone()) else {
            return;
        };
        let open = self.lanes.jobs().chain(self.live.iter().copied()).collect::<Vec<JobKey>>();
        for key in open {
            let job = &mut self.jobs[key];
            if job.failed_on.contains(&worker) {
                job.failures = job.failures.saturating_sub(1);
            }
        }
        self.actions.push(Action::WorkerQuarantined { worker, until });
    }
}
