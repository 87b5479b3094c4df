//! Second runs of tasks whose worker has fallen silent.
//!
//! Load it answers: a rack goes dark in the middle of a turn. What ran there
//! counts as running until its lease has ended, which is later than most
//! objectives. Where a step allows copies, another worker begins at once, and
//! the first run to end counts.

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::{Flow, TaskId};

impl Flow {
    /// Starts copies of tasks that run on silent workers only.
    pub(crate) fn start_copies(&mut self, now: Instant) {
        for (key, task) in self.cut_off_tasks() {
            let need = match self.spec_of(task) {
                Some(spec) => spec.need,
                None => continue,
            };
            if !self.team_allows(key, &need) {
                continue;
            }
            let pool = self.jobs[key].pool.clone();
            let workers = self.usable_workers(&pool, now);
            if let Some(worker) = self.find_for(key, task, &workers, now) {
                let run = self.next_run(key, task);
                self.start(key, task, run, worker, now);
            }
        }
    }

    /// Returns tasks that may have copies and are on silent workers only.
    fn cut_off_tasks(&self) -> Vec<(JobKey, TaskId)> {
        let silent = self.workers.values().filter(|worker| worker.silent.is_some());
        let runs = silent.flat_map(|worker| &worker.runs).map(|&run| self.runs[run].task);
        let mut tasks: Vec<_> = runs.filter_map(|task| self.cut_off(task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    fn cut_off(&self, id: TaskId) -> Option<(JobKey, TaskId)> {
        let key = *self.job_ids.get(&id.step.job)?;
        let job = &self.jobs[key];
        let task = job.task(id)?;
        let spec = self.spec_of(id)?;
        let silent =
            |&run: &crate::run::RunKey| self.workers[self.runs[run].worker].silent.is_some();
        let wanted = job.is_open() && !task.done && spec.copies && !spec.gang;
        (wanted && task.runs.iter().all(silent)).then_some((key, id))
    }
}
