//! A round of placement.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::workers::{Need, WorkerKey};
use crate::{Class, JobState, Lane, LanePolicy, LaneView, Now, Resources, WorkerInstance};

/// Jobs of a lane that are fetched at once.
const LANE_CHUNK: usize = 32;

/// Jobs of a lane that a round seeks a worker for in vain.
const LOOK_AHEAD: usize = 16;

/// Jobs of a lane that a round passes over in all, most of them because no
/// smaller one fitted either.
const PASS_MAX: usize = 64;

/// Most urgent jobs that a round makes room for.
const PREEMPT_MAX: usize = 32;

/// What a round did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoundReport {
    /// Jobs placed.
    pub placed: usize,
    /// Jobs looked at.
    pub tried: usize,
    /// Urgent jobs that room is being made for.
    pub preempting: usize,
}

/// The jobs of a lane that are still to be tried.
struct Cursor {
    jobs: std::vec::IntoIter<JobKey>,
    next: JobKey,
    sought: usize,
    passed: usize,
}

/// A job that fitted nowhere; larger ones like it need not be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unfit {
    class: Class,
    idempotent: bool,
    /// Whether it needs accelerators: others may not take their hosts' room.
    special: bool,
    size: Resources,
}

impl Unfit {
    fn new(need: &Need<'_>) -> Unfit {
        let special = need.size.accelerators.0 > 0;
        Unfit { class: need.class, idempotent: need.idempotent, special, size: need.size }
    }

    /// Whether `other` can't fit either.
    fn rules_out(&self, other: &Unfit) -> bool {
        self.size.fits(&other.size) && Unfit { size: other.size, ..*self } == *other
    }
}

/// A round under way.
struct Round {
    views: Vec<LaneView>,
    cursors: Vec<Cursor>,
    /// Jobs that fitted nowhere.
    unfit: Vec<Unfit>,
    /// Teams without a unit.
    spent: HashSet<TeamId>,
    stuck: Vec<JobKey>,
    report: RoundReport,
}

