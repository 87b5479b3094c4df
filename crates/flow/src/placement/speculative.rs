//! Speculative attempts of tasks whose worker is unreachable or much slower
//! than others.
//!
//! Load that this module handles: a rack becomes unreachable at peak load.
//! Attempts there count as running until their lease has expired, which is
//! later than most objectives. Where a step allows it, another worker starts a
//! second attempt at once, and the first attempt to complete counts. While the pool is
//! full, one for a slow attempt is started only if it saves more capacity than it takes.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey};
use crate::jobs::crashes::CrashState;
use crate::jobs::job::JobKey;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, TaskId};

impl Scheduler {
    /// Starts speculative attempts of tasks that run on unreachable or slow
    /// workers only.
    pub(crate) fn start_speculative(&mut self, now: Instant) {
        let mut usable: HashMap<PoolId, Vec<WorkerKey>> = HashMap::new();
        for (key, task) in self.held_up_tasks() {
            let Some(need) = self.spec_of(task).map(|spec| spec.need) else { continue };
            if !self.team_allows(key, &need) {
                continue;
            }
            let pool = self.jobs[key].pool();
            if self.full_pools.contains(pool) && !self.gains_by_attempt(task, now) {
                continue;
            }
            let workers =
                usable.entry(pool.clone()).or_insert_with(|| self.usable_workers(pool, now));
            match self.crash_state_of(task, now) {
                CrashState::Clear => {}
                CrashState::Suspect => {
                    self.try_suspect(key, task, workers, now);
                    continue;
                }
                CrashState::Doomed | CrashState::Proven => continue,
            }
            if let Some(worker) = self.find_worker(key, task, workers, now) {
                let attempt = self.next_attempt(key, task);
                self.start(key, task, attempt, worker, now);
            }
        }
    }

    /// Returns tasks that may have speculative attempts and run on unreachable
    /// or slow workers only.
    fn held_up_tasks(&self) -> Vec<(JobKey, TaskId)> {
        let attempts = self.attempts.values().filter(|attempt| self.is_held_up(attempt));
        let mut tasks: Vec<_> =
            attempts.filter_map(|attempt| self.held_up_task(attempt.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    /// Whether a further attempt of a task takes less capacity than it saves.
    fn gains_by_attempt(&self, id: TaskId, now: Instant) -> bool {
        let attempts = self.job_of(id).and_then(|job| job.task(id)).map(|task| &task.attempts);
        attempts.is_none_or(|all| all.iter().all(|&each| self.saves_capacity(each, now)))
    }

    fn is_held_up(&self, attempt: &Attempt) -> bool {
        attempt.slow || self.workers[attempt.worker].unreachable_since.is_some()
    }

    fn held_up_task(&self, id: TaskId) -> Option<(JobKey, TaskId)> {
        let key = *self.job_ids.get(&id.step.job)?;
        let job = &self.jobs[key];
        let task = job.task(id)?;
        let spec = self.spec_of(id)?;
        let held_up = |&attempt: &AttemptKey| self.is_held_up(&self.attempts[attempt]);
        let wanted = job.is_open() && !task.done && spec.speculative && !spec.gang;
        (wanted && task.attempts.iter().all(held_up)).then_some((key, id))
    }
}
