//! How much the attempts may take whose job this leader does not know.
//!
//! Load that this module handles: jobs end just before a leader does, or while it hands
//! over. Their attempts are stopped by the new leader, which knows neither what they take
//! nor whose they are. Until they have ended, each counts against the limit of every team
//! as if it took a whole worker: teams without a limit, and teams with a large one, go on.

use vg_jobs::Resources;

use crate::Scheduler;
use crate::shares::contention::times;
use crate::workers::unresolved::UnresolvedIncarnation;
use crate::workers::worker::Worker;

impl Scheduler {
    /// Returns the most that attempts of unknown jobs may be using, of whichever team.
    pub(crate) fn measure_unknown(&self) -> Resources {
        let running = self.workers.values().filter(|worker| worker.used.unknown() > 0);
        let running = running.map(|worker| times(&largest_task(worker), worker.used.unknown()));
        let unresolved = self.unresolved.entries().map(|entry| self.unknown_usage_on(entry));
        running.chain(unresolved).fold(Resources::ZERO, |sum, each| sum.plus(&each))
    }

    /// Returns the most that the recorded tasks of unknown jobs may be using on an
    /// incarnation that has not answered.
    fn unknown_usage_on(&self, entry: &UnresolvedIncarnation) -> Resources {
        let unknown = entry.recorded_tasks().filter(|&task| self.spec_of(task).is_none()).count();
        if unknown == 0 {
            return Resources::ZERO;
        }
        let worker = self.worker_ids.get(entry.id()).map(|&key| &self.workers[key]);
        // It is not registered any more: it may have been as large as any other one.
        let largest = || {
            let all = self.workers.values().map(largest_task);
            all.fold(Resources::ZERO, |largest, each| largest.max(&each))
        };
        times(&worker.map_or_else(largest, largest_task), unknown)
    }
}

/// Returns the most that a task may take on a worker.
fn largest_task(worker: &Worker) -> Resources {
    worker.full_capacity.max(&worker.capacity)
}
