//! A job as known to the leader.

use std::sync::Arc;

use derive_more::Display;
use vg_base::prelude::*;

use crate::jobs::attempt::Usage;
use crate::jobs::job_pools::JobPools;
use crate::jobs::occurrence::{Occurrence, ReadyStep, Step, Task};
use crate::jobs::remaining::Corrected;
use crate::shares::teams::TeamIndex;
use crate::workers::worker::WorkerKey;
use crate::{JobOutcome, JobSpec, Progress, StepId, TaskId};

/// Maximum number of tasks in the open occurrences of a job, unless one alone has more.
const MAX_OPEN_TASKS: u32 = 1_000;
/// The same when workers report an occurrence: an earlier leader had opened it, as it knew
/// that others are done. Twice the tasks of the largest job.
const MAX_REPORTED_TASKS: u32 = 20_000;

slotmap::new_key_type! {
    /// Key of a job in its table.
    pub struct JobKey;
}

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// Some task has started.
    #[display("running")]
    Running,
    /// It has ended, and its outcome is durable.
    #[display("{_0}")]
    Ended(JobOutcome),
}

/// A job that has not ended, or has attempts left.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) pools: JobPools,
    pub(crate) team_index: TeamIndex,
    /// Whether an earlier leader may have started it.
    pub(crate) is_earlier: bool,
    /// Estimated time from each step's start to the job's end.
    pub(crate) critical_paths: Vec<Duration>,
    pub(crate) work: f64,
    pub(crate) kinds: TaskKinds,
    /// Shortest time that a completed task of each step took.
    pub(crate) shortest_runs: Vec<Option<Duration>>,
    /// The estimates, corrected by what was learned; `None` if nothing was.
    pub(crate) corrected: Option<Corrected>,
    /// Open occurrences in the order of their numbers.
    pub(crate) occurrences: Vec<Occurrence>,
    /// Number of the next occurrence to open. Those below it that are not open are done.
    pub(crate) next_occurrence: u32,
    /// Whether a task has ever started.
    pub(crate) started: bool,
    pub(crate) cancelled: bool,
    pub(crate) ended: Option<JobOutcome>,
    pub(crate) ended_durably: bool,
    pub(crate) dirty: bool,
    /// Number of attempts of all its tasks.
    pub(crate) attempt_count: u32,
    /// Whether a worker has crashed under one of its tasks, so that passes over the marks need
    /// not look at the tasks of other jobs.
    pub(crate) has_crashes: bool,
}

