//! Order in which waiting jobs are given capacity, pool by pool.
//!
//! Load that this module handles: one team sends several times its usual load to a
//! full pool. Jobs of equal timeliness and priority are served in two passes: first
//! those of teams below their allocation, until each has reached it, then all others
//! by value. So what a team leaves goes to whoever wants it, and a backlog costs only
//! the team that has it. Pools that are not contended are served by rank alone.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::Scheduler;
use crate::contention::{ContendedPool, PoolLoad, times};
use crate::job::JobKey;
use crate::plan::PoolPass;
use crate::rank::{Rank, Timeliness};
use crate::team_turns::TeamTurns;

/// What the team of a job may still use in a pool, and what it uses. Without a pool
/// there is no bound.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Budget {
    /// Part of the pool that it may use, and the pool's capacity.
    bound: Option<(f64, Resources)>,
    used: Resources,
}

impl Budget {
    /// Whether nothing more may start.
    pub(crate) fn is_spent(&self) -> bool {
        self.bound.is_some_and(|(part, total)| self.used.dominant_share(&total) >= part)
    }

    /// Adds started tasks of equal reservation.
    pub(crate) fn add(&mut self, reservation: &Resources, count: usize) {
        self.used = self.used.plus(&times(reservation, count));
    }
}

/// A pool in a round.
struct PoolRound {
    pass: PoolPass,
    contended: Option<ContendedPool>,
    /// Its jobs by rank that have not had their turn.
    jobs: std::vec::IntoIter<(Rank, JobKey)>,
}

impl PoolRound {
    /// Takes the jobs that have the timeliness and priority of `first`.
    fn take_tier(&mut self, first: &Rank) -> Vec<JobKey> {
        let in_tier = |(rank, _): &&(Rank, JobKey)| same_tier(rank, first);
        let count = self.jobs.as_slice().iter().take_while(in_tier).count();
        self.jobs.by_ref().take(count).map(|(_, key)| key).collect()
    }
}

impl Scheduler {
    /// Starts waiting tasks of all pools, in the order of their jobs' ranks and of their
    /// teams' allocations.
    pub(crate) fn place_all(&mut self, now: Instant, wall: SystemTime) {
        let ranked = self.rank_jobs(wall);
        self.begin_turns(now);
        let loads = self.pool_loads(&ranked);
        let mut rounds = self.pool_rounds(loads, now);
        for tier in ranked.chunk_by(|(a, _), (b, _)| same_tier(a, b)) {
            self.place_uncontended(tier, &mut rounds, now);
            for round in rounds.values_mut() {
                self.place_contended(&tier[0].0, round, now);
            }
        }
        self.contended = rounds.into_values().filter_map(|round| round.contended).collect();
        self.update_overuse(now);
        self.record_turns(now);
    }

    fn pool_rounds(
        &self,
        loads: BTreeMap<PoolId, PoolLoad>,
        now: Instant,
    ) -> BTreeMap<PoolId, PoolRound> {
        let round = |(id, load): (PoolId, PoolLoad)| {
            let pass = PoolPass::new(self.usable_workers(&id, now));
            let contended = self.contention(&id, &load, &pass.workers);
            let jobs = load.jobs.into_iter();
            (id, PoolRound { pass, contended, jobs })
        };
        loads.into_iter().map(round).collect()
    }

    /// Places jobs of pools that are not contended, by rank.
    fn place_uncontended(
        &mut self,
        tier: &[(Rank, JobKey)],
        rounds: &mut BTreeMap<PoolId, PoolRound>,
        now: Instant,
    ) {
        for &(_, key) in tier {
            if let Some(round) = rounds.get_mut(&self.jobs[key].pool)
                && round.contended.is_none()
            {
                self.place_job(key, &mut round.pass, now);
            }
        }
    }

    /// Places the jobs of a contended pool that have the timeliness and priority of
    /// `first`.
    fn place_contended(&mut self, first: &Rank, round: &mut PoolRound, now: Instant) {
        if round.contended.is_none() {
            return;
        }
        let jobs = round.take_tier(first);
        let Some(pool) = &mut round.contended else { return };
        if first.timeliness == Timeliness::Continuous {
            for &key in &jobs {
                self.place_charged(key, None, pool, &mut round.pass, now);
            }
            return;
        }
        for below_allocation in [true, false] {
            let mut turns = self.team_turns(&jobs, pool);
            while let Some(key) = turns.next(pool) {
                let team = self.jobs[key].team_index;
                let part = below_allocation.then(|| pool.entitled_part(team));
                self.place_charged(key, part, pool, &mut round.pass, now);
            }
        }
    }

    /// Lists jobs by team and size class.
    fn team_turns(&self, jobs: &[JobKey], pool: &ContendedPool) -> TeamTurns {
        let mut turns = TeamTurns::new(self.teams.ids().len());
        for &key in jobs {
            turns.add(self.jobs[key].team_index, self.size_class(key), key);
        }
        turns.begin(pool);
        turns
    }

    /// Places a job until its team uses the given part of the pool, and charges the
    /// team.
    fn place_charged(
        &mut self,
        key: JobKey,
        part: Option<f64>,
        pool: &mut ContendedPool,
        pass: &mut PoolPass,
        now: Instant,
    ) {
        let team = self.jobs[key].team_index;
        let bound = part.map(|part| (part, pool.total));
        pass.budget = Budget { bound, used: pool.used(team) };
        if pass.budget.is_spent() {
            return;
        }
        let before = pool.waiting_work(&self.jobs[key]);
        self.place_job(key, pass, now);
        pool.charge(team, pass.budget.used);
        let started = before - pool.waiting_work(&self.jobs[key]);
        if started > 0.0 {
            pool.serve(team, self.size_class(key), started);
        }
    }
}

/// Whether jobs differ only in their value and in the usage of their teams.
fn same_tier(a: &Rank, b: &Rank) -> bool {
    (a.timeliness, a.priority) == (b.timeliness, b.priority)
}
