//! The tasks of a worker, and the rules for starting, changing and forgetting them.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;

use crate::runs::{RunLabel, RunLog};
use crate::worker::task::Task;
use crate::worker::{
    Capacity, QueryRequest, TaskError, TaskSpec, TaskState, TaskStatus, WorkerSettings,
};

/// Exit status of a task that was killed because the worker ran out of memory.
const EXIT_OUT_OF_MEMORY: i32 = 137;

/// Exit status of each new task while the fault that makes tasks fail is active.
const EXIT_FAILED: i32 = 1;

/// Maximum number of changes of usage that are kept for delayed reports.
const USAGE_MAX_SAMPLES: usize = 1024;

/// The tasks by id, the highest attempt of each job, and the history of usage.
#[derive(Debug)]
pub(crate) struct TaskTable {
    settings: WorkerSettings,
    log: RunLog,
    tasks: BTreeMap<SmolStr, Task>,
    highest_attempts: BTreeMap<JobId, u64>,
    usage_history: VecDeque<(Instant, Capacity)>,
    /// Increases with each start of the worker and each expiry of its lease. The first
    /// value is the wall-clock time in microseconds, so that it increases over starts.
    incarnation: Incarnation,
    /// Highest epoch of the owners that have renewed the lease.
    epoch: Epoch,
    /// Deadline of the worker's lease; `None` before the first renewal and after an
    /// expiry.
    lease_deadline: Option<Instant>,
}

