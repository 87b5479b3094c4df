//! A worker that runs tasks under a lease and a fence, without I/O.

use std::collections::HashMap;

use smol_str::SmolStr;
use vg_flow::{
    AttemptNumber, AttemptOutcome, EndedAttempt, FencingToken, RefusalReason, Report,
    RunningAttempt, StartAnswer, StartCommand, TaskId,
};
use vg_jobs::Resources;

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The start.
    pub attempt: AttemptNumber,
    /// Worker time at which it started.
    pub started_ms: u64,
    /// Worker time at which it ends by itself; before the start, its duration.
    pub finish_ms: u64,
    /// How it ends by itself.
    pub outcome: AttemptOutcome,
    /// Room that it takes.
    pub reservation: Resources,
    /// Whether it runs until it is stopped.
    pub continuous: bool,
    /// Worker time at which a stop takes effect.
    pub stop_ms: Option<u64>,
}

/// A worker: its clock starts at its birth and may be slow.
#[derive(Debug, Clone)]
pub struct SimulatedWorker {
    /// Its id.
    pub id: SmolStr,
    /// World time in ms at which this life began.
    pub start_ms: u64,
    /// Its pool.
    pub pool: SmolStr,
    /// Its machine.
    pub machine: SmolStr,
    /// What it has.
    pub capacity: Resources,
    /// Parts of a thousand by which its clock is slow.
    pub clock_drift: u64,
    /// Times as long as usual that tasks take there.
    pub slowness: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Whether the leader reaches it.
    pub reachable: bool,
    /// Highest fence seen.
    pub token: FencingToken,
    /// End of the lease on its clock.
    pub deadline_ms: u64,
    /// What runs.
    pub running: Vec<TaskAttempt>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedAttempt>,
    next_end: u64,
    /// Highest run that was stopped or ended here, by task.
    closed: HashMap<TaskId, AttemptNumber>,
    /// Number of the last end that was acknowledged.
    pub acknowledged: u64,
    /// Number of the last end before the lease last lapsed.
    pub expiry_number: u64,
}

impl SimulatedWorker {
    /// Makes a worker that runs nothing.
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
            clock_drift: 0,
            slowness: 1,
            up: true,
            reachable: true,
            token: FencingToken(0),
            deadline_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: HashMap::new(),
            acknowledged: 0,
            expiry_number: 0,
        }
    }

    /// Reading of its clock at `ms` of the world.
    pub fn clock(&self, ms: u64) -> u64 {
        let age = ms.saturating_sub(self.start_ms);
        age - age * self.clock_drift / 1000
    }

    /// Starts another life under the same id.
    pub fn restart(&mut self, ms: u64) {
        let fresh = SimulatedWorker::new(&self.id, &self.pool, &self.machine, ms, self.capacity);
        *self =
            SimulatedWorker { clock_drift: self.clock_drift, reachable: self.reachable, ..fresh };
    }

    /// Returns the room in use.
    pub fn used(&self) -> Resources {
        self.running.iter().fold(Resources::ZERO, |sum, held| sum.plus(&held.reservation))
    }

    fn end(&mut self, held: &TaskAttempt, how: AttemptOutcome) -> EndedAttempt {
        let closed = self.closed.entry(held.task).or_default();
        *closed = (*closed).max(held.attempt);
        let number = self.next_end;
        self.next_end += 1;
        let row = EndedAttempt {
            number,
            task: held.task,
            attempt: held.attempt,
            outcome: how,
            checkpoint: SmolStr::default(),
        };
        self.ended.push(row.clone());
        row
    }

    /// Lets time pass; returns the ends.
    pub fn advance(&mut self, ms: u64) -> Vec<EndedAttempt> {
        if !self.up {
            return Vec::new();
        }
        let clock = self.clock(ms);
        let mut ends = Vec::new();
        for held in std::mem::take(&mut self.running) {
            let own = (!held.continuous && held.finish_ms <= clock)
                .then_some((held.finish_ms, held.outcome));
            let stop =
                held.stop_ms.filter(|&at| at <= clock).map(|at| (at, AttemptOutcome::Stopped));
            let lapse = (clock > self.deadline_ms)
                .then_some((self.deadline_ms, AttemptOutcome::LeaseExpired));
            let first = [own, stop, lapse].into_iter().flatten().min_by_key(|(at, _)| *at);
            match first {
                Some((_, how)) => ends.push(self.end(&held, how)),
                None => self.running.push(held),
            }
        }
        if clock > self.deadline_ms {
            self.expiry_number = self.next_end - 1;
        }
        ends
    }

    /// Carries out an order to start.
    pub fn start(
        &mut self,
        start: &StartCommand,
        fence: FencingToken,
        mut held: TaskAttempt,
        ms: u64,
    ) -> StartAnswer {
        let clock = self.clock(ms);
        if fence < self.token {
            return StartAnswer::Refused(RefusalReason::StaleToken);
        }
        self.token = fence;
        if self.running.iter().any(|each| each.task == start.task && each.attempt == start.attempt)
        {
            return StartAnswer::Started;
        }
        if self.closed.get(&start.task).is_some_and(|&run| start.attempt <= run) {
            return StartAnswer::Refused(RefusalReason::StaleAttempt);
        }
        if start.deadline_ms < clock {
            return StartAnswer::Refused(RefusalReason::Expired);
        }
        self.deadline_ms = self.deadline_ms.max(start.deadline_ms);
        if !held.reservation.fits(&self.capacity.minus(&self.used())) {
            return StartAnswer::Refused(RefusalReason::InsufficientCapacity);
        }
        held.started_ms = clock;
        held.finish_ms = clock + held.finish_ms * self.slowness;
        self.running.push(held);
        StartAnswer::Started
    }

    /// Carries out an order to stop; returns whether the fence allowed it.
    pub fn stop(
        &mut self,
        task: TaskId,
        run: AttemptNumber,
        fence: FencingToken,
        takes: u64,
        ms: u64,
    ) -> bool {
        if fence < self.token {
            return false;
        }
        self.token = fence;
        let clock = self.clock(ms);
        match self.running.iter_mut().find(|held| held.task == task && held.attempt == run) {
            Some(held) => _ = held.stop_ms.get_or_insert(clock + takes),
            None => {
                let closed = self.closed.entry(task).or_default();
                *closed = (*closed).max(run);
            }
        }
        true
    }

    /// Answers a look; `None` if the fence is too low.
    pub fn poll(
        &mut self,
        fence: FencingToken,
        deadline: Option<u64>,
        seen: u64,
        ms: u64,
    ) -> Option<Report> {
        if fence < self.token {
            return None;
        }
        self.token = fence;
        if let Some(deadline) = deadline {
            self.deadline_ms = self.deadline_ms.max(deadline);
        }
        self.acknowledged = self.acknowledged.max(seen);
        self.ended.retain(|row| row.number > seen);
        let clock = self.clock(ms);
        let percent = |held: &TaskAttempt| match held.continuous {
            true if clock >= held.started_ms + 800 => 100,
            _ => ((clock - held.started_ms) * 99 / (held.finish_ms - held.started_ms).max(1))
                .min(99) as u8,
        };
        let row = |held: &TaskAttempt| RunningAttempt {
            task: held.task,
            attempt: held.attempt,
            checkpoint: SmolStr::default(),
            percent: percent(held),
            gauge: 0.0,
        };
        Some(Report {
            start_ms: Some(self.start_ms),
            clock_ms: clock,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.clone(),
        })
    }
}
