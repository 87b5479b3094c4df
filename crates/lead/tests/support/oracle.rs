//! What the workers see: tasks that run twice, or again after a noted end.

use std::collections::HashSet;

use vg_flow::{AttemptOutcome, EndedAttempt, TaskId};
use vg_standin::SimulatedWorker;

/// The ends that workers have had, and the starts that contradict what ran before.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Tasks that have ended `done`.
    done: HashSet<TaskId>,
    /// Those of which the end was acknowledged.
    noted: HashSet<TaskId>,
    /// Tasks that were started after they had ended `done`.
    repeated: HashSet<TaskId>,
    violations: Vec<String>,
}

impl Oracle {
    /// Notes the ends of attempts on a worker.
    pub(super) fn note_ends(&mut self, ends: &[EndedAttempt]) {
        let done = ends.iter().filter(|end| end.outcome == AttemptOutcome::Done);
        self.done.extend(done.map(|end| end.task));
    }

    /// Notes that a poll acknowledges the ends up to a number.
    pub(super) fn note_acknowledged(&mut self, worker: &SimulatedWorker, acknowledged: u64) {
        let lapsed = worker.expiry_number;
        let noted =
            worker.ended.iter().filter(|end| end.number <= acknowledged && end.number > lapsed);
        self.noted
            .extend(noted.filter(|end| end.outcome == AttemptOutcome::Done).map(|end| end.task));
    }

    /// Checks a start that a worker has carried out. `elsewhere` are the other workers that
    /// run the task.
    pub(super) fn note_start(&mut self, task: TaskId, worker: &str, elsewhere: &[String]) {
        if !elsewhere.is_empty() {
            self.violations.push(format!("{task} runs on {worker} and on {elsewhere:?}"));
        }
        if self.done.contains(&task) {
            self.repeated.insert(task);
        }
    }

    /// Returns what was broken. An end counts whenever it is noted.
    pub(crate) fn violations(&self) -> Vec<String> {
        let repeated = self.repeated.intersection(&self.noted);
        let repeated = repeated.map(|task| format!("{task} was started after its noted end"));
        self.violations.iter().cloned().chain(repeated).collect()
    }
}
