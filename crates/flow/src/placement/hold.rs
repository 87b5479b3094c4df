//! Workers that are kept free for tasks that fit on none yet.
//!
//! Load that this module handles: a pool is full of small tasks of one team, and a team
//! within its share has larger ones. Whenever a part of a worker becomes free, a small
//! task fits and a larger one does not, so that the larger one would wait for the whole
//! peak. After it has waited for a while, nothing else starts on the worker that lacks
//! the least capacity for it, round after round: if another worker were chosen whenever it
//! lacks less, what had become free on the first one would be filled again.

use std::collections::HashMap;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::Scheduler;
use crate::jobs::job::JobKey;
use crate::placement::plan::PoolPass;
use crate::shares::contention::{ContendedPool, ShareStatus};
use crate::workers::worker::WorkerKey;

/// Part of the time for which a job can wait, after which a worker is kept free for it.
const WAIT_FRACTION: f64 = 0.25;
/// Part of a pool's workers that may be kept free, but at least one: they run less than
/// they could.
const MAX_HELD_FRACTION: f64 = 0.25;

/// Workers that are kept free, by the job that they are kept for.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    current: HashMap<JobKey, Vec<WorkerKey>>,
    previous: HashMap<JobKey, Vec<WorkerKey>>,
}

impl Holds {
    /// Begins a round, in which workers are kept free anew.
    pub(crate) fn begin_round(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// Returns a worker that was kept free for a job in the last round and satisfies
    /// `suits`.
    fn kept(&self, job: JobKey, suits: impl Fn(WorkerKey) -> bool) -> Option<WorkerKey> {
        self.previous.get(&job)?.iter().copied().find(|&worker| suits(worker))
    }
}

impl Scheduler {
    /// Keeps workers free in this round for waiting tasks of a job that fit on none.
    pub(crate) fn hold_workers(
        &mut self,
        key: JobKey,
        pool: &ContendedPool,
        pass: &mut PoolPass,
        wall: SystemTime,
    ) {
        let job = &self.jobs[key];
        if pool.share_status(job.team_index) != ShareStatus::WithinShare {
            return;
        }
        let ready = job.ready_steps().filter(|ready| !ready.step.waiting.is_empty());
        let misfits = ready.filter(|ready| pass.is_misfit(&ready.spec.reservation()));
        let misfits: Vec<_> =
            misfits.map(|ready| (ready.spec.reservation(), ready.step.waiting.len())).collect();
        if misfits.is_empty() || !self.has_waited(key, wall) {
            return;
        }
        let max_held = ((pool.usable as f64 * MAX_HELD_FRACTION) as usize).max(1);
        for (need, mut tasks) in misfits {
            while tasks > 0 && pass.held < max_held {
                let suits =
                    |worker| pass.workers.contains(&worker) && need.fits(&self.freeable(worker));
                let kept = self.holds.kept(key, suits);
                let worker = kept.or_else(|| self.nearest_fit(&need, &pass.workers));
                let Some(worker) = worker else { break };
                pass.hold(worker);
                self.holds.current.entry(key).or_default().push(worker);
                tasks = tasks.saturating_sub(count_fitting(&need, &self.freeable(worker)));
            }
        }
    }

    /// Whether a job has waited for a part of the time for which it can wait.
    fn has_waited(&self, key: JobKey, wall: SystemTime) -> bool {
        let Some(input) = self.rank_input_of(key, wall) else { return false };
        let longest_wait = input.objective().saturating_sub(input.critical_path);
        self.spare_time(key, wall) < longest_wait.as_secs_f64() * (1.0 - WAIT_FRACTION)
    }

    /// Returns the capacity of a worker that is free once its short tasks have ended:
    /// continuous tasks stay. Attempts of unknown jobs are being stopped.
    pub(crate) fn freeable(&self, key: WorkerKey) -> Resources {
        let worker = &self.workers[key];
        let continuous = worker.attempts.iter().filter(|&&each| self.is_continuous(each));
        let usage = continuous.filter_map(|&each| self.attempts[each].usage.as_ref());
        usage.fold(worker.capacity, |left, each| left.minus(&each.reserved))
    }

    /// Returns the worker that lacks the least capacity for a task.
    fn nearest_fit(&self, need: &Resources, workers: &[WorkerKey]) -> Option<WorkerKey> {
        let large = workers.iter().filter(|&&key| need.fits(&self.freeable(key)));
        let lacking = large.map(|&key| {
            let worker = &self.workers[key];
            let free = worker.free().unwrap_or(Resources::ZERO);
            (need.minus(&free).dominant_share(&worker.capacity), key)
        });
        lacking.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }
}

/// Returns how many equal tasks fit on a worker.
fn count_fitting(need: &Resources, capacity: &Resources) -> usize {
    let part = need.dominant_share(capacity);
    if part > 0.0 { ((1.0 / part) as usize).max(1) } else { usize::MAX }
}
