//! Admission of new jobs while their pool is contended.
//!
//! Load that this module handles: a team requests several times what it gets of a
//! full pool. If all its jobs were accepted, some would end too late to have value, and
//! their callers would learn it too late to go elsewhere. A job that can't be done while
//! it has value is rejected at once. A job that can be done is never rejected: the wait
//! is a lower bound, computed from work that goes before the job in any case.

use vg_base::prelude::*;

use crate::order::rank::{LATE_FACTOR, objective};
use crate::shares::advice_load::QueueAdvice;
use crate::shares::load::{Backlog, LoadDigest, PoolLoad, TeamLoad};
use crate::{JobSpec, Queue, SizeClass};

/// Age from which a digest is not used.
pub const DIGEST_MAX_AGE: Duration = Duration::from_secs(1);
/// Time for which a pool has had no machine from which its jobs are rejected.
const MAX_EMPTY_TIME: Duration = Duration::from_secs(2);
/// Time after which jobs for a pool without machines are to be sent again.
const EMPTY_RETRY: Duration = Duration::from_secs(5);
/// Smallest allocation in machines that is calculated with.
const MIN_ALLOCATION: f64 = 1e-3;

/// Whether a new job is accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is accepted.
    Admit,
    /// It can't be done while it has value.
    Reject(Rejection),
}

/// Why a job is rejected, and when its team will have capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Lower bound of the time until it could start; `None` if its pool has no machine.
    pub wait: Option<Duration>,
    /// Time within which it would have to start.
    pub limit: Duration,
    /// Time that the team's allocation takes for the work before it.
    pub backlog: Duration,
    /// Time that the team's allocation takes for its own work.
    pub own: Duration,
}

/// Times of a job by which its admission is decided.
#[derive(Debug, Clone, Copy)]
struct JobTimes {
    /// Estimated duration of the longest chain of steps.
    chain: Duration,
    objective: Duration,
}

impl JobTimes {
    fn new(spec: &JobSpec, queue: &Queue) -> JobTimes {
        let chain = spec.critical_paths().into_iter().max().unwrap_or_default();
        JobTimes { chain, objective: objective(chain, queue.stretch, queue.slack) }
    }

    /// Returns the time until which it must have started to meet its objective.
    fn on_time_start(&self) -> Duration {
        self.objective.saturating_sub(self.chain)
    }

    /// Returns the time until which it must have started to have value.
    fn last_start(&self) -> Duration {
        self.objective.mul_f64(LATE_FACTOR).saturating_sub(self.chain)
    }
}

/// Decides whether a new job of `queue` is accepted, by a digest whose content is `age`
/// old.
///
/// What certainly goes before a job is the work of its own size class, as the classes
/// of a team take turns, and this only if no larger job of the class waits.
///
/// An on-time job is served before late ones. So it is rejected only if it can neither
/// start behind the on-time work before it becomes late, nor behind all work that still
/// has value before it becomes worthless.
pub fn decide(digest: &LoadDigest, age: Duration, spec: &JobSpec, queue: &Queue) -> Admission {
    if age > DIGEST_MAX_AGE || spec.is_continuous() || spec.schedule.is_some() {
        return Admission::Admit;
    }
    let times = JobTimes::new(spec, queue);
    if let Some(rejection) = digest.advice(&spec.queue).and_then(|load| unadvised(load, &times)) {
        return Admission::Reject(rejection);
    }
    let Some(pool) = digest.pool(&queue.pool) else { return Admission::Admit };
    if let Some(empty_for) = pool.empty_for {
        return decide_empty(empty_for, &times);
    }
    let Some(team) = pool.team(spec.team.as_ref()) else { return Admission::Admit };
    if !pool.is_largest(spec) {
        return Admission::Admit;
    }
    let ahead = Ahead { pool, team, priority: queue.priority, class: pool.class(spec) };
    let wait = ahead.wait(true);
    if ahead.wait(false) <= times.on_time_start() || wait <= times.last_start() {
        return Admission::Admit;
    }
    let allocation = ahead.allocation();
    Admission::Reject(Rejection {
        wait: Some(wait),
        limit: times.last_start(),
        backlog: seconds(ahead.own_work(true) / allocation),
        own: seconds(pool.job_work(spec) / allocation),
    })
}

