//! The workers of one pool on model time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use vg_base::prelude::*;
use vg_jobs::{Attempt, Resources, WorkerSpec};

use super::work::Truth;

/// Exit code of a task that is killed because memory ran out.
const EXIT_MEMORY: i32 = 137;

/// One run of a job.
pub(super) type Run = (JobId, Attempt);

#[derive(Debug, Clone, Copy)]
struct Task {
    size: Resources,
    ends: u64,
}

/// A worker's tasks.
#[derive(Debug, Clone)]
struct Host {
    total: Resources,
    tasks: BTreeMap<Run, Task>,
    incarnation: u64,
}

/// What happened on a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exit {
    pub(super) run: Run,
    pub(super) exit: i32,
}

/// The workers of one pool.
#[derive(Debug)]
pub(super) struct Cluster {
    hosts: Vec<Host>,
    index: HashMap<HostId, usize>,
    ends: BinaryHeap<Reverse<(u64, usize, Run)>>,
    exits: Vec<Exit>,
    pub(super) killed: u64,
}

impl Cluster {
    pub(super) fn new(specs: &[WorkerSpec]) -> Cluster {
        let host = |spec: &WorkerSpec| Host {
            total: spec.capacity,
            tasks: BTreeMap::new(),
            incarnation: 1,
        };
        Cluster {
            hosts: specs.iter().map(host).collect(),
            index: specs.iter().enumerate().map(|(at, spec)| (spec.host.clone(), at)).collect(),
            ends: BinaryHeap::new(),
            exits: Vec::new(),
            killed: 0,
        }
    }

    pub(super) fn find(&self, host: &HostId) -> Option<usize> {
        self.index.get(host).copied()
    }

    pub(super) fn incarnation(&self, host: usize) -> Incarnation {
        Incarnation(self.hosts[host].incarnation)
    }

    /// Starts a task; one that takes the worker over its memory is killed.
    pub(super) fn start(&mut self, host: usize, run: Run, truth: Truth, now: u64) {
        let at = &mut self.hosts[host];
        let used = at.tasks.values().fold(truth.size, |sum, task| sum.plus(&task.size));
        if used.memory > at.total.memory {
            self.killed += 1;
            self.exits.push(Exit { run, exit: EXIT_MEMORY });
            return;
        }
        let ends = now + truth.run_millis;
        at.tasks.insert(run, Task { size: truth.size, ends });
        self.ends.push(Reverse((ends, host, run)));
    }

    /// Stops a task; gives the milliseconds that it has left.
    pub(super) fn stop(&mut self, host: usize, run: Run, now: u64) -> Option<u64> {
        let task = self.hosts[host].tasks.remove(&run)?;
        Some(task.ends.saturating_sub(now))
    }

    /// Whether the task runs.
    pub(super) fn runs(&self, host: usize, run: Run) -> bool {
        self.hosts[host].tasks.contains_key(&run)
    }

    /// Ends all tasks of a worker, which is another incarnation from now on.
    pub(super) fn restart(&mut self, host: usize) {
        let at = &mut self.hosts[host];
        at.tasks.clear();
        at.incarnation += 1;
    }

    /// Returns the tasks that have ended by now.
    pub(super) fn exits(&mut self, now: u64) -> Vec<Exit> {
        while let Some(&Reverse((ends, host, run))) = self.ends.peek() {
            if ends > now {
                break;
            }
            self.ends.pop();
            let at = &mut self.hosts[host];
            if at.tasks.get(&run).is_some_and(|task| task.ends == ends) {
                at.tasks.remove(&run);
                self.exits.push(Exit { run, exit: 0 });
            }
        }
        std::mem::take(&mut self.exits)
    }

    /// Returns the cores that are in use, at most those that there are.
    pub(super) fn used_cores(&self) -> f64 {
        let used = |host: &Host| {
            let sum: u32 = host.tasks.values().map(|task| task.size.cores.0).sum();
            f64::from(sum.min(host.total.cores.0)) / 1000.0
        };
        self.hosts.iter().map(used).sum()
    }

    /// Returns what a worker's tasks use.
    pub(super) fn usage(&self, host: usize) -> Vec<(Run, Resources)> {
        self.hosts[host].tasks.iter().map(|(run, task)| (*run, task.size)).collect()
    }
}
