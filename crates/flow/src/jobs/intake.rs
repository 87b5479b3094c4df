//! Submission, recovery and cancellation of jobs.

use std::sync::Arc;

use vg_base::prelude::*;

use crate::jobs::job::Job;
use crate::{JobOutcome, JobSpec, Progress, Scheduler, StopReason};

/// The time after a takeover in which the earlier leader may start jobs that are accepted then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Overlap {
    until: Instant,
    /// Revision of the store after its end. Jobs may be read long after they were accepted.
    end: Option<u64>,
}

impl Overlap {
    /// Whether a job that is durable since `revision` may have been accepted in this time.
    fn includes(&self, revision: u64) -> bool {
        self.end.is_none_or(|end| revision <= end)
    }
}

impl Scheduler {
    /// Notes until when the earlier leader may start jobs that are accepted after this one
    /// took over: the store may end a lease before its time, and the host can't know.
    pub fn set_overlap(&mut self, until: Instant) {
        self.overlap = Some(Overlap { until, end: None });
    }

    /// Notes the revision of the store in the answer to a call that was sent at `sent`.
    pub fn note_revision(&mut self, revision: u64, sent: Instant) {
        if let Some(overlap) = &mut self.overlap
            && sent >= overlap.until
        {
            overlap.end.get_or_insert(revision);
        }
    }

    /// Adds a job that is durable in the store since `revision`; returns
    /// whether it was new.
    pub fn add_job(&mut self, id: JobId, spec: Arc<JobSpec>, revision: u64, now: Instant) -> bool {
        if self.job_ids.contains_key(&id) {
            return false;
        }
        let pool = self.accepted_pool(&spec);
        self.teams.note_terms(spec.team.as_ref(), spec.terms.as_ref());
        self.record_arrival(&pool, &spec, now);
        let team = self.teams.index(spec.team.as_ref());
        let is_overlapping = self.overlap.is_some_and(|overlap| overlap.includes(revision));
        let is_earlier = revision <= self.token.0 || is_overlapping;
        let job = Job::new(id, spec, pool, team, is_earlier);
        self.queue_work.add(&job.spec.queue, job.work);
        self.job_sizes.add(&job.spec.queue, job.work);
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        self.attach_reported(key);
        true
    }

    /// Returns for how long new jobs should be refused, because this leader can not
    /// start what waits already in time; `None` if it can.
    pub fn refusal_time(&self, now: Instant) -> Option<Duration> {
        if !self.start_window.is_limiting(now) {
            return None;
        }
        let open = self.jobs.values().filter(|job| job.is_open());
        let ready = open.flat_map(|job| job.ready_steps());
        let waiting = ready.map(|ready| ready.step.waiting.len()).sum();
        self.start_window.refusal_time(waiting)
    }

    /// Restores the durable progress of a job.
    pub fn restore_progress(&mut self, id: JobId, progress: &Progress) {
        if let Some(&key) = self.job_ids.get(&id) {
            self.jobs[key].restore(progress);
            self.finish_if_done(key);
        }
    }

    /// Cancels a job; the cancellation is already durable in the store.
    pub fn cancel_job(&mut self, id: JobId, now: Instant) {
        let Some(&key) = self.job_ids.get(&id) else { return };
        self.jobs[key].cancelled = true;
        // A cancellation overrides an outcome that is decided but not durable.
        if !self.jobs[key].ended_durably {
            self.jobs[key].ended = Some(JobOutcome::Cancelled);
            self.mark_dirty(key);
        }
        self.stop_job_attempts(key, now);
    }

    /// Ends a job whose outcome is durable in the store already, and stops its attempts.
    pub fn end_durably(&mut self, id: JobId, outcome: JobOutcome, now: Instant) {
        let Some(&key) = self.job_ids.get(&id) else { return };
        self.jobs[key].ended = Some(outcome);
        self.jobs[key].ended_durably = true;
        self.stop_job_attempts(key, now);
        self.forget_if_finished(key);
    }

    pub(crate) fn stop_job_attempts(&mut self, key: crate::jobs::job::JobKey, now: Instant) {
        let job = &self.jobs[key];
        let tasks = job
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks);
        let attempts: Vec<_> = tasks.flat_map(|task| task.attempts.iter().copied()).collect();
        for attempt in attempts {
            self.stop_attempt(attempt, StopReason::JobEnded, now);
        }
    }

    /// Sets the outcome of a job whose occurrences are all done.
    pub(crate) fn finish_if_done(&mut self, key: crate::jobs::job::JobKey) {
        if self.jobs[key].close_done() {
            self.end_job(key, JobOutcome::Done);
        }
    }

    /// Returns the pool in which a job was accepted. A job without terms, of which an earlier
    /// version has stored nothing else, waits in a pool without workers if its queue is gone.
    fn accepted_pool(&self, spec: &JobSpec) -> PoolId {
        let accepted = spec.terms.as_ref().map(|terms| &terms.queue);
        match accepted.or(self.config.queue_of(spec)) {
            Some(queue) => queue.pool.clone(),
            None => "none".parse().unwrap_or_else(|_| unreachable!("`none` is a valid name")),
        }
    }
}
