//! Simulates the workers of one pool.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use vg_base::prelude::*;
use vg_jobs::{Attempt, Resources, WorkerSpec};

use super::work::ActualUse;

/// Exit code of a task that is killed because its worker ran out of memory.
const EXIT_OUT_OF_MEMORY: i32 = 137;

/// One attempt to run a job.
pub(super) type JobAttempt = (JobId, Attempt);

/// A running task, with its actual use and its end in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Task {
    size: Resources,
    ends: u64,
}

/// A worker with its running tasks.
#[derive(Debug, Clone)]
struct Host {
    capacity: Resources,
    tasks: BTreeMap<JobAttempt, Task>,
    incarnation: u64,
}

/// The end of a task with an exit code.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exit {
    pub(super) attempt: JobAttempt,
    pub(super) exit: i32,
}

/// The workers of one pool, with their running tasks.
#[derive(Debug)]
pub(super) struct Cluster {
    hosts: Vec<Host>,
    index: HashMap<HostId, usize>,
    ends: BinaryHeap<Reverse<(u64, usize, JobAttempt)>>,
    exits: Vec<Exit>,
    /// Number of tasks that were killed because their worker ran out of memory.
    pub(super) memory_kills: u64,
}

impl Cluster {
    /// Returns idle workers, each of incarnation 1.
    pub(super) fn new(specs: &[WorkerSpec]) -> Cluster {
        let host = |spec: &WorkerSpec| Host {
            capacity: spec.capacity,
            tasks: BTreeMap::new(),
            incarnation: 1,
        };
        Cluster {
            hosts: specs.iter().map(host).collect(),
            index: specs
                .iter()
                .enumerate()
                .map(|(index, spec)| (spec.host.clone(), index))
                .collect(),
            ends: BinaryHeap::new(),
            exits: Vec::new(),
            memory_kills: 0,
        }
    }

    /// Returns the index of a worker.
    pub(super) fn find(&self, host: &HostId) -> Option<usize> {
        self.index.get(host).copied()
    }

    /// Returns the current incarnation of a worker.
    pub(super) fn incarnation(&self, host: usize) -> Incarnation {
        Incarnation(self.hosts[host].incarnation)
    }

    /// Starts a task at `now` milliseconds. The task is killed at once if the worker has not
    /// enough memory for its actual use.
    pub(super) fn start(&mut self, host: usize, attempt: JobAttempt, actual: ActualUse, now: u64) {
        let worker = &mut self.hosts[host];
        let used = worker.tasks.values().fold(actual.size, |sum, task| sum.plus(&task.size));
        if used.memory > worker.capacity.memory {
            self.memory_kills += 1;
            self.exits.push(Exit { attempt, exit: EXIT_OUT_OF_MEMORY });
            return;
        }
        let ends = now + actual.run_millis;
        worker.tasks.insert(attempt, Task { size: actual.size, ends });
        self.ends.push(Reverse((ends, host, attempt)));
    }

    /// Stops a task and returns the milliseconds that it still had to run, or `None` if it
    /// does not run.
    pub(super) fn stop(&mut self, host: usize, attempt: JobAttempt, now: u64) -> Option<u64> {
        let task = self.hosts[host].tasks.remove(&attempt)?;
        Some(task.ends.saturating_sub(now))
    }

    /// Whether a task is running.
    pub(super) fn is_running(&self, host: usize, attempt: JobAttempt) -> bool {
        self.hosts[host].tasks.contains_key(&attempt)
    }

    /// Ends all tasks of a worker and gives it a new incarnation.
    pub(super) fn restart(&mut self, host: usize) {
        let worker = &mut self.hosts[host];
        worker.tasks.clear();
        worker.incarnation += 1;
    }

    /// Returns the tasks that have ended since the last call.
    pub(super) fn exits(&mut self, now: u64) -> Vec<Exit> {
        while let Some(&Reverse((ends, host, attempt))) = self.ends.peek() {
            if ends > now {
                break;
            }
            self.ends.pop();
            let worker = &mut self.hosts[host];
            if worker.tasks.get(&attempt).is_some_and(|task| task.ends == ends) {
                worker.tasks.remove(&attempt);
                self.exits.push(Exit { attempt, exit: 0 });
            }
        }
        std::mem::take(&mut self.exits)
    }

    /// Returns the number of cores in use, limited to the cores of each worker.
    pub(super) fn used_cores(&self) -> f64 {
        let used = |host: &Host| {
            let sum: u32 = host.tasks.values().map(|task| task.size.cores.0).sum();
            f64::from(sum.min(host.capacity.cores.0)) / 1000.0
        };
        self.hosts.iter().map(used).sum()
    }

    /// Returns the actual use of each task of a worker.
    pub(super) fn usage(&self, host: usize) -> Vec<(JobAttempt, Resources)> {
        self.hosts[host].tasks.iter().map(|(attempt, task)| (*attempt, task.size)).collect()
    }
}
