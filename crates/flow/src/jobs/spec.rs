//! The specification of a job, as submitted by a caller.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::JobTerms;

/// Maximum number of steps of a job.
const MAX_STEPS: usize = 1000;
/// Maximum number of tasks of a step.
const MAX_TASKS: u32 = 10_000;
/// Maximum number of tasks of all steps of a job: each host that leads keeps them in
/// memory.
const MAX_JOB_TASKS: u32 = 10_000;
/// Longest estimate of a task.
const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3600);
/// Latest time at which an occurrence can be due, since 1970: about 10,000 years.
const LATEST_DUE: Duration = Duration::from_secs(316_000_000_000);

/// A job: a graph of steps, each of which has identical tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue that it was submitted to.
    pub queue: QueueId,
    /// The team whose key was sent with it; `None` on a queue that needs no
    /// key.
    pub team: Option<TeamId>,
    /// Opaque text for the tasks.
    pub payload: Arc<str>,
    /// The steps; a step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// When it repeats; `None`: it runs once, immediately.
    pub schedule: Option<Schedule>,
    /// Wall time at which an entry host received it.
    pub accepted: SystemTime,
    /// What the configuration said of it then. Earlier versions did not record it.
    #[serde(default)]
    pub terms: Option<JobTerms>,
}

/// Occurrences of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Wall time at which the first one is due.
    pub first: SystemTime,
    /// Time between two occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Returns when an occurrence is due.
    pub fn due(&self, occurrence: u32) -> SystemTime {
        let due = self.first.checked_add(self.interval.saturating_mul(occurrence));
        due.unwrap_or(SystemTime::UNIX_EPOCH + LATEST_DUE)
    }

    /// Whether all occurrences are due at times that can be represented.
    fn is_representable(&self) -> bool {
        let latest = SystemTime::UNIX_EPOCH + LATEST_DUE;
        let offset = self.interval.checked_mul(self.times);
        let last = offset.and_then(|offset| self.first.checked_add(offset));
        self.first <= latest && last.is_some_and(|last| last <= latest)
    }
}

/// A step: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The caller's estimate of a task's duration.
    pub estimate: Duration,
    /// Steps that must be done first, by position.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub checkpoint: bool,
    /// Whether the tasks work only while all of them run.
    pub gang: bool,
    /// Whether the tasks are much slower when spread over racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<SmolStr>,
    /// Rack on which the task's data is.
    #[serde(rename = "rack")]
    pub data_rack: Option<SmolStr>,
    /// Maximum number of tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether two attempts of a task may run at the same time.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub continuous: bool,
    /// Name of the program that the tasks run; tasks of one image behave alike.
    pub image: SmolStr,
    /// Upper bound of the tail of response times; set for a latency-sensitive
    /// task.
    #[serde(rename = "target")]
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave
    /// (best-effort tasks).
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks of a continuous step that the scheduler may make
    /// unavailable at once.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Why a job cannot be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SpecError {
    /// It has no step, or too many.
    #[display("a job has 1 to {MAX_STEPS} steps")]
    StepCount,
    /// A step has no task, or too many.
    #[display("a step has 1 to {MAX_TASKS} tasks")]
    TaskCount,
    /// All steps together have too many tasks.
    #[display("a job has at most {MAX_JOB_TASKS} tasks in all its steps")]
    JobTasks,
    /// A step's estimate is too long.
    #[display("a task's estimate is at most 366 days")]
    Estimate,
    /// An occurrence is due too late.
    #[display("the last run is due within 10,000 years")]
    Schedule,
    /// A step depends on itself or a later one.
    #[display("a step can depend on earlier steps only")]
    DependencyOrder,
}

impl JobSpec {
    /// Checks the shape of the graph, and that the leader can hold the job: a job that it
    /// can't hold would end one leader after the other.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(SpecError::TaskCount);
            }
            if step.estimate > MAX_ESTIMATE {
                return Err(SpecError::Estimate);
            }
            if step.after.iter().any(|&each| usize::from(each) >= at) {
                return Err(SpecError::DependencyOrder);
            }
        }
        if self.task_count() > MAX_JOB_TASKS {
            return Err(SpecError::JobTasks);
        }
        if self.schedule.is_some_and(|schedule| !schedule.is_representable()) {
            return Err(SpecError::Schedule);
        }
        Ok(())
    }

    /// Returns the number of tasks of one occurrence.
    pub(crate) fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).fold(0, u32::saturating_add)
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Whether some of its tasks run until it is cancelled.
    pub fn is_continuous(&self) -> bool {
        self.steps.iter().any(|step| step.continuous)
    }

    /// Returns for each step the estimated time from its start to the job's end
    /// along the longest chain.
    pub fn critical_paths(&self) -> Vec<Duration> {
        self.critical_paths_by(|_| 1.0)
    }

    /// Returns the same as [`critical_paths`](JobSpec::critical_paths), with the
    /// estimate of each step multiplied by a factor.
    pub(crate) fn critical_paths_by(&self, factor: impl Fn(usize) -> f64) -> Vec<Duration> {
        let own: Vec<_> = (self.steps.iter().enumerate())
            .map(|(at, step)| step.estimate.mul_f64(factor(at)))
            .collect();
        let mut critical_paths = own.clone();
        for at in (0..self.steps.len()).rev() {
            for &before in &self.steps[at].after {
                let before = usize::from(before);
                let through = own[before] + critical_paths[at];
                critical_paths[before] = critical_paths[before].max(through);
            }
        }
        critical_paths
    }

    /// Returns the estimated work in millicores (thousandths of a core) times
    /// seconds.
    pub fn work(&self) -> f64 {
        let step_work = |step: &StepSpec| f64::from(step.count) * step.task_work();
        self.steps.iter().map(step_work).sum()
    }
}

impl StepSpec {
    /// Returns the estimated work of a task in millicores (thousandths of a
    /// core) times seconds.
    pub fn task_work(&self) -> f64 {
        f64::from(self.need.cores.0) * self.estimate.as_secs_f64()
    }

    /// Returns the capacity that a task reserves on a worker: a best-effort
    /// task reserves no cores.
    pub fn reservation(&self) -> Resources {
        let cores = if self.best_effort { 0 } else { self.need.cores.0 };
        Resources::new(cores, self.need.memory.0, self.need.accelerators.0)
    }
}
