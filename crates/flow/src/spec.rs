//! What a caller asks for.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

/// Most steps of a job.
const STEPS_MAX: usize = 1000;
/// Most tasks of a step.
const TASKS_MAX: u32 = 10_000;

/// A job: a graph of steps, each of tasks that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue that it was handed to.
    pub queue: QueueId,
    /// The team whose key came with it; none on a queue that is open to all.
    pub team: Option<TeamId>,
    /// Opaque text for the tasks.
    pub payload: Arc<str>,
    /// The steps; a step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// When it repeats; none: once, at once.
    pub schedule: Option<Schedule>,
    /// Wall time at which an entry host received it.
    pub accepted: SystemTime,
}

/// Occurrences of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Wall time at which the first one is due.
    pub first: SystemTime,
    /// Time between two.
    pub interval: Duration,
    /// How many.
    pub times: u32,
}

impl Schedule {
    /// Returns when an occurrence is due.
    pub fn due(&self, occurrence: u32) -> SystemTime {
        self.first + self.interval.saturating_mul(occurrence)
    }
}

/// Tasks that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each needs.
    pub need: Resources,
    /// The caller's guess of a task's duration.
    pub estimate: Duration,
    /// Steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks write checkpoints.
    pub checkpoint: bool,
    /// Whether the tasks work only while all are present.
    pub gang: bool,
    /// Whether the tasks are much slower when spread over racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<SmolStr>,
    /// Rack where the data is.
    #[serde(rename = "rack")]
    pub data_rack: Option<SmolStr>,
    /// Most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether a task may run twice at the same time.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub continuous: bool,
    /// Name of what the tasks run; tasks of one image behave alike.
    pub image: SmolStr,
    /// Bound of the tail of response times of a serving task.
    #[serde(rename = "target")]
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks of a lasting step that may be away at once by our doing.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Why a job can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SpecError {
    /// It has no step, or too many.
    #[display("a job has 1 to {STEPS_MAX} steps")]
    StepCount,
    /// A step has no task, or too many.
    #[display("a step has 1 to {TASKS_MAX} tasks")]
    TaskCount,
    /// A step depends on itself or a later one.
    #[display("a step can depend on earlier steps only")]
    DependencyOrder,
}

impl JobSpec {
    /// Checks the shape of the graph.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(SpecError::StepCount);
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > TASKS_MAX {
                return Err(SpecError::TaskCount);
            }
            if step.after.iter().any(|&each| usize::from(each) >= at) {
                return Err(SpecError::DependencyOrder);
            }
        }
        Ok(())
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Whether some of its tasks run until it is cancelled.
    pub fn is_continuous(&self) -> bool {
        self.steps.iter().any(|step| step.continuous)
    }

    /// Returns for each step the estimated time from its start to the job's
    /// end along the longest chain.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut critical_paths: Vec<_> = self.steps.iter().map(|step| step.estimate).collect();
        for at in (0..self.steps.len()).rev() {
            for &before in &self.steps[at].after {
                let before = usize::from(before);
                let through = self.steps[before].estimate + critical_paths[at];
                critical_paths[before] = critical_paths[before].max(through);
            }
        }
        critical_paths
    }

    /// Returns the estimated work in thousandths of a core times seconds.
    pub fn work(&self) -> f64 {
        let of = |step: &StepSpec| f64::from(step.count) * step.task_work();
        self.steps.iter().map(of).sum()
    }
}

impl StepSpec {
    /// Returns the estimated work of a task in thousandths of a core times
    /// seconds.
    pub fn task_work(&self) -> f64 {
        f64::from(self.need.cores.0) * self.estimate.as_secs_f64()
    }

    /// Returns the room that a task takes on a worker: a filling task takes no
    /// cores from others.
    pub fn reservation(&self) -> Resources {
        let cores = if self.best_effort { 0 } else { self.need.cores.0 };
        Resources::new(cores, self.need.memory.0, self.need.accelerators.0)
    }
}
