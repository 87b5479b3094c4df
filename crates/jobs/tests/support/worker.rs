//! A fake worker that follows the worker's side of the protocol.

use std::collections::BTreeMap;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{Action, Attempt, Now, Report, Start, Task, WorkerIncarnation};

use super::oracle::Oracle;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    Running,
    Ended(Report),
}

#[derive(Debug, Clone)]
pub(crate) struct FakeWorker {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// Whether the worker shows restarts by a new incarnation and records the
    /// highest attempt of each job. A plain worker forgets everything at a restart,
    /// and only rejects attempts that have expired.
    tracks_attempts: bool,
    pub(crate) lease_end: Option<Instant>,
    pub(crate) tasks: BTreeMap<(JobId, Attempt), TaskState>,
    /// Highest attempt of each job that the worker started or rejected.
    highest_attempts: BTreeMap<JobId, Attempt>,
    /// Highest epoch of an owner that the worker has seen.
    epoch: Epoch,
    checkpoint_count: u8,
}

/// A report in transit to the owner of the pool.
pub(crate) type SentReport = (WorkerIncarnation, JobId, Attempt, Report);

impl FakeWorker {
    pub(crate) fn new(host: HostId, tracks_attempts: bool) -> FakeWorker {
        FakeWorker {
            host,
            tracks_attempts,
            incarnation: Incarnation(1),
            lease_end: None,
            tasks: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            epoch: Epoch::ZERO,
            checkpoint_count: 0,
        }
    }

    pub(crate) fn instance(&self) -> WorkerIncarnation {
        WorkerIncarnation { worker: self.host.clone(), incarnation: self.incarnation }
    }

    pub(crate) fn is_leased(&self, now: Instant) -> bool {
        self.lease_end.is_some_and(|until| now < until)
    }

    /// Stops all tasks if the worker's lease has expired by its own clock.
    pub(crate) fn expire_lease(&mut self, now: Instant) {
        if self.lease_end.is_none_or(|until| now < until) {
            return;
        }
        if self.tracks_attempts {
            return self.restart();
        }
        self.running().into_iter().for_each(|key| self.finish(key, stopped(None)));
    }

    pub(crate) fn restart(&mut self) {
        let next = if self.tracks_attempts { self.incarnation.next() } else { self.incarnation };
        let fresh = FakeWorker::new(self.host.clone(), self.tracks_attempts);
        *self = FakeWorker { incarnation: next, ..fresh };
    }

    pub(crate) fn running(&self) -> Vec<(JobId, Attempt)> {
        let running = self.tasks.iter().filter(|(_, state)| **state == TaskState::Running);
        running.map(|(key, _)| *key).collect()
    }

    pub(crate) fn finish(&mut self, key: (JobId, Attempt), report: Report) {
        self.tasks.insert(key, TaskState::Ended(report));
    }

    pub(crate) fn status_report(&self, key: (JobId, Attempt)) -> Option<SentReport> {
        let report = match self.tasks.get(&key)? {
            TaskState::Running => Report::Running,
            TaskState::Ended(report) => report.clone(),
        };
        Some((self.instance(), key.0, key.1, report))
    }

    /// Handles a message and returns the answer. `has_capacity` tells whether the
    /// worker can start a task or write a checkpoint.
    pub(crate) fn receive(
        &mut self,
        action: &Action,
        has_capacity: bool,
        now: Now,
        oracle: &mut Oracle,
    ) -> Option<SentReport> {
        let task = task_in(action)?;
        if task.instance != self.instance() || task.epoch < self.epoch {
            return None;
        }
        self.epoch = task.epoch;
        let key = (task.job, task.attempt);
        match action {
            Action::Start(start) => self.start(start, has_capacity, now, oracle),
            Action::Query(_) => self.answer(task, now),
            Action::Checkpoint(_) => self.checkpoint(task, has_capacity, now, oracle),
            Action::Stop(_) => {
                if self.tasks.get(&key) == Some(&TaskState::Running) {
                    self.finish(key, stopped(None));
                }
                self.answer(task, now)
            }
            Action::Forget(_) => {
                self.tasks.remove(&key);
                None
            }
            _ => None,
        }
    }

    /// Starts a task if the worker has the capacity for it.
    fn start(
        &mut self,
        start: &Start,
        has_capacity: bool,
        now: Now,
        oracle: &mut Oracle,
    ) -> Option<SentReport> {
        let key = (start.task.job, start.task.attempt);
        let highest = self.highest_attempts.entry(key.0).or_default();
        let expired = now.wall >= start.task.expires;
        if *highest >= key.1 || expired || self.lease_end.is_none_or(|until| now.mono >= until) {
            return None;
        }
        *highest = key.1;
        if !has_capacity {
            self.finish(key, Report::InsufficientCapacity);
            return self.status_report(key);
        }
        oracle.started(start);
        self.tasks.insert(key, TaskState::Running);
        self.status_report(key)
    }

    /// Answers a query about an attempt, as far as the worker knows the answer.
    fn answer(&mut self, task: &Task, now: Now) -> Option<SentReport> {
        let key = (task.job, task.attempt);
        if self.tracks_attempts || self.tasks.contains_key(&key) {
            return self.reject_attempt(key);
        }
        let expired = now.wall >= task.expires;
        expired.then(|| (self.instance(), key.0, key.1, Report::UnknownAttempt))
    }

    /// Answers a query about an attempt. The worker never starts the attempt from
    /// now on.
    fn reject_attempt(&mut self, key: (JobId, Attempt)) -> Option<SentReport> {
        if self.tasks.contains_key(&key) {
            return self.status_report(key);
        }
        let highest = self.highest_attempts.entry(key.0).or_default();
        if *highest >= key.1 {
            // The attempt was rejected before, or the worker was told to forget it.
            // The earlier answer is still valid.
            return None;
        }
        *highest = key.1;
        self.finish(key, Report::NeverStarted);
        self.status_report(key)
    }

    fn checkpoint(
        &mut self,
        task: &Task,
        has_capacity: bool,
        now: Now,
        oracle: &mut Oracle,
    ) -> Option<SentReport> {
        let key = (task.job, task.attempt);
        if self.tasks.get(&key) != Some(&TaskState::Running) {
            return self.answer(task, now);
        }
        if !has_capacity {
            return Some((self.instance(), key.0, key.1, Report::CheckpointFailed));
        }
        self.checkpoint_count += 1;
        let checkpoint =
            format!("{}.{}.{}.{}", self.host, self.incarnation, key.1, self.checkpoint_count);
        let checkpoint = Bytes::from(checkpoint.into_bytes());
        oracle.checkpointed(key.0, checkpoint.clone());
        self.finish(key, stopped(Some(checkpoint)));
        self.status_report(key)
    }
}

fn stopped(checkpoint: Option<Bytes>) -> Report {
    Report::Stopped { checkpoint }
}

/// Returns the attempt that a message to a worker is about, or `None` for other
/// actions.
pub(crate) fn task_in(action: &Action) -> Option<&Task> {
    match action {
        Action::Start(start) => Some(&start.task),
        Action::Query(task)
        | Action::Checkpoint(task)
        | Action::Stop(task)
        | Action::Forget(task)
        | Action::Throttle { task, .. } => Some(task),
        _ => None,
    }
}