impl Shard {
    /// Places waiting jobs as far as there is room. `may_start` takes one unit
    /// of a team, and is asked only for a job that has room.
    pub fn place(
        &mut self,
        order: &mut impl LanePolicy,
        mut may_start: impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> RoundReport {
        if self.journal.is_fenced() || self.is_choked() {
            return RoundReport::default();
        }
        let mut round = self.open_round(order);
        while let Some(at) = order.pick(&round.views).filter(|&at| at < round.views.len()) {
            let Some(part) = self.try_next(&mut round, at, &mut may_start, now) else { continue };
            order.placed(&round.views[at], part);
            round.charge(at, part);
            self.advance(&mut round, at);
        }
        let stuck = std::mem::take(&mut round.stuck);
        let stuck: Vec<JobKey> = stuck.into_iter().take(PREEMPT_MAX).collect();
        round.report.preempting = self.make_room(&stuck, &mut may_start, now);
        round.report
    }

    /// While the store does not take batches, more placements would only hold
    /// room and units for starts that can't be sent.
    fn is_choked(&self) -> bool {
        self.journal.staged_bytes() >= self.limits.staged_bytes
    }

    fn parts(&self) -> HashMap<TeamId, f64> {
        let total = self.workers.total();
        self.held.iter().map(|(team, held)| (team.clone(), held.dominant_share(total))).collect()
    }

    fn open_round(&self, order: &impl LanePolicy) -> Round {
        let parts = self.parts();
        let mut round = Round {
            views: Vec::new(),
            cursors: Vec::new(),
            unfit: Vec::new(),
            spent: HashSet::new(),
            stuck: Vec::new(),
            report: RoundReport::default(),
        };
        for (lane, next) in self.lanes.heads() {
            let start_by = self.jobs[next].spec.start_by;
            let weight = order.weight(&lane.team).max(f64::MIN_POSITIVE);
            let used = parts.get(&lane.team).copied().unwrap_or(0.0);
            round.views.push(LaneView { lane, start_by, weight, used });
            round.cursors.push(Cursor { jobs: Vec::new().into_iter(), next, sought: 0, passed: 0 });
        }
        round
    }

    /// Tries the next job of a lane. Gives the part of the pool that it took;
    /// otherwise the round has moved on.
    fn try_next(
        &mut self,
        round: &mut Round,
        at: usize,
        may_start: &mut impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> Option<f64> {
        round.report.tried += 1;
        let key = round.cursors[at].next;
        let lane = round.views[at].lane.clone();
        if round.spent.contains(&lane.team) {
            round.close(at);
            return None;
        }
        let size = self.planned(key, &lane);
        let Some(worker) = self.seek(key, size, round, at, now) else {
            self.pass(round, at);
            return None;
        };
        if !may_start(&lane.team) {
            round.spent.insert(lane.team.clone());
            round.close(at);
            return None;
        }
        round.cursors[at].sought = 0;
        self.put(key, worker, size, now);
        round.report.placed += 1;
        Some(size.dominant_share(self.workers.total()))
    }

    /// Returns the size to plan with: the learned one, if a host can hold it.
    pub(super) fn planned(&self, key: JobKey, lane: &Lane) -> Resources {
        let declared = self.jobs[key].spec.size;
        let learned = self.estimates.size(lane, &declared);
        if self.workers.could_hold(&learned) { learned } else { declared }
    }

    fn seek(
        &self,
        key: JobKey,
        size: Resources,
        round: &mut Round,
        at: usize,
        now: Now,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let (class, idempotent) = (job.spec.class, job.spec.idempotent);
        let need = Need { size, class, idempotent, avoid: &job.failed_on, limits: &self.limits };
        let shape = Unfit::new(&need);
        if round.unfit.iter().any(|unfit| unfit.rules_out(&shape)) {
            return None;
        }
        round.cursors[at].sought += 1;
        let found = self.workers.seek(&need, now.mono);
        // What one job avoids says nothing about others of its size.
        if found.is_none() && job.failed_on.is_empty() {
            round.unfit.retain(|unfit| !shape.rules_out(unfit));
            round.unfit.push(shape);
        }
        found.or_else(|| self.seek_again(&need, now))
    }

    /// A job that has failed on every worker with room may try one again.
    fn seek_again(&self, need: &Need<'_>, now: Now) -> Option<WorkerKey> {
        if need.avoid.is_empty() {
            return None;
        }
        self.workers.seek(&Need { avoid: &[], ..*need }, now.mono)
    }

    /// Goes on to the lane's next job.
    fn advance(&self, round: &mut Round, at: usize) {
        let last = self.jobs[round.cursors[at].next].place();
        let next = round.cursors[at].jobs.next().or_else(|| {
            let chunk = self.lanes.after(&round.views[at].lane, last, LANE_CHUNK);
            round.cursors[at].jobs = chunk.into_iter();
            round.cursors[at].jobs.next()
        });
        match next {
            Some(next) => {
                round.cursors[at].next = next;
                round.views[at].start_by = self.jobs[next].spec.start_by;
            }
            None => round.close(at),
        }
    }

    /// Passes over a job that fits nowhere.
    fn pass(&self, round: &mut Round, at: usize) {
        let cursor = &mut round.cursors[at];
        if round.views[at].lane.class == Class::Urgent {
            round.stuck.push(cursor.next);
        }
        cursor.passed += 1;
        if cursor.sought >= LOOK_AHEAD || cursor.passed >= PASS_MAX {
            round.close(at);
        } else {
            self.advance(round, at);
        }
    }

    fn put(&mut self, key: JobKey, worker: WorkerKey, size: Resources, now: Now) {
        let Some(held) = self.workers.get(worker) else { return };
        let instance = WorkerInstance { worker: held.host.clone(), incarnation: held.incarnation };
        let job = &mut self.jobs[key];
        job.attempt = job.attempt.next();
        job.instance = Some(instance);
        job.sent = false;
        job.expires = now.wall + self.limits.start_validity;
        let attempt = job.attempt;
        self.assign(key, worker, size);
        if self.step(key, JobState::Placed, now) {
            self.persist(key, Some(Effect::Start(key, attempt)), now);
        }
    }
}

impl Round {
    /// Counts a placement for all lanes of the team.
    fn charge(&mut self, at: usize, part: f64) {
        let team = self.views[at].lane.team.clone();
        let same = self.views.iter_mut().filter(|view| view.lane.team == team);
        same.for_each(|view| view.used += part);
    }

    fn close(&mut self, at: usize) {
        self.views.swap_remove(at);
        self.cursors.swap_remove(at);
    }
}
