//! What the workers see: tasks that run twice, or again after a noted end.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;
use vg_flow::{AttemptOutcome, EndedAttempt, TaskId};
use vg_standin::SimulatedWorker;

/// An end: the worker, and its number there.
type End = (SmolStr, u64);

/// The ends that workers have had, and the starts that contradict what ran before.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// The ends `done` of each task.
    done: HashMap<TaskId, Vec<End>>,
    /// Those that were acknowledged before the lease of their worker lapsed.
    noted: HashSet<End>,
    /// Those after which their task was started again.
    repeated: HashMap<End, TaskId>,
    violations: Vec<String>,
}

impl Oracle {
    /// Notes the ends of attempts on a worker.
    pub(super) fn note_ends(&mut self, worker: &SmolStr, ends: &[EndedAttempt]) {
        for end in ends.iter().filter(|end| end.outcome == AttemptOutcome::Done) {
            self.done.entry(end.task).or_default().push((worker.clone(), end.number));
        }
    }

    /// Notes that a poll acknowledges the ends up to a number.
    pub(super) fn note_acknowledged(&mut self, worker: &SimulatedWorker, acknowledged: u64) {
        let lapsed = worker.expiry_number;
        let noted =
            worker.ended.iter().filter(|end| end.number <= acknowledged && end.number > lapsed);
        let done = noted.filter(|end| end.outcome == AttemptOutcome::Done);
        self.noted.extend(done.map(|end| (worker.id.clone(), end.number)));
    }

    /// Checks a start that a worker has carried out. `elsewhere` are the other workers that
    /// run the task.
    pub(super) fn note_start(&mut self, task: TaskId, worker: &str, elsewhere: &[String]) {
        if !elsewhere.is_empty() {
            self.violations.push(format!("{task} runs on {worker} and on {elsewhere:?}"));
        }
        let ends = self.done.get(&task).into_iter().flatten();
        self.repeated.extend(ends.map(|end| (end.clone(), task)));
    }

    /// Returns what was broken. An end counts whenever it is noted.
    pub(crate) fn violations(&self) -> Vec<String> {
        let repeated = self.repeated.iter().filter(|(end, _)| self.noted.contains(*end));
        let repeated = repeated.map(|(_, task)| format!("{task} was started after its noted end"));
        self.violations.iter().cloned().chain(repeated).collect()
    }
}
