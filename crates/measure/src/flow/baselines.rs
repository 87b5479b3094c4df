//! A list scheduler with simple orders, on the same arrivals and durations.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use vg_base::prelude::*;

use super::arrivals::{Arrival, LATE_FACTOR, WORKER_CORES, Workload, objective_ms};
use super::simulation::ROUND_MS;

/// Part of a job's value that does not depend on its size.
pub(crate) const BASE_VALUE: f64 = 0.3;

/// Order in which the jobs of a pool are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Fcfs,
    /// Earliest deadline first.
    Edf,
    /// Jobs that can be in time first, among them by value for the remaining work: the
    /// rank of the scheduler before fair shares.
    Value,
}

/// A job that has arrived.
struct Open<'a> {
    index: usize,
    job: &'a Arrival,
    /// The step whose tasks run, and how many of its tasks were started and have ended.
    step: usize,
    started: usize,
    ended: usize,
    work: f64,
}

impl<'a> Open<'a> {
    fn new(index: usize, job: &'a Arrival) -> Open<'a> {
        let mut open = Open { index, job, step: 0, started: 0, ended: 0, work: 0.0 };
        open.work = open.remaining_work();
        open
    }

    fn is_done(&self) -> bool {
        self.step == self.job.steps.len()
    }

    /// Notes the end of a task; returns whether the job has ended.
    fn end_task(&mut self) -> bool {
        self.ended += 1;
        if self.ended == self.job.steps[self.step].task_ms.len() {
            (self.step, self.started, self.ended) = (self.step + 1, 0, 0);
        }
        self.is_done()
    }

    /// Returns the estimated work of tasks that have not started.
    fn remaining_work(&self) -> f64 {
        let steps = self.job.steps.iter().enumerate().skip(self.step);
        steps
            .map(|(at, step)| {
                let started = if at == self.step { self.started } else { 0 };
                let waiting = (step.task_ms.len() - started) as f64;
                waiting * f64::from(step.millicores) * step.estimate_ms as f64
            })
            .sum()
    }

    /// Returns the position in the order; the lowest comes first.
    fn key(&self, order: Order, mean_work: f64, ms: u64) -> (u8, f64) {
        let path = |from: usize| self.job.steps[from..].iter().map(|step| step.estimate_ms).sum();
        let objective = objective_ms(path(0));
        match order {
            Order::Fcfs => (0, self.job.at_ms as f64),
            Order::Edf => (0, (self.job.at_ms + objective) as f64),
            Order::Value => {
                let end: u64 = ms - self.job.at_ms + path(self.step);
                let lateness = u8::from(end > objective) + u8::from(end > LATE_FACTOR * objective);
                let value = BASE_VALUE + (1.0 - BASE_VALUE) * self.work / mean_work;
                (lateness, -value / (self.remaining_work() / mean_work).max(0.01))
            }
        }
    }
}

/// A pool under a list scheduler.
struct ListPool<'a> {
    jobs: Vec<Open<'a>>,
    /// Positions in `jobs` of those that have not ended.
    open: Vec<usize>,
    /// Free millicores of each worker, and the workers by them.
    free: Vec<u32>,
    by_free: BTreeSet<(u32, usize)>,
    /// End, job, worker and millicores of each running task.
    running: BinaryHeap<Reverse<(u64, usize, usize, u32)>>,
}

impl ListPool<'_> {
    /// Adds millicores to what is free on a worker, or takes them.
    fn change_free(&mut self, worker: usize, free: u32) {
        self.by_free.remove(&(self.free[worker], worker));
        self.free[worker] = free;
        self.by_free.insert((free, worker));
    }

    /// Ends the tasks that are due; returns the jobs that end with them.
    fn end_tasks(&mut self, ms: u64) -> Vec<usize> {
        let mut ended = Vec::new();
        while let Some(&Reverse((at, job, worker, millicores))) = self.running.peek()
            && at <= ms
        {
            self.running.pop();
            self.change_free(worker, self.free[worker] + millicores);
            if self.jobs[job].end_task() {
                ended.push(self.jobs[job].index);
            }
        }
        self.open.retain(|&at| !self.jobs[at].is_done());
        ended
    }

    fn start_tasks(&mut self, order: Order, ms: u64) {
        let work: f64 = self.open.iter().map(|&at| self.jobs[at].work).sum();
        let mean = work / self.open.len().max(1) as f64;
        let key = |&at: &usize| (self.jobs[at].key(order, mean, ms), at);
        let mut ranked: Vec<_> = self.open.iter().map(key).collect();
        ranked.sort_unstable_by(|((late_a, key_a), a), ((late_b, key_b), b)| {
            late_a.cmp(late_b).then(key_a.total_cmp(key_b)).then(a.cmp(b))
        });
        for (_, at) in ranked {
            let step = &self.jobs[at].job.steps[self.jobs[at].step];
            while let Some(&task_ms) = step.task_ms.get(self.jobs[at].started) {
                // The fullest worker on which the task fits.
                let place = self.by_free.range((step.millicores, 0)..).next();
                let Some(&(free, worker)) = place else { break };
                self.change_free(worker, free - step.millicores);
                self.running.push(Reverse((ms + task_ms, at, worker, step.millicores)));
                self.jobs[at].started += 1;
            }
        }
    }
}

/// Replays a workload; returns when each job has ended, in milliseconds from the start.
pub fn replay(workload: &Workload, order: Order) -> Vec<Option<u64>> {
    let mut ended_ms = vec![None; workload.arrivals.len()];
    for queue in workload.queues().keys() {
        replay_queue(workload, queue, order, &mut ended_ms);
    }
    ended_ms
}

fn replay_queue(workload: &Workload, queue: &QueueId, order: Order, ended_ms: &mut [Option<u64>]) {
    let all = workload.arrivals.iter().enumerate();
    let mut arrivals = all.filter(|(_, job)| job.queue == *queue).peekable();
    let mut pool = ListPool {
        jobs: Vec::new(),
        open: Vec::new(),
        free: vec![WORKER_CORES; workload.pool_workers],
        by_free: (0..workload.pool_workers).map(|at| (WORKER_CORES, at)).collect(),
        running: BinaryHeap::new(),
    };
    let (mut ms, end_ms) = (0, workload.end_ms());
    while ms <= end_ms && (arrivals.peek().is_some() || !pool.open.is_empty()) {
        ms += ROUND_MS;
        for index in pool.end_tasks(ms) {
            ended_ms[index] = Some(ms);
        }
        while let Some((index, job)) = arrivals.next_if(|(_, job)| job.at_ms <= ms) {
            pool.open.push(pool.jobs.len());
            pool.jobs.push(Open::new(index, job));
        }
        pool.start_tasks(order, ms);
    }
}
