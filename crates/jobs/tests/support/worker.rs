//! A worker that keeps to the worker's side of the protocol.

use std::collections::BTreeMap;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{Action, Attempt, Report, Site, Start, Task};

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
    pub(crate) lease: Option<Instant>,
    pub(crate) tasks: BTreeMap<(JobId, Attempt), Phase>,
    fences: BTreeMap<JobId, Attempt>,
    epoch: Epoch,
    stops: u8,
}

/// A report on its way to whoever owns the pool.
pub(crate) type Sent = (Site, JobId, Attempt, Report);

impl FakeWorker {
    pub(crate) fn new(host: HostId) -> FakeWorker {
        FakeWorker {
            host,
            incarnation: Incarnation(1),
            lease: None,
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            epoch: Epoch::ZERO,
            stops: 0,
        }
    }

    pub(crate) fn site(&self) -> Site {
        Site { worker: self.host.clone(), incarnation: self.incarnation }
    }

    pub(crate) fn is_leased(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Stops all tasks when the worker's own lease has lapsed.
    pub(crate) fn lapse(&mut self, now: Instant) {
        if self.lease.is_some_and(|until| now >= until) {
            self.restart();
        }
    }

    pub(crate) fn restart(&mut self) {
        *self = FakeWorker {
            incarnation: self.incarnation.next(),
            ..FakeWorker::new(self.host.clone())
        };
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
        Some((self.site(), key.0, key.1, report))
    }

    /// Takes a message in; gives the answer.
    pub(crate) fn receive(
        &mut self,
        action: &Action,
        can_checkpoint: bool,
        now: Instant,
        oracle: &mut Oracle,
    ) -> Option<Sent> {
        let task = task_of(action)?;
        if task.site != self.site() || task.epoch < self.epoch {
            return None;
        }
        self.epoch = task.epoch;
        let key = (task.job, task.attempt);
        match action {
            Action::Start(start) => self.start(start, now, oracle),
            Action::Query(_) => self.fence(key),
            Action::Checkpoint(_) => self.checkpoint(key, can_checkpoint, oracle),
            Action::Stop(_) => {
                if self.tasks.get(&key) == Some(&Phase::Running) {
                    self.finish(key, stopped(None));
                }
                self.fence(key)
            }
            Action::Release(_) => {
                self.tasks.remove(&key);
                None
            }
            _ => None,
        }
    }

    fn start(&mut self, start: &Start, now: Instant, oracle: &mut Oracle) -> Option<Sent> {
        let key = (start.task.job, start.task.attempt);
        let fence = self.fences.entry(key.0).or_default();
        if *fence >= key.1 || self.lease.is_none_or(|until| now >= until) {
            return None;
        }
        *fence = key.1;
        oracle.started(start);
        self.tasks.insert(key, Phase::Running);
        self.word(key)
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
        key: (JobId, Attempt),
        can: bool,
        oracle: &mut Oracle,
    ) -> Option<Sent> {
        if self.tasks.get(&key) != Some(&Phase::Running) {
            return self.fence(key);
        }
        if !can {
            return Some((self.site(), key.0, key.1, Report::CheckpointFailed));
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
        | Action::Release(task)
        | Action::Throttle { task, .. } => Some(task),
        _ => None,
    }
}
