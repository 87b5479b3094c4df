//! What workers report.

use bytes::Bytes;
use vg_base::prelude::*;

use super::Shard;
use crate::health::HealthChange;
use crate::job::JobKey;
use crate::report::{FinishedSnafu, StaleAttemptSnafu, UnknownJobSnafu};
use crate::workers::WorkerKey;
use crate::{Action, Attempt, FailureCause, JobState, Now, Report, ReportError, WorkerInstance};

/// Largest checkpoint reference in bytes; a larger one counts as none.
const CHECKPOINT_MAX_BYTES: usize = 4096;

impl Shard {
    /// Takes in a worker's word on an attempt.
    ///
    /// # Errors
    ///
    /// When it is not about the current attempt, or the job has ended. Nothing
    /// changes then: the result that stands is the only one.
    pub fn report(
        &mut self,
        instance: &WorkerInstance,
        id: JobId,
        attempt: Attempt,
        report: Report,
        now: Now,
    ) -> Result<(), ReportError> {
        let Some(key) = self.current(instance, id, attempt) else {
            return self.refuse(id, attempt);
        };
        let job = &mut self.jobs[key];
        if !job.sent {
            return StaleAttemptSnafu { attempt }.fail();
        }
        job.heard = now.mono;
        job.unanswered = 0;
        match report {
            Report::Running => self.running(key, now),
            Report::NeverStarted => self.never_started(key, now),
            Report::UnknownAttempt => self.lose(key, now),
            Report::StartFailed => self.start_failed(key, now),
            Report::InsufficientCapacity => self.no_room(key, now),
            Report::Exited { exit } => self.exited(key, exit, now),
            Report::Stopped { checkpoint } => self.stopped(key, checkpoint, now),
            Report::CheckpointFailed => self.checkpoint_failed(key, now),
        }
        Ok(())
    }

    fn refuse(&self, id: JobId, attempt: Attempt) -> Result<(), ReportError> {
        match self.job(id) {
            None => UnknownJobSnafu.fail(),
            Some(job) if job.state.is_final() => FinishedSnafu.fail(),
            Some(_) => StaleAttemptSnafu { attempt }.fail(),
        }
    }

    fn running(&mut self, key: JobKey, now: Now) {
        if matches!(self.jobs[key].state, JobState::Placed | JobState::Starting) {
            self.step(key, JobState::Running, now);
        }
    }

    fn never_started(&mut self, key: JobKey, now: Now) {
        match self.jobs[key].state {
            JobState::Placed | JobState::Starting => self.requeue(key, now),
            // It was said to run: one of the two words is wrong.
            _ => self.lose(key, now),
        }
    }

    /// The worker counts its room otherwise than its owner: that is no fault of
    /// the job or the worker, but neither fits for now.
    fn no_room(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        let worker = job.worker.and_then(|worker| self.workers.get_mut(worker));
        if let Some(worker) = worker {
            worker.crowded = Some(now.mono + self.limits.capacity_backoff);
            if !job.failed_on.contains(&worker.host) {
                job.failed_on.push(worker.host.clone());
            }
        }
        self.never_started(key, now);
    }

    fn start_failed(&mut self, key: JobKey, now: Now) {
        if !matches!(self.jobs[key].state, JobState::Placed | JobState::Starting) {
            return self.lose(key, now);
        }
        self.note_failure(key, now);
        self.retry(key, FailureCause::Attempts, now);
    }

    fn exited(&mut self, key: JobKey, exit: i32, now: Now) {
        self.learn(key, now);
        if exit == 0 {
            self.note_success(key);
            return self.end(key, JobState::Done { exit }, now);
        }
        self.note_failure(key, now);
        let cause = FailureCause::Exit(exit);
        if !self.jobs[key].spec.idempotent {
            return self.end(key, JobState::Failed { cause }, now);
        }
        self.jobs[key].checkpoint = None;
        self.retry(key, cause, now);
    }

    /// Lets a failed job wait for another attempt, or ends it.
    fn retry(&mut self, key: JobKey, cause: FailureCause, now: Now) {
        if self.jobs[key].failures >= self.limits.max_attempts {
            return self.end(key, JobState::Failed { cause }, now);
        }
        self.requeue(key, now);
    }

    fn stopped(&mut self, key: JobKey, checkpoint: Option<Bytes>, now: Now) {
        let job = &mut self.jobs[key];
        let checkpoint = checkpoint.filter(|bytes| bytes.len() <= CHECKPOINT_MAX_BYTES);
        if job.cancel {
            return self.end(key, JobState::Cancelled, now);
        }
        // Without a checkpoint the job has run in part and starts anew.
        if checkpoint.is_none() && !job.spec.idempotent {
            return self.end(key, JobState::Unknown, now);
        }
        job.checkpoint = checkpoint;
        self.requeue(key, now);
    }

    fn checkpoint_failed(&mut self, key: JobKey, now: Now) {
        self.jobs[key].no_checkpoint = true;
        if self.jobs[key].state == JobState::Checkpointing {
            self.step(key, JobState::Running, now);
        }
    }

    fn learn(&mut self, key: JobKey, now: Now) {
        let job = &self.jobs[key];
        // Without any measured usage there is nothing to learn from.
        if job.peak.cores.0 > 0 {
            let ran = now.mono.saturating_duration_since(job.since);
            self.estimates.record(&job.lane(), &job.spec.size, &job.peak, ran);
        }
    }

    fn note_success(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let Some(worker) = job.worker.and_then(|worker| self.workers.get_mut(worker)) else {
            return;
        };
        self.lane_health.note(&job.lane(), &worker.host, true);
        if worker.health.record_success() == HealthChange::Restored {
            let worker = worker.host.clone();
            self.actions.push(Action::WorkerRestored { worker });
        }
    }

    /// Counts a failure against the job, and against its worker unless the
    /// lane's jobs fail everywhere.
    fn note_failure(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        job.failures = job.failures.saturating_add(1);
        let (id, lane) = (job.id, job.lane());
        let Some(at) = job.worker else { return };
        let Some(worker) = self.workers.get_mut(at) else { return };
        if !job.failed_on.contains(&worker.host) {
            job.failed_on.push(worker.host.clone());
        }
        self.lane_health.note(&lane, &worker.host, false);
        if self.lane_health.is_bad(&lane) {
            return;
        }
        if let HealthChange::Quarantined { until } =
            worker.health.record_failure(&self.limits, id, &lane, now.mono)
        {
            self.quarantined(at, until);
        }
    }

    /// Jobs that failed on a bad worker get those attempts back.
    fn quarantined(&mut self, at: WorkerKey, until: Instant) {
        let Some(worker) = self.workers.get(at).map(|worker| worker.host.clone()) else { return };
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
