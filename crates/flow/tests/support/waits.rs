//! The oracle of waits: a job does not stand still for seconds while its pool has room.

use std::collections::HashMap;

use vg_base::prelude::*;
use vg_flow::{StepId, StepSpec, TaskId};
use vg_jobs::Resources;

use super::world::{StoredJob, World};

/// Time for which a job may have nothing running while it could start.
const MAX_IDLE_MS: u64 = 3000;
/// Time from which a continuous task counts as standing still after its last run.
const MAX_AWAY_MS: u64 = 6000;

/// Since when jobs, or tasks that run until they are cancelled, could start and did not.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// From when on waits are judged, `None` for never: faults excuse some.
    pub(crate) judged_from: Option<u64>,
    idle_since: HashMap<TaskId, u64>,
    /// Longest wait of a job or continuous task that could start.
    pub(crate) longest: u64,
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Judges waits from `ms` after this moment on.
    pub(crate) fn judge_waits_in(&mut self, ms: u64) {
        self.waits.judged_from = Some(self.ms + ms);
        self.waits.idle_since.clear();
    }

    /// Checks the waits of all jobs.
    pub(super) fn check_waits(&mut self) {
        let ms = self.ms;
        if self.waits.judged_from.is_none_or(|from| ms < from) {
            return;
        }
        let mut idle = HashMap::new();
        for (&id, stored) in &self.store {
            for (task, limit) in self.idle_tasks(id, stored) {
                let since = self.waits.idle_since.get(&task).copied().unwrap_or(ms);
                idle.insert(task, since);
                self.waits.longest = self.waits.longest.max(ms - since);
                if ms - since == limit {
                    self.violations.push(format!("{ms}: {task} waits for {limit} ms, with room"));
                }
            }
        }
        self.waits.idle_since = idle;
    }

    /// Returns the first task of a job that could start while none of the job runs, or its
    /// continuous tasks that don't run and could start, with how long they may wait.
    fn idle_tasks(&self, id: JobId, stored: &StoredJob) -> Vec<(TaskId, u64)> {
        if stored.end.is_some() || stored.cancelled || stored.spec.schedule.is_some() {
            return Vec::new();
        }
        let is_running = |task: &TaskId| {
            let mut attempts = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.running);
            attempts.any(|attempt| attempt.task == *task)
        };
        let runs = |step: &StepId| {
            let mut attempts = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.running);
            attempts.any(|attempt| attempt.task.step.job == step.job)
        };
        let mut idle = Vec::new();
        for (at, spec) in stored.spec.steps.iter().enumerate() {
            let step = StepId { job: id, occurrence: 0, step: at as u16 };
            let is_done =
                |step, count| (0..count).all(|index| self.done.contains(&TaskId { step, index }));
            let ready = spec.after.iter().all(|&before| {
                let count = stored.spec.steps[usize::from(before)].count;
                is_done(StepId { step: before, ..step }, count)
            });
            if !ready || spec.gang || !self.has_ample_room(stored, spec, step) {
                continue;
            }
            let tasks = (0..spec.count).map(|index| TaskId { step, index });
            let mut open = tasks.filter(|task| !self.done.contains(task) && !is_running(task));
            if spec.continuous {
                idle.extend(open.map(|task| (task, MAX_AWAY_MS + MAX_IDLE_MS)));
            } else if !runs(&step)
                && let Some(task) = open.next()
            {
                idle.push((task, MAX_IDLE_MS));
            }
        }
        idle
    }

    /// Whether the pool of a job has capacity for a task twice over, under half of it is in
    /// use, and the job's team uses under half of its limit.
    fn has_ample_room(&self, stored: &StoredJob, spec: &StepSpec, id: StepId) -> bool {
        let Some(queue) = self.config.present_queue(&stored.spec.queue) else { return false };
        let pool: Vec<_> = self
            .workers
            .iter()
            .filter(|each| each.up && each.reachable && each.pool == queue.pool.as_str())
            .collect();
        let reservation = spec.reservation();
        let fits = |worker: &&&vg_standin::SimulatedWorker| {
            let here = worker.running.iter().filter(|each| each.task.step == id).count();
            let free = worker.capacity.minus(&worker.used());
            spec.per_worker.is_none_or(|most| (here as u32) < most) && reservation.fits(&free)
        };
        let capacity = pool.iter().map(|each| u64::from(each.capacity.cores.0)).sum::<u64>();
        let used = pool.iter().map(|each| u64::from(each.used().cores.0)).sum::<u64>();
        pool.iter().filter(fits).count() >= 2 && used * 2 < capacity && self.team_has_room(stored)
    }

    fn team_has_room(&self, stored: &StoredJob) -> bool {
        let terms = stored.spec.terms.as_ref().and_then(|terms| terms.team.as_ref());
        let limit = terms.map_or(0, |team| team.limit.cores.0);
        let attempts = self.workers.iter().filter(|each| each.up).flat_map(|each| &each.running);
        let of_team = attempts.filter_map(|attempt| {
            let spec = &self.store.get(&attempt.task.step.job)?.spec;
            let step = &spec.steps[usize::from(attempt.task.step.step)];
            (spec.team == stored.spec.team).then_some(step.need)
        });
        let used = of_team.fold(Resources::ZERO, |sum, need| sum.plus(&need)).cores.0;
        limit == 0 || used * 2 < limit
    }
}
