//! Order in which waiting jobs are given capacity, pool by pool.
//!
//! Load that this module handles: one team sends several times its usual load to a
//! full pool. Jobs of equal timeliness and priority are served by the share
//! status of their teams: teams that want no more than their allocation first, then those that
//! have used no more than it, then the others. So a backlog costs only the team that
//! has it, and what a team leaves goes to whoever wants it. Pools that are not
//! contended are served by rank alone.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::Scheduler;
use crate::jobs::job::JobKey;
use crate::order::rank::{Rank, Timeliness};
use crate::order::team_turns::TeamTurns;
use crate::placement::plan::PoolPass;
use crate::shares::contention::{ContendedPool, PoolJobs, ready_need};
use crate::workers::probes::ProbeRule;

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
    /// teams' share status.
    pub(crate) fn place_all(&mut self, now: Instant, wall: SystemTime) {
        let ranked = self.rank_jobs(wall);
        let least_loss = ranked.iter().rev().map(|(_, key)| *key);
        self.place_probes(least_loss.clone(), ProbeRule::Harmless, now, wall);
        self.begin_turns(now);
        self.holds.begin_round();
        let jobs = self.jobs_by_pool(&ranked);
        let mut rounds = self.pool_rounds(jobs, now);
        let tiers = ranked.chunk_by(|(a, _), (b, _)| same_tier(a, b));
        for (at, tier) in tiers.enumerate() {
            self.adviser.begin_tier(at);
            self.place_uncontended(tier, &mut rounds, now);
            for round in rounds.values_mut() {
                self.place_contended(&tier[0].0, round, now, wall);
            }
        }
        self.place_probes(least_loss, ProbeRule::Unplaced, now, wall);
        let full = rounds.iter().filter(|(_, round)| round.pass.is_full());
        self.full_pools = full.map(|(pool, _)| pool.clone()).collect();
        self.contended = rounds.into_values().filter_map(|round| round.contended).collect();
        self.update_past_usage(now);
        self.record_turns(now);
        self.note_share_changes(now);
    }

    fn pool_rounds(
        &self,
        pools: BTreeMap<PoolId, PoolJobs>,
        now: Instant,
    ) -> BTreeMap<PoolId, PoolRound> {
        let round = |(id, waiting): (PoolId, PoolJobs)| {
            let pass = PoolPass::new(self.usable_workers(&id, now));
            let contended = self.contention(&id, &waiting, &pass.workers);
            let jobs = waiting.jobs.into_iter();
            (id, PoolRound { pass, contended, jobs })
        };
        pools.into_iter().map(round).collect()
    }

    /// Places jobs of pools that are not contended, by rank.
    fn place_uncontended(
        &mut self,
        tier: &[(Rank, JobKey)],
        rounds: &mut BTreeMap<PoolId, PoolRound>,
        now: Instant,
    ) {
        for &(_, key) in tier {
            if let Some(round) = rounds.get_mut(self.jobs[key].pool())
                && round.contended.is_none()
            {
                self.place_job(key, &mut round.pass, now);
            }
        }
    }

    /// Places the jobs of a contended pool that have the timeliness and priority of
    /// `first`.
    fn place_contended(
        &mut self,
        first: &Rank,
        round: &mut PoolRound,
        now: Instant,
        wall: SystemTime,
    ) {
        if round.contended.is_none() {
            return;
        }
        let jobs = round.take_tier(first);
        let Some(pool) = &mut round.contended else { return };
        if first.timeliness == Timeliness::Continuous {
            for &key in &jobs {
                self.place_charged(key, pool, &mut round.pass, now);
            }
            return;
        }
        let mut turns = self.team_turns(&jobs, pool, wall);
        while let Some(key) = turns.next(pool) {
            self.place_charged(key, pool, &mut round.pass, now);
            self.hold_workers(key, pool, &mut round.pass, wall);
        }
    }

    /// Lists the jobs of a tier for the turns of their teams.
    fn team_turns(&self, jobs: &[JobKey], pool: &ContendedPool, wall: SystemTime) -> TeamTurns {
        let begun_work = self.begun_work(jobs, pool);
        let mut turns = TeamTurns::new(self.teams.ids().len());
        for &key in jobs {
            let team = self.jobs[key].team_index;
            let class = self.size_class(key);
            let group = self.job_group(key, class, begun_work[team.position()], pool, wall);
            turns.add(team, pool.share_status(team), group, class, key);
        }
        turns.begin(pool);
        turns
    }

    /// Places a job and charges its team.
    fn place_charged(
        &mut self,
        key: JobKey,
        pool: &mut ContendedPool,
        pass: &mut PoolPass,
        now: Instant,
    ) {
        let job = &self.jobs[key];
        let (team, need, work) = (job.team_index, ready_need(job), pool.waiting_work(job));
        self.place_job(key, pass, now);
        let job = &self.jobs[key];
        let placed = need.minus(&ready_need(job));
        if placed != Resources::ZERO {
            pool.charge(team, &placed);
            pool.serve(team, self.size_class(key), work - pool.waiting_work(job));
        }
    }
}

/// Whether jobs differ only in their value and in the share status of their teams.
fn same_tier(a: &Rank, b: &Rank) -> bool {
    (a.timeliness, a.priority) == (b.timeliness, b.priority)
}
