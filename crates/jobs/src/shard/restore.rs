//! Builds a shard from a recovered journal.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::Shard;
use crate::health::LaneHealth;
use crate::job::JobKey;
use crate::lane::Lanes;
use crate::workers::{WorkerKey, Workers};
use crate::{
    Attempt, Estimates, Job, JobState, Limits, Now, Recovered, RecoveredJob, Resources,
    WorkerIncarnation,
};

/// Number of attempts to skip when attempts later than the last known one may have
/// been used.
const UNRESOLVED_ATTEMPT_GAP: u32 = 1 << 16;

impl Shard {
    /// Creates the shard of a pool that was just taken over.
    ///
    /// The workers of live attempts count as leased from now on, because the
    /// previous owner may have renewed their leases until it lost the pool.
    pub fn restore(recovered: Recovered, limits: Limits, now: Now) -> Shard {
        let mut shard = Shard {
            limits,
            journal: recovered.journal,
            jobs: SlotMap::with_key(),
            ids: HashMap::new(),
            lanes: Lanes::default(),
            workers: Workers::default(),
            estimates: Estimates::default(),
            lane_health: LaneHealth::default(),
            live: BTreeSet::new(),
            parked: BTreeSet::new(),
            unplaceable: HashMap::new(),
            team_usage: HashMap::new(),
            finished: VecDeque::new(),
            effects: VecDeque::new(),
            actions: Vec::new(),
        };
        let mut jobs = recovered.jobs;
        jobs.iter().for_each(|job| shard.restore_job(job, now));
        jobs.retain(|job| job.unresolved);
        jobs.iter().for_each(|job| shard.resolve_waiting(job, now));
        shard.sort_finished();
        for worker in shard.workers.keys() {
            shard.lose_outdated_attempts(worker, now);
        }
        shard
    }

    /// Adds a recovered job. A live attempt is assigned to its worker again.
    fn restore_job(&mut self, recovered: &RecoveredJob, now: Now) {
        let durable = &recovered.durable;
        let key = self.jobs.insert(Job {
            id: recovered.job,
            spec: Arc::new(recovered.spec.clone()),
            accepted: recovered.accepted,
            state: durable.state,
            last_durable: Some(durable.state),
            attempt: durable.attempt,
            instance: durable.instance.clone(),
            worker: None,
            // It can't be known whether the previous owner sent the start.
            start_sent: durable.state.is_live(),
            expires: durable.changed + self.limits.start_validity,
            failures: durable.failures,
            failed_on: Vec::new(),
            cancel_requested: durable.cancel,
            unresolved: recovered.unresolved,
            checkpoint: durable.checkpoint.clone(),
            no_checkpoint: false,
            reserved: Resources::ZERO,
            peak_usage: Resources::ZERO,
            throttle: None,
            state_since: now.mono,
            unanswered: 0,
            last_message: self.poll_due_time(now),
            changed: durable.changed,
        });
        self.ids.insert(recovered.job, key);
        self.enter_state(key, durable.state);
        if let (true, Some(instance)) = (durable.state.is_live(), &durable.instance) {
            let worker = self.previous_worker(instance, now);
            self.assign(key, worker, recovered.spec.size);
        }
    }

    /// Returns the value of `last_message` that makes the next tick query the worker of
    /// a recovered attempt.
    fn poll_due_time(&self, now: Now) -> Instant {
        now.mono.checked_sub(self.limits.report_timeout).unwrap_or(now.mono)
    }

    /// Returns the worker of a recovered attempt. A worker that is not known yet is
    /// added and counts as leased from now on.
    fn previous_worker(&mut self, instance: &WorkerIncarnation, now: Now) -> WorkerKey {
        let lease = now.mono + self.limits.worker_lease;
        let known = self.workers.find(&instance.worker);
        let key = known.unwrap_or_else(|| {
            self.workers.add_unlisted(&instance.worker, instance.incarnation, lease)
        });
        if let Some(worker) = self.workers.get_mut(key) {
            worker.incarnation = worker.incarnation.max(instance.incarnation);
        }
        key
    }

    /// Resolves a waiting job of which a later record may be lost. A job that is
    /// not idempotent becomes `Unknown`; an idempotent one continues with an
    /// attempt number that was never used. A live job keeps its permit until its
    /// worker has reported what it knows.
    fn resolve_waiting(&mut self, recovered: &RecoveredJob, now: Now) {
        let Some(&key) = self.ids.get(&recovered.job) else { return };
        let job = &mut self.jobs[key];
        if job.state.is_final() || job.state.is_live() {
            return;
        }
        if !job.spec.idempotent {
            // There is no transition from `CannotRun` to `Unknown`, so the job goes
            // through the queue.
            if job.state == JobState::CannotRun {
                self.transition(key, JobState::Queued, now);
            }
            return self.finish(key, JobState::Unknown, now);
        }
        self.skip_unresolved_attempts(key);
        self.persist(key, None, now);
    }

    /// Skips the attempt numbers that a lost record of an unresolved job may have used.
    /// The job is then no longer unresolved.
    pub(super) fn skip_unresolved_attempts(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if std::mem::take(&mut job.unresolved) {
            job.attempt = Attempt(job.attempt.0.saturating_add(UNRESOLVED_ATTEMPT_GAP));
        }
    }

    fn sort_finished(&mut self) {
        let jobs = &self.jobs;
        let by_time = |key: &JobKey| jobs[*key].changed;
        self.finished.make_contiguous().sort_by_key(by_time);
    }
}
