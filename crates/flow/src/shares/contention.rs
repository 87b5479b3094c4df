//! Contention of pools, and what each team may use of a contended pool.
//!
//! Load that this module handles: the ready tasks of a pool do not fit into its free
//! capacity, and one team sends several times its usual load.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::config::SHARE_UNIT;
use crate::jobs::job::{Job, JobKey};
use crate::order::rank::Rank;
use crate::order::turns::served_part;
use crate::shares::past_usage::TeamUsage;
use crate::shares::teams::TeamIndex;
use crate::{Scheduler, SizeClass, WorkBySize};

/// A contended pool: its ready waiting tasks do not fit into the free capacity of its
/// usable workers.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolContention {
    /// The pool.
    pub pool: PoolId,
    /// Capacity in machines of its workers that are usable or have attempts.
    pub capacity: f64,
    /// Number of its usable workers.
    pub usable: usize,
    /// Teams that use the pool or wait for it.
    pub teams: Vec<TeamContention>,
}

/// What a team has and wants in a contended pool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamContention {
    /// The team; `None` stands for all jobs without a team.
    pub team: Option<TeamId>,
    /// Its share.
    pub share: Share,
    /// What it is entitled to now, in machines.
    pub allocation: f64,
    /// What its attempts and possible attempts use, in machines.
    pub usage: f64,
    /// Work of its waiting tasks that still has value, in machine-seconds. Continuous
    /// tasks are left out.
    pub waiting: WorkBySize,
    /// Whether it wants more than its allocation and has work waiting.
    pub is_above: bool,
}

/// State of a contended pool in a round.
#[derive(Debug)]
pub(crate) struct ContendedPool {
    pub(crate) id: PoolId,
    /// Capacity of the workers that are usable or have attempts.
    pub(crate) total: Resources,
    /// Number of these workers.
    pub(crate) machines: usize,
    pub(crate) usable: usize,
    /// By team index.
    pub(crate) teams: Vec<TeamState>,
}

/// What a team wants and uses of a contended pool, against its allocation. Teams are
/// served in this order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareStatus {
    /// It wants no more than its allocation, and has wanted no more in the last seconds.
    WithinShare,
    /// It wants more than its allocation, and has used no more in the last seconds.
    #[default]
    BelowAllocation,
    /// It wants more than its allocation, and has used more in the last seconds.
    AboveAllocation,
}

/// What a team has and wants in a contended pool in a round.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamState {
    /// What its attempts and possible attempts use; grows as tasks are placed.
    pub(crate) used: Resources,
    /// What its ready waiting tasks need that still have value.
    pub(crate) ready: Resources,
    /// Work of its waiting tasks that still has value, in machine-seconds.
    pub(crate) waiting: WorkBySize,
    /// Decayed work of its tasks that were started in the last seconds, in
    /// machine-seconds.
    pub(crate) served: WorkBySize,
    /// What it is entitled to, as a part of the pool.
    pub(crate) allocation: f64,
    pub(crate) status: ShareStatus,
    /// Its usage and wants at the beginning of the round.
    pub(crate) current: TeamUsage,
}

impl TeamState {
    /// Whether the team uses the pool or waits for it.
    fn is_involved(&self) -> bool {
        self.used != Resources::ZERO || self.ready != Resources::ZERO || self.waiting.total() > 0.0
    }
}

/// Jobs of a pool that wait in a round, by rank.
#[derive(Debug, Default)]
pub(crate) struct PoolJobs {
    /// What their ready waiting tasks need.
    pub(crate) ready: Resources,
    pub(crate) jobs: Vec<(Rank, JobKey)>,
}

impl PoolJobs {
    fn add(&mut self, job: &Job, rank: Rank, key: JobKey) {
        self.ready = self.ready.plus(&ready_need(job));
        self.jobs.push((rank, key));
    }
}

impl ContendedPool {
    /// Returns the amount as a part of the pool, by its dominant resource.
    pub(crate) fn part(&self, amount: &Resources) -> f64 {
        amount.dominant_share(&self.total)
    }

    /// Returns what a team wants and uses, against its allocation.
    pub(crate) fn share_status(&self, team: TeamIndex) -> ShareStatus {
        self.teams[team.position()].status
    }

    /// Returns the machines to which a team is entitled.
    pub(crate) fn allocated_machines(&self, team: TeamIndex) -> f64 {
        self.teams[team.position()].allocation * self.machines as f64
    }

    /// Charges a team for tasks that were placed.
    pub(crate) fn charge(&mut self, team: TeamIndex, placed: &Resources) {
        let state = &mut self.teams[team.position()];
        state.ready = state.ready.minus(placed);
        state.used = state.used.plus(placed);
    }

    /// Returns the work of each team that was started in the last seconds, in
    /// machine-seconds.
    pub(crate) fn served(&self) -> impl Iterator<Item = WorkBySize> {
        self.teams.iter().map(|state| state.served)
    }

    /// Sets the work of each team that was started in the last seconds.
    pub(crate) fn set_served(&mut self, served: &[WorkBySize]) {
        for (state, served) in self.teams.iter_mut().zip(served) {
            state.served = *served;
        }
    }

