//! Second runs of tasks whose worker has fallen silent or is much slower than
//! others.
//!
//! Load it answers: a rack goes dark in the middle of a turn. What ran there
//! counts as running until its lease has ended, which is later than most
//! objectives. Where a step allows copies, another worker begins at once, and
//! the first run to end counts.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::run::{RunKey, RunState};
use crate::worker::WorkerKey;
use crate::{Flow, TaskId};

impl Flow {
    /// Starts copies of tasks that run on silent or slow workers only.
    pub(crate) fn start_copies(&mut self, now: Instant) {
        let mut usable: HashMap<PoolId, Vec<WorkerKey>> = HashMap::new();
        for (key, task) in self.cut_off_tasks() {
            let Some(need) = self.spec_of(task).map(|spec| spec.need) else { continue };
            if !self.team_allows(key, &need) {
                continue;
            }
            let pool = &self.jobs[key].pool;
            let workers =
                usable.entry(pool.clone()).or_insert_with(|| self.usable_workers(pool, now));
            if let Some(worker) = self.find_for(key, task, workers, now) {
                let run = self.next_run(key, task);
                self.start(key, task, run, worker, now);
            }
        }
    }

    /// Returns tasks that may have copies and are on silent or slow workers only.
    fn cut_off_tasks(&self) -> Vec<(JobKey, TaskId)> {
        let runs = self.runs.values().filter(|run| self.is_held_up(run));
        let mut tasks: Vec<_> = runs.filter_map(|run| self.cut_off(run.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    fn is_held_up(&self, run: &RunState) -> bool {
        run.slow || self.workers[run.worker].silent.is_some()
    }

    fn cut_off(&self, id: TaskId) -> Option<(JobKey, TaskId)> {
        let key = *self.job_ids.get(&id.step.job)?;
        let job = &self.jobs[key];
        let task = job.task(id)?;
        let spec = self.spec_of(id)?;
        let held_up = |&run: &RunKey| self.is_held_up(&self.runs[run]);
        let wanted = job.is_open() && !task.done && spec.copies && !spec.gang;
        (wanted && task.runs.iter().all(held_up)).then_some((key, id))
    }
}
