//! Placement rounds, which assign waiting jobs to workers.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::workers::{Need, WorkerKey};
use crate::{Class, JobState, Lane, LanePolicy, LaneView, Now, Resources, WorkerIncarnation};

/// Number of jobs of a lane that are fetched at once.
const LANE_FETCH_MAX: usize = 32;

/// Number of failed searches since the last placement after which a round leaves a
/// lane.
const SEARCHES_MAX: usize = 16;

/// Number of jobs that a round skips in one lane in all. Most of them are skipped
/// without a search, because a job that is no larger has already fitted nowhere.
const SKIPS_MAX: usize = 64;

/// Largest number of urgent jobs for which a round preempts background jobs.
const PREEMPT_MAX: usize = 32;

/// Result of a placement round.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoundReport {
    /// Number of jobs placed.
    pub placed: usize,
    /// Number of jobs that the round tried to place.
    pub tried: usize,
    /// Number of urgent jobs for which background jobs are being preempted.
    pub preempting: usize,
}

/// Position of a round in one lane.
struct Cursor {
    /// Jobs of the lane that were fetched and come after `next`.
    jobs: std::vec::IntoIter<JobKey>,
    /// Job to try next.
    next: JobKey,
    /// Failed searches since the last placement.
    searches: usize,
    /// Jobs skipped in all.
    skipped: usize,
}

/// Requirements of a job that fitted on no worker. A job of at least the same size and
/// with otherwise the same requirements need not be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedSearch {
    class: Class,
    idempotent: bool,
    /// Whether the job needs accelerators. Jobs that need none may not use the
    /// capacity that is kept for accelerators.
    needs_accelerators: bool,
    size: Resources,
}

impl FailedSearch {
    fn new(need: &Need<'_>) -> FailedSearch {
        let needs_accelerators = need.size.accelerators.0 > 0;
        FailedSearch {
            class: need.class,
            idempotent: need.idempotent,
            needs_accelerators,
            size: need.size,
        }
    }

    /// Whether `other` can't fit either.
    fn rules_out(&self, other: &FailedSearch) -> bool {
        self.size.fits(&other.size) && FailedSearch { size: other.size, ..*self } == *other
    }
}

/// State of a placement round.
struct Round {
    views: Vec<LaneView>,
    cursors: Vec<Cursor>,
    /// Requirements for which no worker was found.
    failed_searches: Vec<FailedSearch>,
    /// Teams that have no permit left.
    out_of_permits: HashSet<TeamId>,
    /// Urgent jobs that fitted on no worker.
    unplaced: Vec<JobKey>,
    report: RoundReport,
}

