//! Preempts background jobs in favor of urgent jobs.

use std::cmp::Reverse;
use std::collections::HashMap;

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::worker::Worker;
use crate::workers::{Need, WorkerKey, accepts_work};
use crate::{Action, Class, JobState, Now, Resources};

/// Capacity on each worker that is being freed for jobs handled earlier in the
/// round.
type PendingCapacity = HashMap<WorkerKey, Resources>;

/// Background jobs to move off one worker.
struct PreemptionPlan {
    worker: WorkerKey,
    victims: Vec<JobKey>,
    /// Sum of the dominant shares of the worker's capacity that the victims hold.
    cost: f64,
}

impl Shard {
    /// Asks background jobs to write a checkpoint and stop, so that urgent jobs
    /// fit. Returns the number of urgent jobs that capacity is being freed for.
    pub(super) fn preempt_for_jobs(
        &mut self,
        unplaced: &[JobKey],
        may_start: &mut impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> usize {
        let mut pending = PendingCapacity::new();
        let mut preempted = 0;
        for &key in unplaced {
            let team = self.jobs[key].spec.team.clone();
            // A team at its limit would not use the freed capacity.
            if !may_start(&team) {
                continue;
            }
            self.actions.push(Action::PermitReleased { team });
            preempted += usize::from(self.preempt_for_job(key, &mut pending, now));
        }
        preempted
    }

    /// Frees capacity for one job on the worker where this costs the least. Returns
    /// `false` if no worker can free enough.
    fn preempt_for_job(&mut self, key: JobKey, pending: &mut PendingCapacity, now: Now) -> bool {
        let job = &self.jobs[key];
        let size = self.planned(key, &job.lane());
        let (class, idempotent) = (job.spec.class, job.spec.idempotent);
        let need = Need { size, class, idempotent, avoid: &[], limits: &self.limits };
        let eligible =
            self.workers.iter().filter(|(_, worker)| accepts_work(worker, &need, now.mono));
        let plans = eligible.filter_map(|(worker_key, worker)| {
            let taken = pending.get(&worker_key).copied().unwrap_or_default();
            self.plan(worker_key, worker, &size.plus(&taken))
        });
        let Some(plan) = plans.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return false };
        let taken = pending.entry(plan.worker).or_default();
        *taken = taken.plus(&size);
        for victim in plan.victims {
            self.request_checkpoint(victim, now);
        }
        true
    }

    /// Plans to free enough capacity of a worker for `size`. Returns `None` if that
    /// is not possible.
    fn plan(
        &self,
        worker_key: WorkerKey,
        worker: &Worker,
        size: &Resources,
    ) -> Option<PreemptionPlan> {
        // Capacity that is already being freed counts as free.
        let leaving = worker.jobs.iter().filter(|&&key| self.is_leaving(key));
        let mut free =
            leaving.fold(worker.free(), |free, &key| free.plus(&self.jobs[key].reserved));
        let movable = worker.jobs.iter().copied().filter(|&key| self.may_preempt(key));
        let mut victims: Vec<JobKey> = movable.collect();
        // The jobs that started last lose the least by a restart.
        victims.sort_unstable_by_key(|&key| Reverse(self.jobs[key].state_since));
        let mut plan = PreemptionPlan { worker: worker_key, victims: Vec::new(), cost: 0.0 };
        for key in victims {
            if size.fits(&free) {
                break;
            }
            free = free.plus(&self.jobs[key].reserved);
            plan.cost += self.jobs[key].reserved.dominant_share(&worker.capacity);
            plan.victims.push(key);
        }
        size.fits(&free).then_some(plan)
    }

    /// Whether a job has been asked to stop, so that its capacity is being freed.
    fn is_leaving(&self, key: JobKey) -> bool {
        self.jobs[key].state == JobState::Checkpointing || self.is_cancelled(key)
    }

    /// Whether a job is a background job that may be preempted.
    ///
    /// A job that is not idempotent is never preempted: its work between the checkpoint and
    /// the stop would be done twice. Such a job can only be throttled.
    pub(super) fn may_preempt(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        job.state == JobState::Running && job.spec.class == Class::Background && job.spec.idempotent
    }

    /// Asks a running job to write a checkpoint and stop. A job that already failed
    /// to write a checkpoint in this attempt is stopped without one.
    pub(super) fn request_checkpoint(&mut self, key: JobKey, now: Now) {
        let cannot_checkpoint = self.jobs[key].no_checkpoint;
        let Some(task) = self.task(key) else { return };
        if self.transition(key, JobState::Checkpointing, now) {
            self.jobs[key].last_message = now.mono;
            let action =
                if cannot_checkpoint { Action::Stop(task) } else { Action::Checkpoint(task) };
            self.actions.push(action);
        }
    }
}
