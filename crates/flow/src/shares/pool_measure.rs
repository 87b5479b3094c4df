//! Measurement of pools at the beginning of a round: whether they are contended, what
//! each team uses and wants, and what it is entitled to.
//!
//! Load that this module handles: thousands of attempts and waiting jobs of hundreds of
//! teams. Only contended pools are measured, each once in a round, and nothing is kept
//! that a new leader would have to restore.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::Scheduler;
use crate::config::SHARE_UNIT;
use crate::order::rank::Timeliness;
use crate::shares::contention::{ContendedPool, PoolJobs, ShareStatus, TeamState};
use crate::shares::fair_share::{TeamDemand, allocate};
use crate::shares::past_usage::TeamUsage;
use crate::workers::worker::WorkerKey;

/// Tolerance for the rounding of parts of a pool.
const ROUNDING: f64 = 1e-9;
/// Factor by which teams may use more than their allocation over some seconds before
/// others go first. It only orders teams that want more than their allocation: without
/// it they alternate so often that jobs are cut into parts and end late.
const TOLERANCE: f64 = 1.1;

impl Scheduler {
    /// Returns the state of a pool if it is contended.
    pub(crate) fn contention(
        &self,
        id: &PoolId,
        waiting: &PoolJobs,
        usable: &[WorkerKey],
    ) -> Option<ContendedPool> {
        let free = usable.iter().filter_map(|&key| self.workers[key].free());
        let free = free.fold(Resources::ZERO, |sum, each| sum.plus(&each));
        if waiting.ready.fits(&free) {
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
        for (rank, key) in &waiting.jobs {
            if rank.timeliness != Timeliness::TooLate {
                pool.add_waiting(&self.jobs[*key], self.size_class(*key));
            }
        }
        self.allocate_pool(&mut pool);
        self.restore_turns(&mut pool);
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
                // Charged to no team if its job is unknown: this decides only the order of teams.
                let Some(usage) = &self.attempts[attempt].usage else { continue };
                let state = &mut pool.teams[usage.team_index.position()];
                state.used = state.used.plus(&usage.reserved);
            }
        }
    }

    /// Adds what an earlier leader may have started and this one does not know.
    fn add_unresolved_usage(&self, pool: &mut ContendedPool) {
        self.for_each_unresolved(|job, spec| {
            if *job.pool() == pool.id {
                let state = &mut pool.teams[job.team_index.position()];
                state.used = state.used.plus(&spec.reservation());
            }
        });
    }

    /// Divides a pool among its teams, and places each of them among the others.
    fn allocate_pool(&self, pool: &mut ContendedPool) {
        let past = |at: usize| self.past_usage.get(&pool.id).map(|past| past.of(at));
        let past: Vec<_> = (0..pool.teams.len()).map(|at| past(at).unwrap_or_default()).collect();
        let demand = |at: usize, state: &TeamState| {
            let team = self.teams.ids()[at].as_ref();
            let limited = self.within_limit(team, &state.used.plus(&state.ready));
            let weight = f64::from(self.share_of(team).0) / f64::from(SHARE_UNIT);
            TeamDemand { weight, wanted: pool.part(&limited) }
        };
        let states = pool.teams.iter().enumerate();
        let demands: Vec<_> = states.map(|(at, state)| demand(at, state)).collect();
        let recent = |(demand, past): (&TeamDemand, &TeamUsage)| TeamDemand {
            wanted: demand.wanted.max(past.wanted),
            ..*demand
        };
        let recent: Vec<_> = demands.iter().zip(&past).map(recent).collect();
        let (parts, recent_parts) = (allocate(1.0, &demands), allocate(1.0, &recent));
        let total = pool.total;
        for (at, state) in pool.teams.iter_mut().enumerate() {
            state.allocation = parts[at];
            state.current = TeamUsage {
                used: state.used.dominant_share(&total),
                wanted: demands[at].wanted,
                allocated: recent_parts[at],
            };
            state.status = if recent[at].wanted <= recent_parts[at] + ROUNDING {
                ShareStatus::WithinShare
            } else if past[at].used <= past[at].allocated * TOLERANCE + ROUNDING {
                ShareStatus::BelowAllocation
            } else {
                ShareStatus::AboveAllocation
            };
        }
    }

    /// Averages the usage and wants of teams in contended pools; in others they decay.
    pub(crate) fn update_past_usage(&mut self, now: Instant) {
        for pool in &self.contended {
            let current: Vec<_> = pool.teams.iter().map(|state| state.current).collect();
            self.past_usage.entry(pool.id.clone()).or_default().update(&current, now);
        }
        let contended = &self.contended;
        self.past_usage.retain(|id, past| {
            if contended.iter().any(|pool| pool.id == *id) {
                return true;
            }
            past.update(&[], now);
            !past.is_negligible()
        });
    }
}
