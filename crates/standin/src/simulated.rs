//! A simulated worker without I/O, which executes tasks under a lease and a fencing
//! token. Tests of the scheduler drive it with a simulated time.

use std::collections::HashMap;

use smol_str::SmolStr;
use vg_flow::{
    AttemptNumber, AttemptOutcome, EndedAttempt, FencingToken, RefusalReason, Report,
    RunningAttempt, StartAnswer, StartCommand, TaskId,
};
use vg_jobs::Resources;

/// Longest lease that a worker takes; a longer one is shortened.
const LEASE_MAX_MS: u64 = 10_000;

/// An attempt of a task on a simulated worker.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// Time of the start, in milliseconds of the worker's clock.
    pub started_ms: u64,
    /// Time at which the attempt finishes unless it is stopped, in milliseconds of
    /// the worker's clock. In an attempt passed to [`SimulatedWorker::start`], this
    /// is its duration instead.
    pub finish_ms: u64,
    /// Outcome of the attempt when it finishes at `finish_ms`.
    pub outcome: AttemptOutcome,
    /// Resources that the attempt reserves.
    pub reservation: Resources,
    /// Whether the attempt runs until it is stopped or the lease expires; `finish_ms`
    /// then does not end it.
    pub continuous: bool,
    /// Time at which a stop command takes effect, in milliseconds of the worker's
    /// clock.
    pub stop_ms: Option<u64>,
}

/// A simulated worker process. Its clock reads 0 at the start of the process and
/// may run slow.
#[derive(Debug, Clone)]
pub struct SimulatedWorker {
    /// Id of the worker.
    pub id: SmolStr,
    /// Start of this incarnation, in milliseconds of simulated time.
    pub start_ms: u64,
    /// Pool that the worker belongs to.
    pub pool: SmolStr,
    /// Machine that the worker runs on.
    pub machine: SmolStr,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Whether the worker refuses attempts that do not fit into its free capacity.
    pub guards_capacity: bool,
    /// Amount by which the worker's clock runs slow, in thousandths.
    pub clock_drift: u64,
    /// Factor on the duration of each attempt; 1 is normal speed.
    pub slowness: u64,
    /// Whether the worker process is running.
    pub up: bool,
    /// Whether the leader can reach the worker.
    pub reachable: bool,
    /// Highest fencing token received. Commands with a lower token are refused.
    pub token: FencingToken,
    /// Deadline of the lease, in milliseconds of the worker's clock.
    pub deadline_ms: u64,
    /// Running attempts.
    pub running: Vec<TaskAttempt>,
    /// Ended attempts that the leader has not acknowledged.
    pub ended: Vec<EndedAttempt>,
    next_number: u64,
    /// Highest attempt of each task that has ended or was stopped here. Attempts up
    /// to this number are never started again.
    closed_attempts: HashMap<TaskId, AttemptNumber>,
    /// Number of the last ended attempt that the leader has acknowledged.
    pub acknowledged: u64,
    /// Number of the last ended attempt at the most recent [`Self::advance`] that
    /// found the lease expired.
    pub expiry_number: u64,
}

impl SimulatedWorker {
    /// Creates a worker without attempts that starts at `start_ms` of simulated time.
    pub fn new(
        id: &str,
        pool: &str,
        machine: &str,
        start_ms: u64,
        capacity: Resources,
    ) -> SimulatedWorker {
        SimulatedWorker {
            id: id.into(),
            start_ms,
            pool: pool.into(),
            machine: machine.into(),
            capacity,
            guards_capacity: true,
            clock_drift: 0,
            slowness: 1,
            up: true,
            reachable: true,
            token: FencingToken(0),
            deadline_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_number: 1,
            closed_attempts: HashMap::new(),
            acknowledged: 0,
            expiry_number: 0,
        }
    }

    /// Returns the reading of the worker's clock in milliseconds, at `now_ms` of
    /// simulated time.
    pub fn clock(&self, now_ms: u64) -> u64 {
        let age = now_ms.saturating_sub(self.start_ms);
        age - age * self.clock_drift / 1000
    }

    /// Restarts the worker process: a new incarnation with the same id and without
    /// attempts. The clock drift and the reachability stay; the worker has normal
    /// speed again and a clock that reads 0.
    pub fn restart(&mut self, now_ms: u64) {
        let fresh =
            SimulatedWorker::new(&self.id, &self.pool, &self.machine, now_ms, self.capacity);
        *self = SimulatedWorker {
            clock_drift: self.clock_drift,
            reachable: self.reachable,
            guards_capacity: self.guards_capacity,
            ..fresh
        };
    }

    /// Returns the resources reserved by running attempts.
    pub fn used(&self) -> Resources {
        self.running.iter().fold(Resources::ZERO, |sum, attempt| sum.plus(&attempt.reservation))
    }

    /// Lets the lease last until `deadline` at least, or as long as a worker permits.
    fn extend_lease(&mut self, deadline: u64, clock: u64) {
        self.deadline_ms = self.deadline_ms.max(deadline.min(clock + LEASE_MAX_MS));
    }

