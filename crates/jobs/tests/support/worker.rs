//! A worker that keeps to the worker's side of the protocol.

use std::collections::BTreeMap;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{Action, Attempt, Now, Report, Start, Task, WorkerIncarnation};

use super::oracle::Oracle;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    Over(Report),
}

#[derive(Debug, Clone)]
pub(crate) struct FakeWorker {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// Whether it shows restarts by its incarnation and keeps fences; a plain
    /// one forgets all, and only refuses what has expired.
    fenced: bool,
    pub(crate) lease: Option<Instant>,
    pub(crate) tasks: BTreeMap<(JobId, Attempt), Phase>,
    fences: BTreeMap<JobId, Attempt>,
    epoch: Epoch,
    stops: u8,
}

/// A report on its way to whoever owns the pool.
pub(crate) type Sent = (WorkerIncarnation, JobId, Attempt, Report);

impl FakeWorker {
    pub(crate) fn new(host: HostId, fenced: bool) -> FakeWorker {
        FakeWorker {
            host,
            fenced,
            incarnation: Incarnation(1),
            lease: None,
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            epoch: Epoch::ZERO,
            stops: 0,
        }
    }

    pub(crate) fn instance(&self) -> WorkerIncarnation {
        WorkerIncarnation { worker: self.host.clone(), incarnation: self.incarnation }
    }

    pub(crate) fn is_leased(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Stops all tasks when the worker's own lease has lapsed.
    pub(crate) fn lapse(&mut self, now: Instant) {
        if self.lease.is_none_or(|until| now < until) {
            return;
        }
        if self.fenced {
            return self.restart();
        }
        self.running().into_iter().for_each(|key| self.finish(key, stopped(None)));
    }

    pub(crate) fn restart(&mut self) {
        let next = if self.fenced { self.incarnation.next() } else { self.incarnation };
        let fresh = FakeWorker::new(self.host.clone(), self.fenced);
        *self = FakeWorker { incarnation: next, ..fresh };
    }

    pub(crate) fn running(&self) -> Vec<(JobId, Attempt)> {
        let running = self.tasks.iter().filter(|(_, phase)| **phase == Phase::Running);
        running.map(|(key, _)| *key).collect()
    }

    pub(crate) fn finish(&mut self, key: (JobId, Attempt), report: Report) {
        self.tasks.insert(key, Phase::Over(report));
    }

    pub(crate) fn word(&self, key: (JobId, Attempt)) -> Option<Sent> {
        let report = match self.tasks.get(&key)? {
            Phase::Running => Report::Running,
            Phase::Over(report) => report.clone(),
        };
        Some((self.instance(), key.0, key.1, report))
    }

    /// Takes a message in; gives the answer. `can`: there is room to start a task,
    /// or to write a checkpoint.
    pub(crate) fn receive(
        &mut self,
        action: &Action,
        can: bool,
        now: Now,
        oracle: &mut Oracle,
    ) -> Option<Sent> {
        let task = task_of(action)?;
        if task.instance != self.instance() || task.epoch < self.epoch {
            return None;
        }
        self.epoch = task.epoch;
        let key = (task.job, task.attempt);
        match action {
            Action::Start(start) => self.start(start, can, now, oracle),
            Action::Query(_) => self.answer(task, now),
            Action::Checkpoint(_) => self.checkpoint(task, can, now, oracle),
            Action::Stop(_) => {
                if self.tasks.get(&key) == Some(&Phase::Running) {
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

    /// Starts a task if there is room (`can`).
    fn start(&mut self, start: &Start, can: bool, now: Now, oracle: &mut Oracle) -> Option<Sent> {
        let key = (start.task.job, start.task.attempt);
        let fence = self.fences.entry(key.0).or_default();
        let expired = now.wall >= start.task.expires;
        if *fence >= key.1 || expired || self.lease.is_none_or(|until| now.mono >= until) {
            return None;
        }
        *fence = key.1;
        if !can {
            self.finish(key, Report::InsufficientCapacity);
            return self.word(key);
        }
        oracle.started(start);
        self.tasks.insert(key, Phase::Running);
        self.word(key)
    }

    /// Answers for an attempt as far as the worker can.
    fn answer(&mut self, task: &Task, now: Now) -> Option<Sent> {
        let key = (task.job, task.attempt);
        if self.fenced || self.tasks.contains_key(&key) {
            return self.fence(key);
        }
        let expired = now.wall >= task.expires;
        expired.then(|| (self.instance(), key.0, key.1, Report::UnknownAttempt))
    }

    /// Answers for an attempt, and never starts it from now on.
    fn fence(&mut self, key: (JobId, Attempt)) -> Option<Sent> {
        if self.tasks.contains_key(&key) {
            return self.word(key);
        }
        let fence = self.fences.entry(key.0).or_default();
        if *fence >= key.1 {
            // Fenced before, or released: what was said then stands.
            return None;
        }
        *fence = key.1;
        self.finish(key, Report::NeverStarted);
        self.word(key)
    }

    fn checkpoint(
        &mut self,
        task: &Task,
        can: bool,
        now: Now,
        oracle: &mut Oracle,
    ) -> Option<Sent> {
        let key = (task.job, task.attempt);
        if self.tasks.get(&key) != Some(&Phase::Running) {
            return self.answer(task, now);
        }
        if !can {
            return Some((self.instance(), key.0, key.1, Report::CheckpointFailed));
        }
        self.stops += 1;
        let token = format!("{}.{}.{}.{}", self.host, self.incarnation, key.1, self.stops);
        let token = Bytes::from(token.into_bytes());
        oracle.checkpointed(key.0, token.clone());
        self.finish(key, stopped(Some(token)));
        self.word(key)
    }
}

fn stopped(checkpoint: Option<Bytes>) -> Report {
    Report::Stopped { checkpoint }
}

/// Returns the attempt that a message to a worker is about.
pub(crate) fn task_of(action: &Action) -> Option<&Task> {
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
