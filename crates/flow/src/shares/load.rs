//! What the leader tells other hosts of the load of contended pools.
//!
//! Load that this module handles: several times the capacity is requested, and hosts
//! have to decide at once which new jobs can still be done in time. The digest names
//! contended pools only, and of these only the teams that have a backlog, so that it
//! is empty in normal operation and has an upper bound at a peak.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::shares::advice_load::QueueAdvice;
use crate::{FencingToken, JobSpec, SizeClass};

/// Number of size classes.
const CLASSES: usize = SizeClass::ALL.len();

/// Work in hundredths of a machine-second: most backlogs of a team then take three
/// bytes in a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineTime(pub u32);

impl MachineTime {
    /// Converts from machine-seconds.
    pub fn from_secs(secs: f64) -> MachineTime {
        MachineTime((secs * 100.0) as u32)
    }

    /// Returns the work in machine-seconds.
    pub fn as_secs(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Capacity in thousandths of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MilliMachines(pub u32);

impl MilliMachines {
    /// Converts from machines.
    pub fn from_machines(machines: f64) -> MilliMachines {
        MilliMachines((machines * 1000.0).round() as u32)
    }

    /// Returns the capacity in machines.
    pub fn as_machines(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// Load of the contended pools, as the leader sees it. Field names in messages are
/// short, because a digest may name hundreds of teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Fencing token of the leader that computed it.
    #[serde(rename = "f")]
    pub token: FencingToken,
    /// The contended pools.
    #[serde(rename = "p")]
    pub pools: Vec<PoolLoad>,
    /// Queues whose jobs wait for the adviser.
    #[serde(rename = "a", default)]
    pub advice: Vec<QueueAdvice>,
}

/// Load of a contended pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Capacity of a typical machine, in which work is expressed.
    #[serde(rename = "m")]
    pub machine: Resources,
    /// Capacity of its workers and of the machines that arrive or could be moved there.
    #[serde(rename = "c")]
    pub capacity: MilliMachines,
    /// For how long the pool has had no such machine; `None` if it has one.
    #[serde(rename = "e", default)]
    pub empty_for: Option<Duration>,
    /// Limits of the size classes of its queues.
    #[serde(rename = "q", default)]
    pub queues: Vec<QueueSizes>,
    /// Teams that have a backlog.
    #[serde(rename = "t", default)]
    pub teams: Vec<TeamLoad>,
}

/// Limits of the size classes of a queue, in millicores times seconds: a class begins
/// with the smallest waiting job of it. Where no job of a class waits, it does not matter
/// whether a new job belongs to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueSizes {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueId,
    /// Work of the smallest medium job.
    #[serde(rename = "m")]
    pub medium_from: f64,
    /// Work of the smallest large job.
    #[serde(rename = "l")]
    pub large_from: f64,
    /// Work of the largest waiting job of each class.
    #[serde(rename = "x", default)]
    pub largest: [f64; CLASSES],
}

impl QueueSizes {
    /// Returns limits by which all jobs are small.
    pub fn new(queue: QueueId) -> QueueSizes {
        let largest = [0.0; CLASSES];
        QueueSizes { queue, medium_from: f64::INFINITY, large_from: f64::INFINITY, largest }
    }

    /// Adds a waiting job of a class.
    pub(crate) fn add(&mut self, class: SizeClass, work: f64) {
        match class {
            SizeClass::Small => {}
            SizeClass::Medium => self.medium_from = self.medium_from.min(work),
            SizeClass::Large => self.large_from = self.large_from.min(work),
        }
        let largest = &mut self.largest[class as usize];
        *largest = largest.max(work);
    }

    /// Returns the class of a job.
    pub fn class(&self, work: f64) -> SizeClass {
        if work >= self.large_from {
            SizeClass::Large
        } else if work >= self.medium_from {
            SizeClass::Medium
        } else {
            SizeClass::Small
        }
    }
}

/// Load of one team in a contended pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamLoad {
    /// The team; `None` stands for all jobs without one.
    #[serde(rename = "t")]
    pub team: Option<TeamId>,
    /// What it is entitled to.
    #[serde(rename = "a")]
    pub allocation: MilliMachines,
    /// Its waiting work by priority of the queue.
    #[serde(rename = "b")]
    pub backlogs: Vec<Backlog>,
}