/// Kinds of tasks among those of a job, so that passes over all attempts need not look
/// at the specifications of most of them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TaskKinds {
    pub(crate) gang: bool,
    pub(crate) best_effort: bool,
    pub(crate) latency_sensitive: bool,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        spec: Arc<JobSpec>,
        pool: PoolId,
        team_index: TeamIndex,
        is_earlier: bool,
    ) -> Job {
        Job {
            id,
            pools: JobPools::new(pool),
            team_index,
            is_earlier,
            critical_paths: spec.critical_paths(),
            work: spec.work(),
            kinds: TaskKinds::of(&spec),
            shortest_runs: vec![None; spec.steps.len()],
            corrected: None,
            spec,
            occurrences: Vec::new(),
            next_occurrence: 0,
            started: false,
            cancelled: false,
            ended: None,
            ended_durably: false,
            dirty: false,
            has_crashes: false,
            attempt_count: 0,
        }
    }

    /// Returns the pool in which its tasks start.
    pub(crate) fn pool(&self) -> &PoolId {
        self.pools.current()
    }

    /// Whether new tasks of it may start.
    pub(crate) fn is_open(&self) -> bool {
        !self.cancelled && self.ended.is_none()
    }

    /// Whether a task of it has started or may have started.
    pub(crate) fn is_begun(&self) -> bool {
        self.started || self.attempt_count > 0
    }

    pub(crate) fn state(&self) -> JobState {
        match self.ended {
            Some(outcome) if self.ended_durably => JobState::Ended(outcome),
            // The cancellation is durable before the leader receives it.
            _ if self.cancelled => JobState::Ended(JobOutcome::Cancelled),
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    fn open_next(&mut self) {
        self.occurrences.push(Occurrence::new(self.next_occurrence, &self.spec));
        self.next_occurrence += 1;
    }

    /// Opens the occurrences up to one that a worker reports, as far as there may be so
    /// many.
    pub(crate) fn open_reported(&mut self, occurrence: u32) {
        while self.next_occurrence <= occurrence && self.may_open(MAX_REPORTED_TASKS) {
            self.open_next();
        }
    }

    /// Whether there is another occurrence, and all open ones have at most `max_tasks`.
    fn may_open(&self, max_tasks: u32) -> bool {
        let tasks = (self.occurrences.len() as u32 + 1).saturating_mul(self.spec.task_count());
        let is_small = tasks <= max_tasks || self.occurrences.is_empty();
        self.next_occurrence < self.spec.occurrences() && is_small
    }

    /// Opens occurrences that are due at `wall` or within `early` after it. While too many
    /// tasks are open, further ones wait for earlier ones to be done.
    pub(crate) fn open_due(&mut self, wall: SystemTime, early: Duration) {
        while self.may_open(MAX_OPEN_TASKS) {
            let due = self.spec.schedule.map(|schedule| schedule.due(self.next_occurrence));
            if due.is_some_and(|due| due > wall + early) {
                break;
            }
            self.open_next();
        }
    }

    pub(crate) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|occurrence| occurrence.number == number)
    }

    pub(crate) fn step(&self, occurrence: u32, step: u16) -> Option<&Step> {
        self.occurrence(occurrence)?.steps.get(usize::from(step))
    }

    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        let occurrence =
            self.occurrences.iter_mut().find(|occurrence| occurrence.number == id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// Returns what an attempt of a step takes; `None` if there is no such step.
    pub(crate) fn usage(&self, step: u16) -> Option<Usage> {
        let step = self.spec.steps.get(usize::from(step))?;
        Some(Usage {
            reserved: step.reservation(),
            need: step.need,
            team: self.spec.team.clone(),
            team_index: self.team_index,
        })
    }

    /// Returns the steps that are not done and whose dependencies are done.
    pub(crate) fn ready_steps(&self) -> impl Iterator<Item = ReadyStep<'_>> {
        self.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().enumerate();
            let ready =
                steps.filter(|(at, step)| !step.is_done() && occurrence.is_ready(&self.spec, *at));
            ready.map(|(at, step)| ReadyStep {
                id: StepId { job: self.id, occurrence: occurrence.number, step: at as u16 },
                spec: &self.spec.steps[at],
                step,
            })
        })
    }

    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step.occurrence, id.step.step)?.tasks.get(id.index as usize)
    }

    /// Records the worker and the duration of a task that was completed.
    pub(crate) fn record_completion(&mut self, id: TaskId, worker: WorkerKey, took: Duration) {
        let Some(task) = self.task_mut(id) else { return };
        task.completion = Some((worker, took));
        let shortest = &mut self.shortest_runs[usize::from(id.step.step)];
        *shortest = Some(shortest.map_or(took, |shortest| shortest.min(took)));
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Closes occurrences that are done; returns whether all occurrences of the
    /// job are done.
    pub(crate) fn close_done(&mut self) -> bool {
        self.occurrences.retain(|occurrence| !occurrence.is_done());
        self.occurrences.is_empty() && self.next_occurrence >= self.spec.occurrences()
    }

    pub(crate) fn progress(&self) -> Progress {
        let open = self.occurrences.first().map(|occurrence| occurrence.number);
        Progress {
            closed: open.unwrap_or(self.next_occurrence),
            occurrences: self.occurrences.iter().map(Occurrence::progress).collect(),
            next: Some(self.next_occurrence),
            pools: self.recorded_pools(),
            queued: !self.started,
        }
    }

    /// Returns the pools that its progress names: none while its terms tell the only one.
    fn recorded_pools(&self) -> Vec<PoolId> {
        match self.pools.has_moved() || self.spec.terms.is_none() {
            true => self.pools.record(),
            false => Vec::new(),
        }
    }

    /// Restores durable progress that an earlier leader wrote. Occurrences may be done
    /// behind one that is open; they are not opened again.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        let count = self.spec.occurrences();
        self.next_occurrence = progress.next_occurrence().min(count);
        self.occurrences.clear();
        for each in progress.occurrences.iter().filter(|each| each.occurrence < count) {
            let mut occurrence = Occurrence::new(each.occurrence, &self.spec);
            occurrence.restore(each);
            self.occurrences.push(occurrence);
        }
        self.occurrences.sort_unstable_by_key(|occurrence| occurrence.number);
        self.occurrences.dedup_by_key(|occurrence| occurrence.number);
        self.pools.restore(&progress.pools);
        self.started = !progress.queued;
        self.has_crashes = progress.occurrences.iter().any(|each| !each.crashes.is_empty());
    }
}

impl TaskKinds {
    fn of(spec: &JobSpec) -> TaskKinds {
        TaskKinds {
            gang: spec.steps.iter().any(|step| step.gang),
            best_effort: spec.steps.iter().any(|step| step.best_effort),
            latency_sensitive: spec.steps.iter().any(|step| step.latency_target.is_some()),
        }
    }
}
