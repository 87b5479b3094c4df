//! What a crash says about a task that was on the worker, and how many prove that the task
//! causes them.
//!
//! Load that this module handles: a deadly task crashes each worker that starts it, at the
//! same point each time, and workers also crash for other causes, at any age of what they
//! run. Two crashes on two machines at the same age are few enough that a deadly task takes
//! two workers, and rare enough by chance.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::{AttemptNumber, StepSpec};

/// Crashes from which a task of a gang is given up: its members start together, so that
/// none can be tried alone.
const MAX_GANG_CRASHES: usize = 3;
/// Crashes from which a task is given up although no trial has proved anything.
const MAX_CRASHES: usize = 5;
/// A task is not given up for so many crashes if its pool had a large part of that number for
/// other causes: this is the inverse of the part.
const CHANCE_FACTOR: usize = 2;
/// Crashes at the same age from which a continuous task is given up.
const MIN_REPEATED: usize = 3;
/// Ages at two crashes are the same if they differ by no more than this, or by
/// [`AGE_PART`] of the larger one: crashes are seen with different delays.
const AGE_MARGIN: Duration = Duration::from_millis(150);
/// Part of an age by which the age at the next crash may differ.
const AGE_PART: u64 = 4;
/// Age of an attempt of a continuous task up to which a crash is proof.
const IMMEDIATE_AGE: Duration = Duration::from_millis(100);

/// How much a crash says about a task that was on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suspicion {
    /// Others had started later.
    Bystander,
    /// It was among those that had started last.
    Recent,
    /// It was on trial: nothing else had started there for a while.
    Trial,
}

/// A worker that seems to have crashed under an attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker's machine, or the worker if that is not known.
    pub home: SmolStr,
    /// Wall time of the start of the worker's incarnation, in milliseconds since 1970.
    pub start_ms: u64,
    /// Whether the worker had confirmed the attempt, which may never have started otherwise.
    pub confirmed: bool,
    /// Time from the start command until the crash was seen, in milliseconds. An attempt
    /// that an earlier leader started is older than that.
    pub age_ms: u64,
    /// What the crash says about the task.
    pub suspicion: Suspicion,
    /// Crashes for other causes that the pool had shortly before, one after the other.
    #[serde(default)]
    pub chances: u32,
}

impl CrashMark {
    /// Whether the attempt has run: nothing else had started there if it was a trial.
    pub(crate) fn has_run(&self) -> bool {
        self.confirmed || self.suspicion == Suspicion::Trial
    }

    /// Whether both crashes came as long after the start: a task that crashes its workers
    /// does it at the same point each time, and chance does not.
    fn is_as_old_as(&self, other: &CrashMark) -> bool {
        is_same_age(self.age_ms, other.age_ms)
    }

    fn is_immediate(&self) -> bool {
        Duration::from_millis(self.age_ms) <= IMMEDIATE_AGE
    }
}

/// Whether ages at two crashes, in milliseconds, are the same.
pub(crate) fn is_same_age(a_ms: u64, b_ms: u64) -> bool {
    let margin = (AGE_MARGIN.as_millis() as u64).max(a_ms.max(b_ms) / AGE_PART);
    a_ms.abs_diff(b_ms) <= margin
}

/// Whether these crashes prove that a task of a step causes them: one on trial, and another
/// on a second machine that came as long after the start. Where workers crash for other
/// causes too, one more.
pub(crate) fn is_proof<'a>(
    marks: impl Iterator<Item = &'a CrashMark> + Clone,
    spec: &StepSpec,
) -> bool {
    let blamed = marks.filter(|mark| mark.suspicion != Suspicion::Bystander);
    if spec.gang {
        let recent = blamed.filter(|mark| mark.suspicion == Suspicion::Recent);
        return recent.count() >= MAX_GANG_CRASHES;
    }
    let counted = blamed.filter(|mark| !spec.continuous || mark.is_immediate());
    let mut trials = counted.clone().filter(|mark| mark.suspicion == Suspicion::Trial);
    trials.any(|trial| {
        // A trial that was not confirmed may never have begun: the worker had crashed before.
        let is_known = |other: &&CrashMark| trial.confirmed || other.suspicion == Suspicion::Trial;
        let others = counted.clone().filter(is_known);
        let same = others.filter(|other| other.home != trial.home && other.is_as_old_as(trial));
        same.count() >= if trial.chances > 1 { 2 } else { 1 }
    })
}

/// Whether a task has so many crashes that it is given up although no trial has proved
/// anything: more than chance explains, and under a continuous task several at one age.
pub(crate) fn is_excess(crashes: &[CrashMark], spec: &StepSpec) -> bool {
    let chances = crashes.last().map_or(0, |mark| mark.chances as usize);
    crashes.len() >= MAX_CRASHES
        && crashes.len() > chances * CHANCE_FACTOR
        && (!spec.continuous || is_repeated(crashes.iter()))
}

/// Whether several crashes came as long after the start.
fn is_repeated<'a>(marks: impl Iterator<Item = &'a CrashMark> + Clone) -> bool {
    let blamed = marks.filter(|mark| mark.suspicion != Suspicion::Bystander);
    blamed.clone().any(|mark| {
        let same = blamed.clone().filter(|other| other.is_as_old_as(mark));
        same.count() >= MIN_REPEATED
    })
}