/// Returns the rejection of a job that would be answered by the adviser neither in time to be
/// on time nor in time to have value.
fn unadvised(load: &QueueAdvice, times: &JobTimes) -> Option<Rejection> {
    let own = Duration::from_millis(load.own_ms.into());
    let on_time = Duration::from_millis(load.on_time_ms.into()) + own;
    let late = Duration::from_millis(load.late_ms.into()) + own;
    let (limit, backlog) = (times.last_start(), late);
    let is_hopeless = on_time > times.on_time_start() && late > limit;
    is_hopeless.then_some(Rejection { wait: Some(late), limit, backlog, own })
}

/// Decides on a job whose pool has had no machine for a time.
fn decide_empty(empty_for: Duration, times: &JobTimes) -> Admission {
    if empty_for < MAX_EMPTY_TIME {
        return Admission::Admit;
    }
    let limit = times.last_start();
    let own = Duration::ZERO;
    Admission::Reject(Rejection { wait: None, limit, backlog: EMPTY_RETRY, own })
}

/// Returns the time until a new job of a class and priority of a team could start at
/// the earliest.
pub fn expected_wait(
    pool: &PoolLoad,
    team: &TeamLoad,
    priority: u32,
    class: SizeClass,
) -> Duration {
    Ahead { pool, team, priority, class }.wait(true)
}

/// The work that goes before a new job.
struct Ahead<'a> {
    pool: &'a PoolLoad,
    team: &'a TeamLoad,
    priority: u32,
    class: SizeClass,
}

impl Ahead<'_> {
    /// Returns the team's allocation in machines.
    fn allocation(&self) -> f64 {
        self.team.allocation.as_machines().max(MIN_ALLOCATION)
    }

    /// Returns the work of the same team that goes before the job, in machine-seconds.
    fn own_work(&self, with_late: bool) -> f64 {
        self.backlogs_of(self.team).map(|backlog| backlog.work(self.class, with_late)).sum()
    }

    /// Returns the backlogs of a team that have the priority of the job or a higher one.
    fn backlogs_of<'b>(&self, team: &'b TeamLoad) -> impl Iterator<Item = &'b Backlog> {
        let priority = self.priority;
        team.backlogs.iter().filter(move |each| each.priority <= priority)
    }

    /// Returns a lower bound of the wait.
    ///
    /// While the team works off what goes before the job, each other team gets
    /// capacity in the ratio of the allocations until its own backlog is done. The whole
    /// pool takes the sum. If all others have a large backlog, this is the team's work
    /// over its allocation; if none has, it is its work over the pool's capacity. When the
    /// last task before the job has started, the tasks before it have at most the longest
    /// one of them left to run, so that this much is subtracted.
    fn wait(&self, with_late: bool) -> Duration {
        let own = self.own_work(with_late);
        let capacity = self.pool.capacity.as_machines();
        if own <= 0.0 || capacity <= 0.0 {
            return Duration::ZERO;
        }
        let time = own / self.allocation();
        let others = self.pool.teams.iter().filter(|each| each.team != self.team.team);
        let others = others.map(|each| {
            let served = each.allocation.as_machines() * time;
            let waiting = self.backlogs_of(each).map(|backlog| backlog.total(with_late));
            served.min(waiting.sum())
        });
        let bound = ((own + others.sum::<f64>()) / capacity).min(time);
        seconds(bound).saturating_sub(self.longest_task())
    }

    fn longest_task(&self) -> Duration {
        let longest = self.team.backlogs.iter().map(|backlog| backlog.longest(self.class));
        longest.max().unwrap_or_default()
    }
}

/// Converts from seconds; values out of range become the longest duration.
fn seconds(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
}
