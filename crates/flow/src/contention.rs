//! Contention of pools, and what each team may use of a contended pool.
//!
//! Load that this module handles: the ready tasks of a pool do not fit into its free
//! capacity, and one team sends several times its usual load.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::config::SHARE_UNIT;
use crate::fair_share::{TeamDemand, allocate};
use crate::job::{Job, JobKey};
use crate::rank::{Rank, Timeliness};
use crate::teams::TeamIndex;
use crate::turns::served_part;
use crate::worker::WorkerKey;
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
#[derive(Debug, Clone, PartialEq)]
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
    /// Whether it uses its allocation or more and has work waiting.
    pub is_above: bool,
}

/// State of a contended pool in a round.
#[derive(Debug)]
pub(crate) struct ContendedPool {
    pub(crate) id: PoolId,
    /// Capacity of the workers that are usable or have attempts.
    pub(crate) total: Resources,
    /// Number of these workers.
    machines: usize,
    usable: usize,
    /// By team index.
    teams: Vec<TeamState>,
}

/// What a team has and wants in a contended pool. Parts are of the whole pool.
#[derive(Debug, Clone, Default)]
struct TeamState {
    /// What its attempts and possible attempts use; grows as tasks are placed.
    used: Resources,
    /// What its ready waiting tasks need that still have value.
    ready: Resources,
    waiting: WorkBySize,
    /// Decayed work of its tasks that were started in the last seconds.
    served: WorkBySize,
    /// Past usage beyond its allocation.
    overuse: f64,
    allocation: f64,
}

/// Load of a pool in a round, from which contention is seen.
#[derive(Debug, Default)]
pub(crate) struct PoolLoad {
    /// What its ready waiting tasks need.
    ready: Resources,
    pub(crate) jobs: Vec<(Rank, JobKey)>,
}

impl PoolLoad {
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

    /// Returns what a team uses now.
    pub(crate) fn used(&self, team: TeamIndex) -> Resources {
        self.teams[team.position()].used
    }

    /// Returns the part of the pool up to which a team is served before teams that use
    /// more than their allocation.
    pub(crate) fn entitled_part(&self, team: TeamIndex) -> f64 {
        let state = &self.teams[team.position()];
        state.allocation - state.overuse
    }

    /// Charges a team for tasks that were placed: it now uses `used`.
    pub(crate) fn charge(&mut self, team: TeamIndex, used: Resources) {
        let state = &mut self.teams[team.position()];
        state.ready = state.ready.minus(&used.minus(&state.used));
        state.used = used;
    }

    /// Counts work of a team that was started.
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

    fn add_waiting(&mut self, job: &Job, class: SizeClass) {
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

    fn is_above(&self, state: &TeamState) -> bool {
        state.ready != Resources::ZERO && self.part(&state.used) >= state.allocation
    }

    /// Returns what each team uses beyond its allocation.
    fn beyond(&self) -> Vec<f64> {
        let beyond = |state: &TeamState| (self.part(&state.used) - state.allocation).max(0.0);
        self.teams.iter().map(beyond).collect()
    }
}

impl Scheduler {
    /// Returns the pools that were contended in the last round, and what each team has
    /// and wants there.
    pub fn contended_pools(&self) -> Vec<PoolContention> {
        self.contended.iter().map(|pool| self.pool_contention(pool)).collect()
    }

    fn pool_contention(&self, pool: &ContendedPool) -> PoolContention {
        let machines = pool.machines as f64;
        let teams = pool.teams.iter().zip(self.teams.ids());
        let involved =
            teams.filter(|(state, _)| state.used != Resources::ZERO || state.waiting.total() > 0.0);
        let teams = involved.map(|(state, team)| TeamContention {
            team: team.clone(),
            share: self.share_of(team.as_ref()),
            allocation: state.allocation * machines,
            usage: pool.part(&state.used) * machines,
            waiting: state.waiting,
            is_above: pool.is_above(state),
        });
        PoolContention {
            pool: pool.id.clone(),
            capacity: machines,
            usable: pool.usable,
            teams: teams.collect(),
        }
    }

    /// Returns the share of a team: that of a team of weight 1 for jobs without a team,
    /// none for a team that was removed.
    fn share_of(&self, team: Option<&TeamId>) -> Share {
        match team {
            Some(team) => self.config.teams.get(team).map(|team| team.share).unwrap_or_default(),
            None => Share(SHARE_UNIT),
        }
    }

    /// Returns the amount, or the limit of the team where that is lower.
    fn within_limit(&self, team: Option<&TeamId>, amount: &Resources) -> Resources {
        let limits = team.and_then(|team| self.config.teams.get(team));
        limits.map_or(*amount, |limits| limits.capped(amount))
    }

    /// Divides ranked jobs among their pools.
    pub(crate) fn pool_loads(&self, ranked: &[(Rank, JobKey)]) -> BTreeMap<PoolId, PoolLoad> {
        let mut loads: BTreeMap<PoolId, PoolLoad> = BTreeMap::new();
        for &(rank, key) in ranked {
            let job = &self.jobs[key];
            match loads.get_mut(&job.pool) {
                Some(load) => load.add(job, rank, key),
                None => loads.entry(job.pool.clone()).or_default().add(job, rank, key),
            }
        }
        loads
    }