/// Tasks of a team that could start now if there were capacity, and whose jobs can
/// still be done while they have value. Arrays are by size class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// Priority of the queue; 0 comes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Work of jobs that can still meet their objective.
    #[serde(rename = "o")]
    pub on_time: [MachineTime; CLASSES],
    /// Work of jobs that are late but still have value.
    #[serde(rename = "l")]
    pub late: [MachineTime; CLASSES],
    /// Estimate of the longest task in milliseconds.
    #[serde(rename = "d")]
    pub longest_ms: [u32; CLASSES],
}

impl LoadDigest {
    /// Returns the load of a pool if it is contended.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolLoad> {
        self.pools.iter().find(|load| load.pool == *pool)
    }

    /// Returns the waits of a queue for the adviser if they are long.
    pub fn advice(&self, queue: &QueueId) -> Option<&QueueAdvice> {
        self.advice.iter().find(|load| load.queue == *queue)
    }

    /// Keeps the `count` teams of each pool that have the largest backlog. Jobs of
    /// the others are admitted.
    pub fn keep_largest(&mut self, count: usize) {
        for pool in &mut self.pools {
            pool.teams.sort_by(|a, b| b.waiting().total_cmp(&a.waiting()));
            pool.teams.truncate(count);
        }
    }
}

impl PoolLoad {
    /// Returns the load of a team if it has a backlog.
    pub fn team(&self, team: Option<&TeamId>) -> Option<&TeamLoad> {
        self.teams.iter().find(|load| load.team.as_ref() == team)
    }

    /// Returns the size class of a job, or the smallest if its queue has no classes: the
    /// least work then counts as waiting before it.
    pub fn class(&self, spec: &JobSpec) -> SizeClass {
        let sizes = self.queues.iter().find(|sizes| sizes.queue == spec.queue);
        sizes.map_or(SizeClass::Small, |sizes| sizes.class(spec.work()))
    }

    /// Whether no job of the same class and queue waits that is larger: jobs of a class
    /// are served by value for their work, so larger ones go after this job.
    pub fn is_largest(&self, spec: &JobSpec) -> bool {
        let Some(sizes) = self.queues.iter().find(|sizes| sizes.queue == spec.queue) else {
            return true;
        };
        let work = spec.work();
        work >= sizes.largest[sizes.class(work) as usize]
    }

    /// Returns the work of a job in machine-seconds.
    pub fn job_work(&self, spec: &JobSpec) -> f64 {
        let step_work = |step: &crate::StepSpec| {
            let machines = f64::from(step.count) * step.reservation().dominant_share(&self.machine);
            machines * step.estimate.as_secs_f64()
        };
        spec.steps.iter().map(step_work).sum()
    }
}

impl TeamLoad {
    /// Returns all its waiting work in machine-seconds.
    pub fn waiting(&self) -> f64 {
        self.backlogs.iter().map(|backlog| backlog.total(true)).sum()
    }
}

impl Backlog {
    /// Adds tasks that wait; `work` is in machine-seconds.
    pub(crate) fn add(&mut self, class: SizeClass, is_on_time: bool, work: f64, task: Duration) {
        let at = class as usize;
        let sum = if is_on_time { &mut self.on_time[at] } else { &mut self.late[at] };
        sum.0 = sum.0.saturating_add(MachineTime::from_secs(work).0);
        self.longest_ms[at] = self.longest_ms[at].max(task.as_millis() as u32);
    }

    /// Returns the work of a class in machine-seconds, with or without that of late jobs.
    pub fn work(&self, class: SizeClass, with_late: bool) -> f64 {
        let (on_time, late) = (self.on_time[class as usize], self.late[class as usize]);
        if with_late { on_time.as_secs() + late.as_secs() } else { on_time.as_secs() }
    }

    /// Returns the work of all classes in machine-seconds.
    pub fn total(&self, with_late: bool) -> f64 {
        SizeClass::ALL.into_iter().map(|class| self.work(class, with_late)).sum()
    }

    /// Returns the estimate of the longest task of a class.
    pub fn longest(&self, class: SizeClass) -> Duration {
        Duration::from_millis(self.longest_ms[class as usize].into())
    }
}
