//! The occurrences of a job: steps, tasks, and what is durable of them.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use crate::jobs::attempt::AttemptKey;
use crate::jobs::checkpoint::Checkpoint;
use crate::placement::tickets::Tickets;
use crate::workers::proof::Proof;
use crate::workers::worker::WorkerKey;
use crate::{AttemptNumber, CrashMark, JobSpec, OccurrenceProgress, StepId, StepSpec};

/// One occurrence of a job's steps.
#[derive(Debug, Clone)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    pub(crate) steps: Vec<Step>,
}

/// One step of one occurrence.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    /// Indexes of tasks that are not done and have no attempt.
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) tickets: Tickets,
}

/// A step that is not done and whose dependencies are done.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadyStep<'a> {
    pub(crate) id: StepId,
    pub(crate) spec: &'a StepSpec,
    pub(crate) step: &'a Step,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    pub(crate) attempts: Vec<AttemptKey>,
    pub(crate) last_attempt: AttemptNumber,
    /// Why the attempt that was removed last can't run.
    pub(crate) last_proof: Option<Proof>,
    pub(crate) failed_attempts: Vec<AttemptNumber>,
    pub(crate) checkpoint: Checkpoint,
    /// Worker on which it was completed, and the time from the start command to
    /// the report of the end.
    pub(crate) completion: Option<(WorkerKey, Duration)>,
    /// Workers on which it failed, stalled or was slow.
    pub(crate) avoided: Vec<WorkerKey>,
    /// Workers that crashed under it.
    pub(crate) crashes: Vec<CrashMark>,
    /// Since when it could start on trial.
    pub(crate) trial_wanted: Option<Instant>,
    /// It does not start before this time.
    pub(crate) not_before: Option<Instant>,
}

impl Occurrence {
    pub(crate) fn new(number: u32, spec: &JobSpec) -> Occurrence {
        let step = |each: &crate::StepSpec| Step {
            tasks: vec![Task::default(); each.count as usize],
            done: 0,
            waiting: (0..each.count).collect(),
            tickets: Tickets::default(),
        };
        Occurrence { number, steps: spec.steps.iter().map(step).collect() }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether all dependencies of a step are done.
    pub(crate) fn is_ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].after.iter().all(|&each| self.steps[usize::from(each)].is_done())
    }

    pub(crate) fn progress(&self) -> OccurrenceProgress {
        let mut progress =
            OccurrenceProgress { occurrence: self.number, ..OccurrenceProgress::default() };
        for (at, step) in self.steps.iter().enumerate() {
            let at = at as u16;
            for (index, task) in step.tasks.iter().enumerate() {
                let index = index as u32;
                if task.done {
                    progress.done.push((at, index));
                    continue;
                }
                progress
                    .failed
                    .extend(task.failed_attempts.iter().map(|attempt| (at, index, attempt.0)));
                let crashes = task.crashes.iter();
                progress.crashes.extend(crashes.map(|mark| (at, index, mark.clone())));
                if !task.checkpoint.is_empty() {
                    progress.checkpoints.push((at, index, task.checkpoint.value.clone()));
                }
            }
        }
        progress
    }

    pub(crate) fn restore(&mut self, progress: &OccurrenceProgress) {
        for &(step, index) in &progress.done {
            if let Some(step) = self.steps.get_mut(usize::from(step)) {
                step.set_done(index);
            }
        }
        for &(step, index, attempt) in &progress.failed {
            if let Some(task) = self.task_mut(step, index) {
                task.record_failure(AttemptNumber(attempt));
            }
        }
        for (step, index, mark) in &progress.crashes {
            if let Some(task) = self.task_mut(*step, *index) {
                task.crashes.push(mark.clone());
                task.last_attempt = task.last_attempt.max(mark.attempt);
            }
        }
        for (step, index, checkpoint) in &progress.checkpoints {
            if let Some(task) = self.task_mut(*step, *index) {
                task.checkpoint = Checkpoint::restored(checkpoint.clone());
            }
        }
    }

    pub(crate) fn task_mut(&mut self, step: u16, index: u32) -> Option<&mut Task> {
        self.steps.get_mut(usize::from(step))?.tasks.get_mut(index as usize)
    }
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Marks a task as done; returns whether it was not done before.
    pub(crate) fn set_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else { return false };
        if task.done {
            return false;
        }
        task.done = true;
        self.done += 1;
        self.waiting.remove(&index);
        true
    }
}

impl Task {
    /// Records a failed attempt; returns whether it is a new one.
    pub(crate) fn record_failure(&mut self, attempt: AttemptNumber) -> bool {
        if self.failed_attempts.contains(&attempt) {
            return false;
        }
        self.failed_attempts.push(attempt);
        self.last_attempt = self.last_attempt.max(attempt);
        true
    }
}
