//! The tasks of a worker and what may be done with them.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;

use crate::runs::{RunLabel, RunLog};
use crate::worker::task::Task;
use crate::worker::{Capacity, TaskError, TaskSpec, TaskState, TaskStatus, WorkerSettings};

/// Exit status of a task that was killed because memory ran out.
const EXIT_OUT_OF_MEMORY: i32 = 137;

/// Exit status of each task while the worker fails everything.
const EXIT_FAILED: i32 = 1;

/// Most changes of usage that are kept for lagging reports.
const USAGE_MAX_SAMPLES: usize = 1024;

/// Tasks by id, fences by job and past usage.
#[derive(Debug)]
pub(crate) struct TaskTable {
    settings: WorkerSettings,
    log: RunLog,
    tasks: BTreeMap<SmolStr, Task>,
    fences: BTreeMap<JobId, u64>,
    usage: VecDeque<(Instant, Capacity)>,
    /// Grows with each start of the worker and each lapse of its lease.
    incarnation: Incarnation,
    /// Highest epoch of an owner that renewed the lease.
    epoch: Epoch,
    /// End of the worker's lease; none before the first renewal.
    lease: Option<Instant>,
}

impl TaskTable {
    /// Makes the table of a worker without tasks.
    pub(crate) fn new(settings: WorkerSettings, log: RunLog, wall: SystemTime) -> TaskTable {
        let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        TaskTable {
            incarnation: Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX)),
            epoch: Epoch::ZERO,
            lease: None,
            settings,
            log,
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            usage: VecDeque::new(),
        }
    }

    /// Starts a task; `fails`: it fails at once.
    pub(crate) fn start(
        &mut self,
        spec: TaskSpec,
        fails: bool,
        now: Instant,
        wall: SystemTime,
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        if let Some(task) = self.tasks.get(&spec.task) {
            // A repeated message, perhaps because the first answer was lost.
            return if task.spec == spec { Ok(task.status()) } else { Err(TaskError::IdTaken) };
        }
        self.check(&spec, wall)?;
        self.fences.insert(spec.job, spec.attempt);
        let label = RunLabel {
            request: SmolStr::new(spec.job.to_string()),
            key: None,
            team: SmolStr::new(spec.team.as_str()),
        };
        let run = self.log.start(label, &self.settings.id);
        let mut task = Task::start(spec, run, now);
        if fails {
            task.end(TaskState::Finished { exit: EXIT_FAILED });
        } else if !(self.used() + task.spec.usage()).fits_memory(&self.settings.capacity) {
            task.end(TaskState::Finished { exit: EXIT_OUT_OF_MEMORY });
        }
        let status = task.status();
        self.tasks.insert(status.task.clone(), task);
        self.sample(now);
        Ok(status)
    }

    /// Renews the lease of the worker and of all that runs on it. After a
    /// lapse, in which all tasks were stopped, the worker is another one.
    pub(crate) fn lease(
        &mut self,
        epoch: Epoch,
        ttl: Duration,
        now: Instant,
    ) -> Result<Incarnation, TaskError> {
        self.advance(now);
        if epoch < self.epoch {
            return Err(TaskError::StaleOwner { seen: self.epoch });
        }
        self.epoch = epoch;
        self.lease = Some(now + ttl);
        self.tasks.values_mut().filter(|task| task.runs()).for_each(|task| task.renew(ttl, now));
        Ok(self.incarnation)
    }

    /// Returns the incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns an attempt of a job. One that is not known is never started
    /// from now on.
    pub(crate) fn query(
        &mut self,
        job: JobId,
        attempt: u64,
        now: Instant,
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        let same = |task: &&Task| task.spec.job == job && task.spec.attempt == attempt;
        if let Some(task) = self.tasks.values().find(same) {
            return Ok(task.status());
        }
        let seen = self.fences.entry(job).or_default();
        *seen = attempt.max(*seen);
        Err(TaskError::UnknownTask)
    }

    /// Renews the lease of a running task.
    pub(crate) fn renew(
        &mut self,
        id: &str,
        ttl: Duration,
        now: Instant,
    ) -> Result<TaskStatus, TaskError> {
        self.with_running(id, now, |task| task.renew(ttl, now))
    }

    /// Makes a checkpoint of a running task.
    pub(crate) fn save(&mut self, id: &str, now: Instant) -> Result<TaskStatus, TaskError> {
        self.with_running(id, now, Task::save)
    }

    /// Sets the speed of a running task.
    pub(crate) fn throttle(
        &mut self,
        id: &str,
        percent: u32,
        now: Instant,
    ) -> Result<TaskStatus, TaskError> {
        self.with_running(id, now, |task| task.throttle(percent))
    }

    /// Stops a task; one that has ended stays as it ended.
    pub(crate) fn stop(&mut self, id: &str, now: Instant) -> Result<TaskStatus, TaskError> {
        match self.with_running(id, now, |task| task.end(TaskState::Stopped)) {
            Err(TaskError::NotRunning) => {
                self.tasks.get(id).map(Task::status).ok_or(TaskError::UnknownTask)
            }
            other => other,
        }
    }

    /// Forgets a task that has ended. Its job's fence stays.
    pub(crate) fn forget(&mut self, id: &str, now: Instant) -> Result<(), TaskError> {
        self.advance(now);
        let task = self.tasks.get(id).ok_or(TaskError::UnknownTask)?;
        if task.runs() {
            return Err(TaskError::StillRunning);
        }
        self.tasks.remove(id);
        Ok(())
    }

    /// Moves all tasks on to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.lease.take_if(|until| *until <= now).is_some() {
            self.incarnation = self.incarnation.next();
            self.tasks.values_mut().filter(|task| task.runs()).for_each(|task| {
                task.end(TaskState::LeaseExpired);
            });
        }
        for task in self.tasks.values_mut() {
            task.advance(now);
        }
        self.sample(now);
    }

    /// Returns all tasks in the order of their ids.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks.values().map(Task::status).collect()
    }

    /// Returns the usage as it was `lag` before `now`.
    pub(crate) fn usage(&mut self, lag: Duration, now: Instant) -> Capacity {
        let shown = |at: Instant| now.saturating_duration_since(at) >= lag;
        let last = self.usage.iter().rev().find(|(at, _)| shown(*at));
        last.map(|&(_, usage)| usage).unwrap_or_default()
    }

    /// Ends all tasks where they are, as a dying host does.
    pub(crate) fn clear(&mut self) {
        self.tasks.clear();
    }

    fn check(&self, spec: &TaskSpec, wall: SystemTime) -> Result<(), TaskError> {
        if spec.epoch.is_some_and(|epoch| epoch < self.epoch) {
            return Err(TaskError::StaleOwner { seen: self.epoch });
        }
        if spec.incarnation.is_some_and(|meant| meant != self.incarnation) {
            return Err(TaskError::OtherIncarnation { now: self.incarnation });
        }
        if let Some(&seen) = self.fences.get(&spec.job).filter(|&&seen| spec.attempt <= seen) {
            return Err(TaskError::StaleAttempt { job: spec.job, seen });
        }
        let latest = spec.start_by_ms.map(Duration::from_millis);
        if latest.is_some_and(|latest| {
            wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default() > latest
        }) {
            return Err(TaskError::TooLate);
        }
        let free = self.free();
        if spec.declared().fits(&free) {
            Ok(())
        } else {
            Err(TaskError::InsufficientCapacity { free })
        }
    }

    fn with_running(
        &mut self,
        id: &str,
        now: Instant,
        action: impl FnOnce(&mut Task),
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        let task = self.tasks.get_mut(id).ok_or(TaskError::UnknownTask)?;
        if !task.runs() {
            return Err(TaskError::NotRunning);
        }
        action(task);
        let status = task.status();
        self.sample(now);
        Ok(status)
    }

    fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.runs())
    }

    fn free(&self) -> Capacity {
        let declared = self.running().map(|task| task.spec.declared()).sum();
        self.settings.capacity.saturating_sub(&declared)
    }

    fn used(&self) -> Capacity {
        self.running().map(|task| task.spec.usage()).sum()
    }

    /// Notes the present usage if it differs from the last one noted.
    fn sample(&mut self, now: Instant) {
        let used = self.used();
        if self.usage.back().is_none_or(|&(_, last)| last != used) {
            self.usage.push_back((now, used));
        }
        if self.usage.len() > USAGE_MAX_SAMPLES {
            self.usage.pop_front();
        }
    }
}