impl TaskTable {
    /// Creates the table of a worker without tasks.
    pub(crate) fn new(settings: WorkerSettings, log: RunLog, wall: SystemTime) -> TaskTable {
        let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        TaskTable {
            incarnation: Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX)),
            epoch: Epoch::ZERO,
            lease_deadline: None,
            settings,
            log,
            tasks: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            usage_history: VecDeque::new(),
        }
    }

    /// Starts a task, which fails immediately if `fail` is set or if the worker runs out
    /// of memory. A repeated request is answered with the status of the task.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::IdTaken`] if the id belongs to another specification, and
    /// the errors of [`Self::check_start`].
    pub(crate) fn start(
        &mut self,
        spec: TaskSpec,
        fail: bool,
        now: Instant,
        wall: SystemTime,
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        if let Some(task) = self.tasks.get(&spec.task) {
            // The request was repeated, perhaps because the first answer was lost.
            return if task.spec == spec { Ok(task.status()) } else { Err(TaskError::IdTaken) };
        }
        self.check_start(&spec, wall)?;
        self.highest_attempts.insert(spec.job, spec.attempt);
        let label = RunLabel {
            request: SmolStr::new(spec.job.to_string()),
            key: None,
            team: SmolStr::new(spec.team.as_str()),
        };
        let run_guard = self.log.start(label, &self.settings.id);
        let mut task = Task::start(spec, run_guard, now);
        if fail {
            task.end(TaskState::Finished { exit: EXIT_FAILED });
        } else if !(self.current_usage() + task.spec.usage()).fits_memory(&self.settings.capacity) {
            task.end(TaskState::Finished { exit: EXIT_OUT_OF_MEMORY });
        }
        let status = task.status();
        self.tasks.insert(status.task.clone(), task);
        self.record_usage(now);
        Ok(status)
    }

    /// Renews the leases of the worker and of all running tasks. Returns the current
    /// incarnation: after an expiry of the lease, which stops all tasks, the worker has
    /// a new one.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::StaleOwner`] if a higher epoch has been seen.
    pub(crate) fn renew_lease(
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
        self.lease_deadline = Some(now + ttl);
        self.tasks
            .values_mut()
            .filter(|task| task.is_running())
            .for_each(|task| task.renew(ttl, now));
        Ok(self.incarnation)
    }

    /// Returns the current incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the status of an attempt of a job. An unknown attempt is recorded as seen,
    /// so that it can't be started later.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::UnknownTask`] if the attempt is unknown, and
    /// [`TaskError::OtherIncarnation`] if it was assigned to another incarnation, which may
    /// have run it.
    pub(crate) fn query(
        &mut self,
        job: JobId,
        request: &QueryRequest,
        now: Instant,
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        let attempt = request.attempt;
        let is_attempt = |task: &&Task| task.spec.job == job && task.spec.attempt == attempt;
        if let Some(task) = self.tasks.values().find(is_attempt) {
            return Ok(task.status());
        }
        let seen = self.highest_attempts.entry(job).or_default();
        *seen = attempt.max(*seen);
        match request.incarnation.is_none_or(|assigned| assigned == self.incarnation) {
            true => Err(TaskError::UnknownTask),
            false => Err(TaskError::OtherIncarnation { current: self.incarnation }),
        }
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
    pub(crate) fn checkpoint(&mut self, id: &str, now: Instant) -> Result<TaskStatus, TaskError> {
        self.with_running(id, now, Task::checkpoint)
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

    /// Stops a task. A task that has already ended keeps its state, which is returned.
    pub(crate) fn stop(&mut self, id: &str, now: Instant) -> Result<TaskStatus, TaskError> {
        match self.with_running(id, now, |task| task.end(TaskState::Stopped)) {
            Err(TaskError::NotRunning) => {
                self.tasks.get(id).map(Task::status).ok_or(TaskError::UnknownTask)
            }
            other => other,
        }
    }

    /// Forgets a task that has ended. The highest attempt of its job is kept.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::StillRunning`] if the task is running, and
    /// [`TaskError::UnknownTask`] if there is none.
    pub(crate) fn forget(&mut self, id: &str, now: Instant) -> Result<(), TaskError> {
        self.advance(now);
        let task = self.tasks.get(id).ok_or(TaskError::UnknownTask)?;
        if task.is_running() {
            return Err(TaskError::StillRunning);
        }
        self.tasks.remove(id);
        Ok(())
    }

    /// Advances all tasks to `now`. If the worker's lease has expired, stops all tasks
    /// and starts a new incarnation.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.lease_deadline.take_if(|deadline| *deadline <= now).is_some() {
            self.incarnation = self.incarnation.next();
            self.tasks.values_mut().filter(|task| task.is_running()).for_each(|task| {
                task.end(TaskState::LeaseExpired);
            });
        }
        for task in self.tasks.values_mut() {
            task.advance(now);
        }
        self.record_usage(now);
    }

    /// Returns the status of all tasks, sorted by id.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks.values().map(Task::status).collect()
    }

    /// Returns the usage at `lag` before `now`.
    pub(crate) fn usage(&mut self, lag: Duration, now: Instant) -> Capacity {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        let last = self.usage_history.iter().rev().find(|(at, _)| is_visible(*at));
        last.map(|&(_, usage)| usage).unwrap_or_default()
    }

    /// Ends all tasks immediately, as the failure of a host does.
    pub(crate) fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Checks whether a new task may start: epoch, incarnation, attempt, latest start
    /// time and unreserved resources, in this order.
    fn check_start(&self, spec: &TaskSpec, wall: SystemTime) -> Result<(), TaskError> {
        if spec.epoch.is_some_and(|epoch| epoch < self.epoch) {
            return Err(TaskError::StaleOwner { seen: self.epoch });
        }
        if spec.incarnation.is_some_and(|expected| expected != self.incarnation) {
            return Err(TaskError::OtherIncarnation { current: self.incarnation });
        }
        if let Some(&seen) =
            self.highest_attempts.get(&spec.job).filter(|&&seen| spec.attempt <= seen)
        {
            return Err(TaskError::StaleAttempt { job: spec.job, seen });
        }
        let latest = spec.start_by_ms.map(Duration::from_millis);
        if latest.is_some_and(|latest| {
            wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default() > latest
        }) {
            return Err(TaskError::TooLate);
        }
        let free = self.unreserved();
        if spec.declared().fits(&free) {
            Ok(())
        } else {
            Err(TaskError::InsufficientCapacity { free })
        }
    }

    /// Applies `action` to a running task and returns the task's status.
    fn with_running(
        &mut self,
        id: &str,
        now: Instant,
        action: impl FnOnce(&mut Task),
    ) -> Result<TaskStatus, TaskError> {
        self.advance(now);
        let task = self.tasks.get_mut(id).ok_or(TaskError::UnknownTask)?;
        if !task.is_running() {
            return Err(TaskError::NotRunning);
        }
        action(task);
        let status = task.status();
        self.record_usage(now);
        Ok(status)
    }

    fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.is_running())
    }

    /// Returns the resources that the running tasks leave unreserved.
    fn unreserved(&self) -> Capacity {
        let declared = self.running().map(|task| task.spec.declared()).sum();
        self.settings.capacity.saturating_sub(&declared)
    }

    /// Returns the resources that the running tasks actually use.
    fn current_usage(&self) -> Capacity {
        self.running().map(|task| task.spec.usage()).sum()
    }

    /// Appends the current usage to the history if it has changed.
    fn record_usage(&mut self, now: Instant) {
        let current = self.current_usage();
        if self.usage_history.back().is_none_or(|&(_, last)| last != current) {
            self.usage_history.push_back((now, current));
        }
        if self.usage_history.len() > USAGE_MAX_SAMPLES {
            self.usage_history.pop_front();
        }
    }
}
