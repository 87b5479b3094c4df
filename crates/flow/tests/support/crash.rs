//! Tasks that crash each worker that starts them, and crashes for other causes.

use std::collections::HashMap;

use vg_base::prelude::*;
use vg_flow::{AttemptOutcome, TaskId};
use vg_standin::SimulatedWorker;

use super::world::World;

/// Deadly tasks, and the workers that have crashed.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// Tasks that crash their worker, and how long after their start.
    pub(crate) deadly: HashMap<TaskId, u64>,
    /// Whether a crashed worker comes back under its id.
    pub(crate) keep_id: bool,
    /// Whether a crashed worker is back before it is polled again.
    pub(crate) back_at_once: bool,
    /// Whether a crashed worker never comes back.
    pub(crate) gone: bool,
    /// Whether links to a crashed worker fall silent instead of breaking.
    pub(crate) silent: bool,
    /// Whether links that are cut break instead of falling silent.
    pub(crate) cuts_break: bool,
    /// The crashes under each deadly task: when, and of which worker.
    pub(crate) under: HashMap<TaskId, Vec<(u64, usize)>>,
    /// Attempts of other tasks that were lost with their worker.
    pub(crate) bystanders: usize,
    /// Crashes that are to come: when, which worker, and its start.
    due: Vec<(u64, usize, u64, TaskId)>,
    /// Workers that are down, and when they are back.
    down: Vec<(u64, usize)>,
}

/// How long a crashed worker is down.
pub(crate) const DOWN_MS: u64 = 3100;

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Makes a task crash each worker that starts it, `after_ms` after the start.
    pub(crate) fn make_deadly(&mut self, task: TaskId, after_ms: u64) {
        self.crashes.deadly.insert(task, after_ms);
    }

    /// Notes the start of a task, which may be a deadly one.
    pub(crate) fn note_deadly_start(&mut self, at: usize, task: TaskId) {
        if let Some(after_ms) = self.crashes.deadly.get(&task) {
            let start_ms = self.workers[at].start_ms;
            self.crashes.due.push((self.ms + after_ms, at, start_ms, task));
        }
    }

    /// Crashes a worker: what it ran and knew is lost. It is back after [`DOWN_MS`].
    pub(crate) fn crash(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.up = false;
        worker.running.clear();
        worker.ended.clear();
        let down_ms = if self.crashes.back_at_once { 0 } else { DOWN_MS };
        if !self.crashes.gone {
            self.crashes.down.push((self.ms + down_ms, at));
        }
    }

    /// Ends the other members of a gang of which one was lost.
    fn break_gang(&mut self, lost: TaskId) {
        let spec = &self.store[&lost.step.job].spec.steps[usize::from(lost.step.step)];
        if !spec.gang {
            return;
        }
        for worker in &mut self.workers {
            let members = worker.running.iter_mut().filter(|each| each.task.step == lost.step);
            for member in members {
                member.outcome = AttemptOutcome::GangBroken;
                member.finish_ms = 0;
            }
        }
    }

    /// Carries out the crashes and returns that are due.
    pub(crate) fn advance_crashes(&mut self) {
        let ms = self.ms;
        for (_, at, start_ms, task) in
            self.crashes.due.extract_if(.., |due| due.0 <= ms).collect::<Vec<_>>()
        {
            if self.workers[at].up && self.workers[at].start_ms == start_ms {
                self.crashes.bystanders += self.workers[at].running.len() - 1;
                self.crashes.under.entry(task).or_default().push((ms, at));
                self.crash(at);
                self.break_gang(task);
            }
        }
        let back: Vec<_> = self.crashes.down.extract_if(.., |down| down.0 <= ms).collect();
        for &(_, at) in &back {
            if self.crashes.keep_id {
                self.workers[at].restart(ms);
                continue;
            }
            let earlier = self.workers[at].clone();
            let id = format!("w{}", self.workers.len());
            let worker =
                SimulatedWorker::new(&id, &earlier.pool, &earlier.machine, ms, earlier.capacity);
            self.workers.push(worker);
            self.scheduler.deregister(&earlier.id.parse::<HostId>().unwrap());
        }
        if !back.is_empty() {
            self.register();
        }
    }

    /// Returns how many workers have crashed under a task.
    pub(crate) fn crashes_under(&self, task: TaskId) -> usize {
        self.crashes.under.get(&task).map_or(0, Vec::len)
    }
}
