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
pub struct HeldRun {
    /// The task.
    pub task: TaskId,
    /// The start.
    pub run: AttemptNumber,
    /// Worker time at which it started.
    pub since: u64,
    /// Worker time at which it ends by itself; before the start, its duration.
    pub ends: u64,
    /// How it ends by itself.
    pub how: AttemptOutcome,
    /// Room that it takes.
    pub room: Resources,
    /// Whether it runs until it is stopped.
    pub lasting: bool,
    /// Worker time at which a stop takes effect.
    pub stops: Option<u64>,
}

/// A worker: its clock starts at its birth and may be slow.
#[derive(Debug, Clone)]
pub struct FleetWorker {
    /// Its id.
    pub id: SmolStr,
    /// World time in ms at which this life began.
    pub born: u64,
    /// Its pool.
    pub pool: SmolStr,
    /// Its machine.
    pub machine: SmolStr,
    /// What it has.
    pub capacity: Resources,
    /// Parts of a thousand by which its clock is slow.
    pub slow: u64,
    /// Times as long as usual that tasks take there.
    pub drag: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Whether the leader reaches it.
    pub reachable: bool,
    /// Highest fence seen.
    pub fence: FencingToken,
    /// End of the lease on its clock.
    pub deadline: u64,
    /// What runs.
    pub running: Vec<HeldRun>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedAttempt>,
    next_end: u64,
    /// Highest run that was stopped or ended here, by task.
    closed: HashMap<TaskId, AttemptNumber>,
    /// Number of the last end that was acknowledged.
    pub seen: u64,
    /// Number of the last end before the lease last lapsed.
    pub lapsed_at: u64,
}

impl FleetWorker {
    /// Makes a worker that runs nothing.
    pub fn new(id: &str, pool: &str, machine: &str, born: u64, capacity: Resources) -> FleetWorker {
        FleetWorker {
            id: id.into(),
            born,
            pool: pool.into(),
            machine: machine.into(),
            capacity,
            slow: 0,
            drag: 1,
            up: true,
            reachable: true,
            fence: FencingToken(0),
            deadline: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: HashMap::new(),
            seen: 0,
            lapsed_at: 0,
        }
    }

    /// Reading of its clock at `ms` of the world.
    pub fn clock(&self, ms: u64) -> u64 {
        let age = ms.saturating_sub(self.born);
        age - age * self.slow / 1000
    }

    /// Starts another life under the same id.
    pub fn restart(&mut self, ms: u64) {
        let fresh = FleetWorker::new(&self.id, &self.pool, &self.machine, ms, self.capacity);
        *self = FleetWorker { slow: self.slow, reachable: self.reachable, ..fresh };
    }

    /// Returns the room in use.
    pub fn used(&self) -> Resources {
        self.running.iter().fold(Resources::ZERO, |sum, held| sum.plus(&held.room))
    }

    fn end(&mut self, held: &HeldRun, how: AttemptOutcome) -> EndedAttempt {
        let closed = self.closed.entry(held.task).or_default();
        *closed = (*closed).max(held.run);
        let number = self.next_end;
        self.next_end += 1;
        let row = EndedAttempt {
            number,
            task: held.task,
            attempt: held.run,
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
            let own = (!held.lasting && held.ends <= clock).then_some((held.ends, held.how));
            let stop = held.stops.filter(|&at| at <= clock).map(|at| (at, AttemptOutcome::Stopped));
            let lapse =
                (clock > self.deadline).then_some((self.deadline, AttemptOutcome::LeaseExpired));
            let first = [own, stop, lapse].into_iter().flatten().min_by_key(|(at, _)| *at);
            match first {
                Some((_, how)) => ends.push(self.end(&held, how)),
                None => self.running.push(held),
            }
        }
        if clock > self.deadline {
            self.lapsed_at = self.next_end - 1;
        }
        ends
    }

    /// Carries out an order to start.
    pub fn start(
        &mut self,
        start: &StartCommand,
        fence: FencingToken,
        mut held: HeldRun,
        ms: u64,
    ) -> StartAnswer {
        let clock = self.clock(ms);
        if fence < self.fence {
            return StartAnswer::Refused(RefusalReason::StaleToken);
        }
        self.fence = fence;
        if self.running.iter().any(|each| each.task == start.task && each.run == start.attempt) {
            return StartAnswer::Started;
        }
        if self.closed.get(&start.task).is_some_and(|&run| start.attempt <= run) {
            return StartAnswer::Refused(RefusalReason::StaleAttempt);
        }
        if start.deadline_ms < clock {
            return StartAnswer::Refused(RefusalReason::Expired);
        }
        self.deadline = self.deadline.max(start.deadline_ms);
        if !held.room.fits(&self.capacity.minus(&self.used())) {
            return StartAnswer::Refused(RefusalReason::InsufficientCapacity);
        }
        held.since = clock;
        held.ends = clock + held.ends * self.drag;
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
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        let clock = self.clock(ms);
        match self.running.iter_mut().find(|held| held.task == task && held.run == run) {
            Some(held) => _ = held.stops.get_or_insert(clock + takes),
            None => {
                let closed = self.closed.entry(task).or_default();
                *closed = (*closed).max(run);
            }
        }
        true
    }

    /// Answers a look; `None` if the fence is too low.
    pub fn look(
        &mut self,
        fence: FencingToken,
        deadline: Option<u64>,
        seen: u64,
        ms: u64,
    ) -> Option<Report> {
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        if let Some(deadline) = deadline {
            self.deadline = self.deadline.max(deadline);
        }
        self.seen = self.seen.max(seen);
        self.ended.retain(|row| row.number > seen);
        let clock = self.clock(ms);
        let percent = |held: &HeldRun| match held.lasting {
            true if clock >= held.since + 800 => 100,
            _ => ((clock - held.since) * 99 / (held.ends - held.since).max(1)).min(99) as u8,
        };
        let row = |held: &HeldRun| RunningAttempt {
            task: held.task,
            attempt: held.run,
            checkpoint: SmolStr::default(),
            percent: percent(held),
            gauge: 0.0,
        };
        Some(Report {
            start_ms: Some(self.born),
            clock_ms: clock,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.clone(),
        })
    }
}
