//! A shard from a recovered journal.

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
    WorkerInstance,
};

/// Attempts passed over when later ones than the last known may have been
/// given out.
const SUSPECT_ATTEMPTS: u32 = 1 << 16;

impl Shard {
    /// Makes the shard of a pool that was just taken over.
    ///
    /// The workers of live attempts count as under lease from now on: the
    /// owner before may have renewed them until it lost the pool.
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
            misfits: HashMap::new(),
            held: HashMap::new(),
            ended: VecDeque::new(),
            effects: VecDeque::new(),
            actions: Vec::new(),
        };
        let mut jobs = recovered.jobs;
        jobs.iter().for_each(|job| shard.restore_one(job, now));
        jobs.retain(|job| job.unresolved);
        jobs.iter().for_each(|job| shard.doubt(job, now));
        shard.sort_ended();
        for worker in shard.workers.keys() {
            shard.lose_outdated(worker, now);
        }
        shard
    }

    fn restore_one(&mut self, recovered: &RecoveredJob, now: Now) {
        let durable = &recovered.durable;
        let key = self.jobs.insert(Job {
            id: recovered.job,
            spec: Arc::new(recovered.spec.clone()),
            accepted: recovered.accepted,
            state: durable.state,
            shown: Some(durable.state),
            attempt: durable.attempt,
            instance: durable.instance.clone(),
            worker: None,
            // Whether the owner before sent it can't be known.
            sent: durable.state.is_live(),
            expires: durable.changed + self.limits.start_validity,
            failures: durable.failures,
            failed_on: Vec::new(),
            cancel: durable.cancel,
            doubt: recovered.unresolved,
            checkpoint: durable.checkpoint.clone(),
            no_checkpoint: false,
            held: Resources::ZERO,
            peak: Resources::ZERO,
            throttle: None,
            since: now.mono,
            unanswered: 0,
            heard: self.long_ago(now),
            changed: durable.changed,
        });
        self.ids.insert(recovered.job, key);
        self.enter(key, durable.state);
        if let (true, Some(instance)) = (durable.state.is_live(), &durable.instance) {
            let worker = self.former_worker(instance, now);
            self.assign(key, worker, recovered.spec.size);
        }
    }

    /// Returns a time that makes the next tick ask about a job at once.
    fn long_ago(&self, now: Now) -> Instant {
        now.mono.checked_sub(self.limits.report_timeout).unwrap_or(now.mono)
    }

    fn former_worker(&mut self, instance: &WorkerInstance, now: Now) -> WorkerKey {
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

    /// A later record of a waiting job may be lost: what can't be repeated is
    /// unknown, and the rest goes on with an attempt that none has had. A live
    /// one keeps its unit until its worker has told what it knows.
    fn doubt(&mut self, recovered: &RecoveredJob, now: Now) {
        let Some(&key) = self.ids.get(&recovered.job) else { return };
        let job = &mut self.jobs[key];
        if job.state.is_final() || job.state.is_live() {
            return;
        }
        if !job.spec.idempotent {
            // A parked job has no step to `Unknown` but by way of its queue.
            if job.state == JobState::CannotRun {
                self.step(key, JobState::Queued, now);
            }
            return self.end(key, JobState::Unknown, now);
        }
        self.settle_doubt(key);
        self.persist(key, None, now);
    }

    /// Passes over attempts that may have been given out unseen.
    pub(super) fn settle_doubt(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if std::mem::take(&mut job.doubt) {
            job.attempt = Attempt(job.attempt.0.saturating_add(SUSPECT_ATTEMPTS));
        }
    }

    fn sort_ended(&mut self) {
        let jobs = &self.jobs;
        let by_time = |key: &JobKey| jobs[*key].changed;
        self.ended.make_contiguous().sort_by_key(by_time);
    }
}