    /// Counts work of a team that was started, in machine-seconds.
    pub(crate) fn serve(&mut self, team: TeamIndex, class: SizeClass, work: f64) {
        let state = &mut self.teams[team.position()];
        state.served.add(class, work);
        state.waiting.add(class, -work);
    }

    /// Returns the part of a team's work of a size class that was served.
    pub(crate) fn served_part(&self, team: TeamIndex, class: SizeClass) -> f64 {
        let state = &self.teams[team.position()];
        served_part(&state.served, &state.waiting, class)
    }

    /// Returns the work of a task in machine-seconds.
    fn task_work(&self, need: &Resources, time: Duration) -> f64 {
        self.part(need) * self.machines as f64 * time.as_secs_f64()
    }

    /// Adds the waiting tasks of a job to what its team wants.
    pub(crate) fn add_waiting(&mut self, job: &Job, class: SizeClass) {
        let (team, work) = (job.team_index.position(), self.waiting_work(job));
        let state = &mut self.teams[team];
        state.ready = state.ready.plus(&ready_need(job));
        state.waiting.add(class, work);
    }

    /// Returns the work of a job's tasks that have not started, in machine-seconds.
    pub(crate) fn waiting_work(&self, job: &Job) -> f64 {
        let steps = job.occurrences.iter().flat_map(|each| each.steps.iter().zip(&job.spec.steps));
        let finite = steps.filter(|(_, spec)| !spec.continuous);
        let work = finite.map(|(step, spec)| {
            step.waiting.len() as f64 * self.task_work(&spec.reservation(), spec.estimate)
        });
        work.sum()
    }

    /// Whether the team at a position wants more than its allocation and has work waiting.
    pub(crate) fn is_above(&self, position: usize) -> bool {
        let Some(state) = self.teams.get(position) else { return false };
        state.ready != Resources::ZERO && state.status != ShareStatus::WithinShare
    }
}

impl Scheduler {
    /// Returns the pools that were contended in the last round, and what each team has
    /// and wants there.
    pub fn contended_pools(&self) -> Vec<PoolContention> {
        self.contended.iter().map(|pool| self.pool_contention(pool)).collect()
    }

    fn pool_contention(&self, pool: &ContendedPool) -> PoolContention {
        let involved = |at: &usize| pool.teams[*at].is_involved();
        let teams = (0..pool.teams.len()).filter(involved);
        PoolContention {
            pool: pool.id.clone(),
            capacity: pool.machines as f64,
            usable: pool.usable,
            teams: teams.map(|at| self.team_contention(pool, at)).collect(),
        }
    }

    /// Returns what the team at a position has and wants in a contended pool.
    pub(crate) fn team_contention(&self, pool: &ContendedPool, at: usize) -> TeamContention {
        let Some(state) = pool.teams.get(at) else { return TeamContention::default() };
        let team = self.teams.ids()[at].clone();
        TeamContention {
            share: self.share_of(team.as_ref()),
            allocation: state.allocation * pool.machines as f64,
            usage: pool.part(&state.used) * pool.machines as f64,
            waiting: state.waiting,
            is_above: pool.is_above(at),
            team,
        }
    }

    /// Returns the share of a team: that of a team of weight 1 for jobs without a team,
    /// none for a team that was removed.
    pub(crate) fn share_of(&self, team: Option<&TeamId>) -> Share {
        match team {
            Some(id) => self.config.present_team(id).map(|team| team.share).unwrap_or_default(),
            None => Share(SHARE_UNIT),
        }
    }

    /// Returns the amount, or the limit of the team where that is lower.
    pub(crate) fn within_limit(&self, team: Option<&TeamId>, amount: &Resources) -> Resources {
        let limits = team.and_then(|team| self.limits_of(team));
        limits.map_or(*amount, |limits| limits.capped(amount))
    }

    /// Divides ranked jobs among their pools.
    pub(crate) fn jobs_by_pool(&self, ranked: &[(Rank, JobKey)]) -> BTreeMap<PoolId, PoolJobs> {
        let mut pools: BTreeMap<PoolId, PoolJobs> = BTreeMap::new();
        for &(rank, key) in ranked {
            let job = &self.jobs[key];
            match pools.get_mut(job.pool()) {
                Some(jobs) => jobs.add(job, rank, key),
                None => pools.entry(job.pool().clone()).or_default().add(job, rank, key),
            }
        }
        pools
    }

    /// Returns the size class of a job.
    pub(crate) fn size_class(&self, key: JobKey) -> SizeClass {
        let job = &self.jobs[key];
        self.job_sizes.class(&job.spec.queue, job.work)
    }
}

/// Returns what the ready waiting tasks of a job need.
pub(crate) fn ready_need(job: &Job) -> Resources {
    let ready = job.ready_steps().filter(|ready| !ready.step.waiting.is_empty());
    let needs = ready.map(|ready| times(&ready.spec.reservation(), ready.step.waiting.len()));
    needs.fold(Resources::ZERO, |sum, need| sum.plus(&need))
}

/// Returns the amount for a number of tasks, saturating at the maximum.
pub(crate) fn times(need: &Resources, count: usize) -> Resources {
    Resources::new(
        need.cores.0.saturating_mul(count as u32),
        need.memory.0.saturating_mul(count as u64),
        need.accelerators.0.saturating_mul(count as u16),
    )
}