impl Shard {
    /// Places waiting jobs on workers with enough free capacity.
    ///
    /// `may_start` takes one permit of a team, and returns whether there was one.
    /// It is called only for a job that has a worker, or for which background jobs may
    /// be preempted. In the second case the permit is released at once.
    pub fn place(
        &mut self,
        policy: &mut impl LanePolicy,
        mut may_start: impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> RoundReport {
        if self.journal.is_fenced() || self.is_store_backlogged() {
            return RoundReport::default();
        }
        let mut round = self.start_round(policy);
        while let Some(index) = policy.pick(&round.views).filter(|&index| index < round.views.len())
        {
            let Some(share) = self.try_next(&mut round, index, &mut may_start, now) else {
                continue;
            };
            policy.placed(&round.views[index], share);
            round.add_usage(index, share);
            self.advance(&mut round, index);
        }
        let unplaced = std::mem::take(&mut round.unplaced);
        let unplaced: Vec<JobKey> = unplaced.into_iter().take(PREEMPT_MAX).collect();
        round.report.preempting = self.preempt_for_jobs(&unplaced, &mut may_start, now);
        round.report
    }

    /// Whether too many staged changes wait for the store. More placements would
    /// then only hold capacity and permits for starts that can't be sent.
    fn is_store_backlogged(&self) -> bool {
        self.journal.staged_bytes() >= self.limits.max_staged_bytes
    }

    /// Returns the fraction of the pool that each team holds.
    fn team_shares(&self) -> HashMap<TeamId, f64> {
        let total = self.workers.total();
        self.team_usage
            .iter()
            .map(|(team, held)| (team.clone(), held.dominant_share(total)))
            .collect()
    }

    /// Starts a round with the first job of each lane.
    fn start_round(&self, policy: &impl LanePolicy) -> Round {
        let team_shares = self.team_shares();
        let mut round = Round {
            views: Vec::new(),
            cursors: Vec::new(),
            failed_searches: Vec::new(),
            out_of_permits: HashSet::new(),
            unplaced: Vec::new(),
            report: RoundReport::default(),
        };
        for (lane, next) in self.lanes.heads() {
            let start_by = self.jobs[next].spec.start_by;
            let weight = policy.weight(&lane.team).max(f64::MIN_POSITIVE);
            let used = team_shares.get(&lane.team).copied().unwrap_or(0.0);
            round.views.push(LaneView { lane, start_by, weight, used });
            round.cursors.push(Cursor {
                jobs: Vec::new().into_iter(),
                next,
                searches: 0,
                skipped: 0,
            });
        }
        round
    }

    /// Tries to place the next job of a lane. Returns the fraction of the pool that
    /// the job takes, or `None` if it was not placed and the round has moved on.
    fn try_next(
        &mut self,
        round: &mut Round,
        index: usize,
        may_start: &mut impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> Option<f64> {
        round.report.tried += 1;
        let key = round.cursors[index].next;
        let lane = round.views[index].lane.clone();
        if round.out_of_permits.contains(&lane.team) {
            round.close_lane(index);
            return None;
        }
        let size = self.planned(key, &lane);
        let Some(worker) = self.find_worker(key, size, round, index, now) else {
            self.skip(round, index);
            return None;
        };
        if !may_start(&lane.team) {
            round.out_of_permits.insert(lane.team.clone());
            round.close_lane(index);
            return None;
        }
        round.cursors[index].searches = 0;
        self.place_on(key, worker, size, now);
        round.report.placed += 1;
        Some(size.dominant_share(self.workers.total()))
    }

    /// Returns the size to plan a job with: the learned size if a host can hold it,
    /// otherwise the declared size.
    pub(super) fn planned(&self, key: JobKey, lane: &Lane) -> Resources {
        let declared = self.jobs[key].spec.size;
        let learned = self.estimates.size(lane, &declared);
        if self.workers.could_hold(&learned) { learned } else { declared }
    }

    /// Finds a worker for a job, unless an earlier failed search rules it out.
    fn find_worker(
        &self,
        key: JobKey,
        size: Resources,
        round: &mut Round,
        index: usize,
        now: Now,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let (class, idempotent) = (job.spec.class, job.spec.idempotent);
        let need = Need { size, class, idempotent, avoid: &job.failed_on, limits: &self.limits };
        let shape = FailedSearch::new(&need);
        if round.failed_searches.iter().any(|failed| failed.rules_out(&shape)) {
            return None;
        }
        round.cursors[index].searches += 1;
        let found = self.workers.find_for(&need, now.mono);
        // The workers that one job avoids say nothing about other jobs of its size.
        if found.is_none() && job.failed_on.is_empty() {
            round.failed_searches.retain(|failed| !shape.rules_out(failed));
            round.failed_searches.push(shape);
        }
        found.or_else(|| self.find_any_worker(&need, now))
    }

    /// Finds a worker even among those that the job has failed on, since no other worker
    /// can take the job.
    fn find_any_worker(&self, need: &Need<'_>, now: Now) -> Option<WorkerKey> {
        if need.avoid.is_empty() {
            return None;
        }
        self.workers.find_for(&Need { avoid: &[], ..*need }, now.mono)
    }

    /// Moves on to the next job of the lane.
    fn advance(&self, round: &mut Round, index: usize) {
        let last = self.jobs[round.cursors[index].next].position();
        let next = round.cursors[index].jobs.next().or_else(|| {
            let chunk = self.lanes.next_after(&round.views[index].lane, last, LANE_FETCH_MAX);
            round.cursors[index].jobs = chunk.into_iter();
            round.cursors[index].jobs.next()
        });
        match next {
            Some(next) => {
                round.cursors[index].next = next;
                round.views[index].start_by = self.jobs[next].spec.start_by;
            }
            None => round.close_lane(index),
        }
    }

    /// Skips a job that fits on no worker.
    fn skip(&self, round: &mut Round, index: usize) {
        let cursor = &mut round.cursors[index];
        if round.views[index].lane.class == Class::Urgent {
            round.unplaced.push(cursor.next);
        }
        cursor.skipped += 1;
        if cursor.searches >= SEARCHES_MAX || cursor.skipped >= SKIPS_MAX {
            round.close_lane(index);
        } else {
            self.advance(round, index);
        }
    }

    /// Places a job on a worker as a new attempt, and stages the change. The start
    /// is sent when the change is durable.
    fn place_on(&mut self, key: JobKey, worker: WorkerKey, size: Resources, now: Now) {
        let Some(target) = self.workers.get(worker) else { return };
        let instance =
            WorkerIncarnation { worker: target.host.clone(), incarnation: target.incarnation };
        let job = &mut self.jobs[key];
        job.attempt = job.attempt.next();
        job.instance = Some(instance);
        job.start_sent = false;
        job.expires = now.wall + self.limits.start_validity;
        let attempt = job.attempt;
        self.assign(key, worker, size);
        if self.transition(key, JobState::Placed, now) {
            self.persist(key, Some(Effect::Start(key, attempt)), now);
        }
    }
}

impl Round {
    /// Adds a placement to the usage of all lanes of the team.
    fn add_usage(&mut self, index: usize, share: f64) {
        let team = self.views[index].lane.team.clone();
        let same = self.views.iter_mut().filter(|view| view.lane.team == team);
        same.for_each(|view| view.used += share);
    }

    /// Ends the round for a lane.
    fn close_lane(&mut self, index: usize) {
        self.views.swap_remove(index);
        self.cursors.swap_remove(index);
    }
}