    /// Records the end of an attempt. The record is kept until the leader acknowledges it.
    fn finish(&mut self, attempt: &TaskAttempt, outcome: AttemptOutcome) -> EndedAttempt {
        let closed = self.closed_attempts.entry(attempt.task).or_default();
        *closed = (*closed).max(attempt.attempt);
        let number = self.next_number;
        self.next_number += 1;
        let ended = EndedAttempt {
            number,
            task: attempt.task,
            attempt: attempt.attempt,
            outcome,
            checkpoint: SmolStr::default(),
        };
        self.ended.push(ended.clone());
        ended
    }

    /// Advances the worker to `now_ms` of simulated time. Returns the attempts that
    /// have ended since: finished, stopped, or ended by expiry of the lease,
    /// whichever came first.
    pub fn advance(&mut self, now_ms: u64) -> Vec<EndedAttempt> {
        if !self.up {
            return Vec::new();
        }
        let clock = self.clock(now_ms);
        let mut ended = Vec::new();
        for attempt in std::mem::take(&mut self.running) {
            let finish = (!attempt.continuous && attempt.finish_ms <= clock)
                .then_some((attempt.finish_ms, attempt.outcome));
            let stop =
                attempt.stop_ms.filter(|&at| at <= clock).map(|at| (at, AttemptOutcome::Stopped));
            let expiry = (clock > self.deadline_ms)
                .then_some((self.deadline_ms, AttemptOutcome::LeaseExpired));
            let earliest = [finish, stop, expiry].into_iter().flatten().min_by_key(|(at, _)| *at);
            match earliest {
                Some((_, outcome)) => ended.push(self.finish(&attempt, outcome)),
                None => self.running.push(attempt),
            }
        }
        if clock > self.deadline_ms {
            self.expiry_number = self.next_number - 1;
        }
        ended
    }

    /// Executes a command to start an attempt. A repeated command for a running
    /// attempt is answered as started and renews the lease.
    pub fn start(
        &mut self,
        start: &StartCommand,
        mut attempt: TaskAttempt,
        now_ms: u64,
    ) -> StartAnswer {
        let clock = self.clock(now_ms);
        if start.token < self.token {
            return StartAnswer::Refused(RefusalReason::StaleToken);
        }
        self.token = start.token;
        if self.running.iter().any(|each| each.task == start.task && each.attempt == start.attempt)
        {
            self.extend_lease(start.deadline_ms, clock);
            return StartAnswer::Started;
        }
        if start.deadline_ms < clock {
            return StartAnswer::Refused(RefusalReason::Expired);
        }
        // A start that is refused below has renewed the lease too.
        self.extend_lease(start.deadline_ms, clock);
        if self.closed_attempts.get(&start.task).is_some_and(|&closed| start.attempt <= closed) {
            return StartAnswer::Refused(RefusalReason::StaleAttempt);
        }
        let fits = attempt.reservation.fits(&self.capacity.minus(&self.used()));
        if self.guards_capacity && !fits {
            return StartAnswer::Refused(RefusalReason::InsufficientCapacity);
        }
        attempt.started_ms = clock;
        attempt.finish_ms = clock + attempt.finish_ms * self.slowness;
        self.running.push(attempt);
        StartAnswer::Started
    }

    /// Executes a command to stop an attempt, which ends after `stop_delay`
    /// milliseconds. An attempt that is not running can't be started later.
    /// Returns `false` if the fencing token is stale.
    pub fn stop(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        token: FencingToken,
        stop_delay: u64,
        now_ms: u64,
    ) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        let clock = self.clock(now_ms);
        match self.running.iter_mut().find(|each| each.task == task && each.attempt == attempt) {
            Some(running) => _ = running.stop_ms.get_or_insert(clock + stop_delay),
            None => {
                let closed = self.closed_attempts.entry(task).or_default();
                *closed = (*closed).max(attempt);
            }
        }
        true
    }

    /// Answers a poll of the leader, which may extend the lease to `deadline`, in
    /// milliseconds of the worker's clock, and acknowledges ended attempts up to the
    /// number `acknowledged`. Returns `None` if the fencing token is stale.
    pub fn poll(
        &mut self,
        token: FencingToken,
        deadline: Option<u64>,
        acknowledged: u64,
        now_ms: u64,
    ) -> Option<Report> {
        if token < self.token {
            return None;
        }
        self.token = token;
        let clock = self.clock(now_ms);
        if let Some(deadline) = deadline {
            self.extend_lease(deadline, clock);
        }
        self.acknowledged = self.acknowledged.max(acknowledged);
        self.ended.retain(|ended| ended.number > acknowledged);
        // A continuous attempt reports 100 percent from 800 ms after its start, and any
        // other attempt at most 99 percent.
        let percent = |attempt: &TaskAttempt| match attempt.continuous {
            true if clock >= attempt.started_ms + 800 => 100,
            _ => ((clock - attempt.started_ms) * 99
                / (attempt.finish_ms - attempt.started_ms).max(1))
            .min(99) as u8,
        };
        let status = |attempt: &TaskAttempt| RunningAttempt {
            task: attempt.task,
            attempt: attempt.attempt,
            checkpoint: SmolStr::default(),
            percent: percent(attempt),
            gauge: 0.0,
        };
        Some(Report {
            start_ms: Some(self.start_ms),
            clock_ms: clock,
            running: self.running.iter().map(status).collect(),
            ended: self.ended.clone(),
        })
    }
}