    /// Returns the state of a pool if it is contended.
    pub(crate) fn contention(
        &self,
        id: &PoolId,
        load: &PoolLoad,
        usable: &[WorkerKey],
    ) -> Option<ContendedPool> {
        let free = usable.iter().map(|&key| self.workers[key].free());
        let free = free.fold(Resources::ZERO, |sum, each| sum.plus(&each));
        if load.ready.fits(&free) {
            return None;
        }
        let teams = vec![TeamState::default(); self.teams.ids().len()];
        let mut pool = ContendedPool {
            id: id.clone(),
            total: Resources::ZERO,
            machines: 0,
            usable: usable.len(),
            teams,
        };
        self.add_attempts(&mut pool, usable);
        self.add_unresolved_usage(&mut pool);
        for (rank, key) in &load.jobs {
            if rank.timeliness != Timeliness::TooLate {
                pool.add_waiting(&self.jobs[*key], self.size_class(*key));
            }
        }
        self.allocate_pool(&mut pool);
        if let Some(turns) = self.turns.get(id) {
            for (at, state) in pool.teams.iter_mut().enumerate() {
                state.served = turns.served(at);
            }
        }
        Some(pool)
    }

    /// Adds the capacity of a pool, and what is used of it. Workers that are not usable
    /// count if they have attempts, because these are charged.
    fn add_attempts(&self, pool: &mut ContendedPool, usable: &[WorkerKey]) {
        for &key in usable {
            pool.total = pool.total.plus(&self.workers[key].capacity);
            pool.machines += 1;
        }
        let mut counted = usable.iter().peekable();
        for (key, worker) in &self.workers {
            // Both are in the order of the table.
            let is_counted = counted.next_if(|&&each| each == key).is_some();
            if worker.attempts.is_empty() || worker.incarnation.pool != pool.id {
                continue;
            }
            if !is_counted {
                pool.total = pool.total.plus(&worker.capacity);
                pool.machines += 1;
            }
            for &attempt in &worker.attempts {
                let attempt = &self.attempts[attempt];
                let state = &mut pool.teams[attempt.team_index.position()];
                state.used = state.used.plus(&attempt.reserved);
            }
        }
    }

    /// Adds what an earlier leader may have started and this one does not know.
    fn add_unresolved_usage(&self, pool: &mut ContendedPool) {
        self.for_each_unresolved(|job, spec| {
            if job.pool == pool.id {
                let state = &mut pool.teams[job.team_index.position()];
                state.used = state.used.plus(&spec.reservation());
            }
        });
    }

    /// Divides a pool among its teams.
    fn allocate_pool(&self, pool: &mut ContendedPool) {
        let overuse = self.overuse.get(&pool.id);
        let demands = pool.teams.iter().zip(self.teams.ids()).map(|(state, team)| {
            let limited = self.within_limit(team.as_ref(), &state.used.plus(&state.ready));
            let weight = f64::from(self.share_of(team.as_ref()).0) / f64::from(SHARE_UNIT);
            TeamDemand { weight, wanted: pool.part(&limited) }
        });
        let parts = allocate(1.0, &demands.collect::<Vec<_>>());
        for (at, (state, part)) in pool.teams.iter_mut().zip(parts).enumerate() {
            state.allocation = part;
            state.overuse = overuse.map_or(0.0, |overuse| overuse.at(at));
        }
    }

    /// Returns the size class of a job.
    pub(crate) fn size_class(&self, key: JobKey) -> SizeClass {
        let job = &self.jobs[key];
        self.job_sizes.class(&job.spec.queue, job.work)
    }

    /// Lets the work decay that was started in the last seconds.
    pub(crate) fn begin_turns(&mut self, now: Instant) {
        let teams = self.teams.ids().len();
        self.turns.values_mut().for_each(|turns| turns.begin_round(teams, now));
        self.turns.retain(|_, turns| !turns.is_negligible());
    }

    /// Keeps the work that was started in the contended pools.
    pub(crate) fn record_turns(&mut self, now: Instant) {
        for pool in &self.contended {
            let turns = self.turns.entry(pool.id.clone()).or_default();
            turns.begin_round(pool.teams.len(), now);
            for (at, state) in pool.teams.iter().enumerate() {
                turns.set_served(at, state.served);
            }
        }
    }

    /// Charges each team for what it uses beyond its allocation in contended pools, and
    /// lets earlier charges decay.
    pub(crate) fn update_overuse(&mut self, now: Instant) {
        for pool in &self.contended {
            let overuse = self.overuse.entry(pool.id.clone()).or_default();
            overuse.update(&pool.beyond(), now);
        }
        let contended = &self.contended;
        self.overuse.retain(|id, overuse| {
            if contended.iter().any(|pool| pool.id == *id) {
                return true;
            }
            overuse.update(&[], now);
            !overuse.is_negligible()
        });
    }
}

/// Returns what the ready waiting tasks of a job need.
fn ready_need(job: &Job) -> Resources {
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
